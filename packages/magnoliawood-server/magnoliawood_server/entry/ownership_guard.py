"""Confirms ownership by asking peers, also while the store is down."""

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
# Peers may take shards over this long after the last answer to a probe at
# the earliest: the suspicion time less a probe's interval and timeout.
PAUSE_LIMIT = datetime.timedelta(milliseconds=500)
RESPONSE_TIMEOUT = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)


class OwnershipGuard:
    """Tells whether this entry may act as the owner of its shards.

    Explanation
    ===========

    Sidecars refuse the orders of a former owner, but they don't see reads
    and refusals, which would come from an old state. After a pause this
    entry therefore serves nothing as an owner until each peer that answers
    was asked for the version of its shard map. A newer map is taken from
    the peer, since the store may be down.
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
        """Whether ownership was confirmed since the last pause."""
        return self._pauses.is_confirmed

    async def tick_forever(self) -> None:
        """Watch for pauses."""
        while True:
            self._pauses.tick()
            await curio.sleep(TICK_INTERVAL.total_seconds())

    async def confirm_forever(self) -> None:
        """Ask the peers after each pause and for newer maps."""
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
            self._membership.others(),
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
            found = await self._pool.request(
                newest.host.address, messages.GetShardMap(), RESPONSE_TIMEOUT
            )
            self._shard_manager.apply_map_text(found.version, found.text)
        except (errors.MagnoliawoodError, pydantic.ValidationError) as error:
            _log.debug('map not fetched', extra={'error': str(error)})
