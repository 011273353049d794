"""Confirmation of ownership at peers, also while the store is down."""

import datetime
import logging

import curio
import pydantic

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.ownership import pause
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

TICK_INTERVAL = datetime.timedelta(milliseconds=100)
# The earliest time after the last response to a probe at which peers may
# take shards over: the suspicion time minus a probe's interval and timeout.
PAUSE_LIMIT = datetime.timedelta(milliseconds=500)
RESPONSE_TIMEOUT = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)


class OwnershipGuard:
    """Determines whether this entry may act as the owner of its shards.

    Explanation
    ===========

    Sidecars reject the calls that a previous owner dispatches. Reads, and
    requests that the owner itself rejects, involve no sidecar, so a previous
    owner would reply to them from stale state. After a pause of the process
    this entry therefore serves no requests as an owner until it has
    requested the version of the shard map from all peers and those that are
    reachable have responded. A newer map is fetched from the peer, since the
    store may be down.
    """

    def __init__(
        self,
        manager: shard_manager.ShardManager,
        membership: memberships.Membership,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        metrics: registries.Registry,
    ) -> None:
        self._shard_manager = manager
        self._membership = membership
        self._pool = pool
        self._metrics = metrics
        self._pauses = pause.PauseDetector(clock, PAUSE_LIMIT)

    @property
    def is_confirmed(self) -> bool:
        """Whether ownership was confirmed after the last pause."""
        return self._pauses.is_confirmed

    async def tick_forever(self) -> None:
        """Detect pauses of the process by regular ticks."""
        while True:
            self._pauses.tick()
            await curio.sleep(TICK_INTERVAL.total_seconds())

    async def confirm_forever(self) -> None:
        """Confirm ownership after each pause and fetch newer maps."""
        while True:
            if not self.is_confirmed:
                await self._confirm()
            await self._fetch_newer_map()
            await curio.sleep(TICK_INTERVAL.total_seconds())

    async def _confirm(self) -> None:
        pauses = self._pauses.tick()
        await self._membership.probe_all()
        await self._fetch_newer_map()
        self._pauses.confirm(pauses)
        self._metrics.count('ownership_confirmations_total')
        _log.info('ownership confirmed')

    async def _fetch_newer_map(self) -> None:
        newest = max(
            self._membership.other_entries(),
            key=memberships.map_version_of,
            default=None,
        )
        if newest is None:
            return
        if (
            memberships.map_version_of(newest)
            <= self._shard_manager.map.version
        ):
            return
        try:
            reply = await self._pool.request(
                newest.host.address, messages.GetShardMap(), RESPONSE_TIMEOUT
            )
            self._shard_manager.apply_map_text(reply.version, reply.text)
        except (errors.MagnoliawoodError, pydantic.ValidationError) as error:
            _log.debug(
                'fetching the shard map failed', extra={'error': str(error)}
            )
