"""Fetches what peers know of the cluster and this gateway doesn't yet."""

import dataclasses
import datetime
import logging
import random
import typing

import curio

from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import messages

# The store's own watch mostly brings the same change within this time.
WATCH_GRACE = datetime.timedelta(milliseconds=150)
# Leaves time for another fetch within the bounds of a change.
FETCH_TIMEOUT = datetime.timedelta(seconds=2)
# Another peer is asked too if the first takes longer than this.
HEDGE_DELAY = datetime.timedelta(milliseconds=700)
MAX_FETCHES = 2

_log = logging.getLogger(__name__)


class Requester(typing.Protocol):
    """Sends a message to a peer and returns its reply."""

    async def request(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send one message and return the response.

        :raises PeerLost: if no response arrives before the timeout
        """
        ...


class GroupHolder(typing.Protocol):
    """Holds the newest known replica group."""

    def update_group(self, group: groups.Group | None) -> None:
        """Set the replica group if its epoch is newer than the known one."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    """What a peer says it knows.

    :param version: version of its configuration
    :param revision: revision of the store of its upstreams
    """

    version: int
    revision: int


class SnapshotFetcher:
    """Fetches the newer parts of the cluster view from one peer at a time.

    Explanation
    ===========

    A change makes all peers newer than this gateway at nearly the same time.
    If each of them were asked, their replies would share one link, and all
    would end at their time limits. So one peer is asked, and another one only
    if the first fails or is slow.

    :param group_holder: takes the replica group that the peer knows
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        group_holder: GroupHolder,
        requester: Requester,
        registry: registries.Registry,
    ) -> None:
        self._cluster_view = cluster_view
        self._group_holder = group_holder
        self._requester = requester
        self._registry = registry
        # Peers that were newer when they were last heard; one entry each.
        self._newer: dict[str, _Known] = {}
        self._noted = curio.Event()
        self._running: dict[str, curio.Task] = {}

    async def note(self, address: str, version: int, revision: int) -> None:
        """Record what a peer knows, and fetch it if it is newer."""
        if self._cluster_view.is_behind(version, revision):
            self._newer[address] = _Known(version, revision)
            await self._noted.set()

    async def run(self) -> None:
        """Fetch what is newer until cancelled."""
        try:
            while True:
                await self._noted.wait()
                self._noted.clear()
                if self._does_watch_work():
                    await curio.sleep(WATCH_GRACE.total_seconds())
                await self._fetch_all()
        finally:
            for task in list(self._running.values()):
                await task.cancel()

    def _does_watch_work(self) -> bool:
        return (
            self._cluster_view.is_ready
            and self._cluster_view.outage.is_reachable
        )

    async def _fetch_all(self) -> None:
        """Ask peers one after the other until none is known to be newer."""
        while (address := self._choose()) is not None:
            del self._newer[address]
            task = await curio.spawn(self._fetch, address, daemon=True)
            if not task.terminated:
                self._running[address] = task
            async with curio.ignore_after(HEDGE_DELAY.total_seconds()):
                await task.wait()
            if len(self._running) >= MAX_FETCHES:
                await next(iter(self._running.values())).wait()

    def _choose(self) -> str | None:
        """Return a peer that knows the newest; ``None`` if none is newer."""
        self._newer = {
            address: known
            for address, known in self._newer.items()
            if self._cluster_view.is_behind(known.version, known.revision)
        }
        candidates = [
            (known.version, known.revision, random.random(), address)
            for address, known in self._newer.items()
            if address not in self._running
        ]
        return max(candidates)[-1] if candidates else None

    async def _fetch(self, address: str) -> None:
        try:
            outcome = await self._apply_snapshot_of(address)
            self._registry.count('snapshot_fetches_total', outcome=outcome)
        finally:
            self._running.pop(address, None)

    async def _apply_snapshot_of(self, address: str) -> str:
        view = self._cluster_view
        before = (view.version, view.directory.revision)
        try:
            reply = await self._requester.request(
                address, messages.GetSnapshot(*before), FETCH_TIMEOUT
            )
            view.merge(reply.snapshot, address)
        except (errors.MagnoliawoodError, ValueError) as error:
            _log.info(
                'snapshot not applied',
                extra={'peer': address, 'error': str(error)},
            )
            return 'failed'
        self._group_holder.update_group(reply.group)
        if view.version > before[0]:
            self._registry.count('configuration_updates_total', source='peer')
        after = (view.version, view.directory.revision)
        return 'nothing_new' if after == before else 'applied'
