"""Release of upstream cache that no active program needs."""

import datetime

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import idle_programs
from magnoliawood.programs import identity
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

RECONCILE_INTERVAL = datetime.timedelta(seconds=1)


class CacheReconciler:
    """Compares the programs that engines have cached with the known programs.

    Explanation
    ===========

    A release may be lost if the owner or the sidecar fails or if the
    message is lost, and the stream of cache events may have gaps. The owner
    of a shard therefore requests from each engine's sidecar, at regular
    intervals, the programs of its shards that the engine has cached. It
    releases the cache of programs that have ended, are unknown, have
    exceeded their time budget, or were idle for longer than the limit.

    :param idle_limit: time without a call after which the cache of an
        active program is released
    """

    def __init__(
        self,
        programs_table: tables.ProgramTable,
        manager: shard_manager.ShardManager,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        metrics: registries.Registry,
        idle_limit: datetime.timedelta,
    ) -> None:
        self._programs = programs_table
        self._shard_manager = manager
        self._sidecars = sidecars
        self._pool = pool
        self._metrics = metrics
        self._idle = idle_programs.IdlePrograms(clock, idle_limit)

    async def reconcile_forever(self) -> None:
        """Reconcile with the sidecars of all engines at regular intervals."""
        while True:
            cached_programs: set[identity.ProgramKey] = set()
            async with curio.TaskGroup() as group:
                for sidecar in self._sidecars.all():
                    if _is_engine(sidecar):
                        await group.spawn(
                            self._reconcile, sidecar, cached_programs
                        )
            self._idle.retain_only(cached_programs)
            await curio.sleep(RECONCILE_INTERVAL.total_seconds())

    async def _reconcile(
        self,
        sidecar: sidecar_directory.Sidecar,
        cached_programs: set[identity.ProgramKey],
    ) -> None:
        shards = [
            shard
            for shard in range(identity.SHARD_COUNT)
            if self._shard_manager.serves(shard)
        ]
        try:
            reply = await self._request(sidecar, messages.ListHolders(shards))
            cached_programs.update(reply.programs)
            for key in reply.programs:
                await self._release_if_unneeded(sidecar, key)
        except errors.MagnoliawoodError:
            self._metrics.count('reconciliations_failed_total')

    async def _release_if_unneeded(
        self, sidecar: sidecar_directory.Sidecar, key: identity.ProgramKey
    ) -> None:
        if not self._shard_manager.serves(key.shard):
            return
        reason = self._idle.release_reason(key, self._programs.find(key))
        if not reason:
            return
        await self._request(sidecar, messages.ReleaseProgram(key))
        self._metrics.count('releases_repeated_total', reason=reason)

    async def _request(
        self,
        sidecar: sidecar_directory.Sidecar,
        message: messages.ListHolders | messages.ReleaseProgram,
    ) -> messages.Holders | messages.Done:
        return await self._pool.request(
            sidecar.host.address, message, sidecar_directory.RESPONSE_TIMEOUT
        )


def _is_engine(sidecar: sidecar_directory.Sidecar) -> bool:
    reply = sidecar.reply
    return (
        sidecar.is_reachable and reply is not None and reply.kind == 'engine'
    )
