"""Finds upstream memory that is held for no live program."""

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
    """Compares the engines' own lists of holders with the programs.

    Explanation
    ===========

    A release may be lost with the owner, with the sidecar or on the way,
    and cache events have gaps. The owner of a shard therefore asks each
    engine's sidecar again and again for the programs of its shards that
    the engine holds, and releases those that have ended, are unknown, are
    past their time, or were idle for too long.

    :param idle_limit: time without a call after which a live program
        loses its cache
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
        """Ask all sidecars of engines again and again."""
        while True:
            held: set[identity.ProgramKey] = set()
            async with curio.TaskGroup() as group:
                for sidecar in self._sidecars.all():
                    if _is_engine(sidecar):
                        await group.spawn(self._reconcile, sidecar, held)
            self._idle.retain_only(held)
            await curio.sleep(RECONCILE_INTERVAL.total_seconds())

    async def _reconcile(
        self,
        sidecar: sidecar_directory.Sidecar,
        held: set[identity.ProgramKey],
    ) -> None:
        shards = [
            shard
            for shard in range(identity.SHARD_COUNT)
            if self._shard_manager.serves(shard)
        ]
        try:
            reply = await self._request(sidecar, messages.ListHolders(shards))
            held.update(reply.programs)
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
