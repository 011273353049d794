"""Exchange of configuration, host list and shard map between entries."""

import datetime
import logging

import curio
import pydantic

from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

CHECK_INTERVAL = datetime.timedelta(milliseconds=200)
RESPONSE_TIMEOUT = datetime.timedelta(seconds=1)
_ROUNDS_BEFORE_SEEDS = 5

_log = logging.getLogger(__name__)


class SharedState:
    """Catches up with the newest configuration that any entry has.

    Explanation
    ===========

    Probe replies carry the configuration's version. An entry that is behind,
    because its watch lost an event or the process was suspended, reads the
    store at once; if the store does not respond, it requests the
    configuration from the entry that is ahead. An entry that starts during
    an outage of the platform requests the configuration, the host list and
    the shard map from the entries named in its settings. It uses the
    configuration and the shard map with the highest versions.

    :param seeds: peer addresses of the entries to contact before the host
        list is known
    """

    def __init__(
        self,
        configuration: configuration_cache.ConfigurationCache,
        membership: memberships.Membership,
        manager: shard_manager.ShardManager,
        pool: pools.PeerPool,
        metrics: registries.Registry,
        seeds: list[str],
    ) -> None:
        self._configuration = configuration
        self._membership = membership
        self._shard_manager = manager
        self._pool = pool
        self._metrics = metrics
        self._seeds = seeds

    def reply(self) -> messages.SharedStateReply:
        """Return this entry's configuration, host list and shard map."""
        listing = self._configuration.listing
        return messages.SharedStateReply(
            self._configuration.current.version,
            listing.version,
            listing.objects,
            self._membership.hosts,
            self._shard_manager.map.version,
            self._shard_manager.map.to_text(),
        )

    async def follow_forever(self) -> None:
        """Check periodically whether this entry is behind and catch up."""
        rounds = 0
        while True:
            await curio.sleep(CHECK_INTERVAL.total_seconds())
            # After a start the platform has some rounds to respond before the
            # seeds are contacted.
            rounds += 1
            if not self._is_complete and rounds > _ROUNDS_BEFORE_SEEDS:
                await self._request_all(self._seeds)
            if self._configuration.is_loaded:
                await self._catch_up()

    @property
    def _is_complete(self) -> bool:
        return (
            self._configuration.is_loaded
            and self._membership.is_host_list_known
            and self._shard_manager.map.version > 0
        )

    async def _catch_up(self) -> None:
        newest, address = self._membership.newest_configuration()
        if newest <= self._configuration.current.version:
            return
        self._metrics.count('configuration_behind_total')
        try:
            await self._configuration.refresh(newest)
        except errors.MagnoliawoodError:
            await self._request_all([address])
        except pydantic.ValidationError as error:
            _log.error('configuration malformed', extra={'error': str(error)})

    async def _request_all(self, addresses: list[str]) -> None:
        async with curio.TaskGroup() as group:
            for address in addresses:
                await group.spawn(self._request_from, address)

    async def _request_from(self, address: str) -> None:
        try:
            reply = await self._pool.request(
                address, messages.SharedStateRequest(), RESPONSE_TIMEOUT
            )
            self._apply_reply(reply)
        except (errors.MagnoliawoodError, pydantic.ValidationError) as error:
            _log.debug(
                'no shared state received from the entry',
                extra={'error': str(error)},
            )

    def _apply_reply(self, reply: messages.SharedStateReply) -> None:
        if reply.is_loaded:
            self._configuration.apply_listing(
                reply.configuration_version,
                configuration_cache.store.Listing(
                    reply.read_at, reply.objects
                ),
            )
        self._membership.bootstrap_hosts(reply.hosts)
        self._shard_manager.apply_map_text(reply.map_version, reply.map_text)
