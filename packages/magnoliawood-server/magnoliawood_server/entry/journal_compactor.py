"""Starts new journal logs and removes those that nobody needs."""

import collections.abc
import logging

from magnoliawood.ownership import journal
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.platform import store
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import journal_writer

SEGMENTS_PER_LOG = 2000

_log = logging.getLogger(__name__)

WriteMap = collections.abc.Callable[
    [shard_maps.ShardMap], collections.abc.Awaitable[None]
]
WriteSnapshots = collections.abc.Callable[
    [list[int]], collections.abc.Awaitable[None]
]


class JournalCompactor:
    """Keeps the journal as small as what the programs need.

    Explanation
    ===========

    A new log is named in the shard map before anything is written to it,
    and begins with snapshots of all programs. Only when these are stored
    does the map drop the older logs, and only then are they deleted. A
    reader at any moment finds every record in the logs that the map names.

    The seal of another entry's log stays, so that an owner that was frozen
    can't write to a log that was removed.

    :param next_log: names a new log of this entry
    :param limit: segments after which a log is replaced
    """

    def __init__(
        self,
        entry: str,
        objects: store.ObjectStore,
        metrics: registries.Registry,
        next_log: collections.abc.Callable[[], str],
        limit: int = SEGMENTS_PER_LOG,
    ) -> None:
        self._entry = entry
        self._objects = objects
        self._metrics = metrics
        self._next_log = next_log
        self._limit = limit
        self._successor = ''
        self._snapshots: dict[int, int] = {}
        self._writer: journal_writer.JournalWriter | None = None
        self._is_swept = False

    @property
    def next_log_name(self) -> str:
        """Name of the log that is about to replace the present one."""
        return self._successor

    def set_writer(self, writer: journal_writer.JournalWriter) -> None:
        """Use another journal from now on."""
        self._writer = writer
        self._successor = ''
        self._snapshots = {}

    def record_snapshots(self, shards: list[int]) -> None:
        """Note that the log now has all programs of shards."""
        position = self._writer.last_position()
        self._snapshots.update(dict.fromkeys(shards, position))

    async def step(
        self,
        shard_map: shard_maps.ShardMap,
        serving: list[int],
        write_map: WriteMap,
        write_snapshots: WriteSnapshots,
    ) -> None:
        """Go one step on towards a single short log.

        :raises MagnoliawoodError: if the store does not take it
        """
        if self._writer.is_stalled or not serving:
            return
        if self._writer.segments >= self._limit or self._successor:
            await self._replace(shard_map, serving, write_map, write_snapshots)
            return
        await self._drop_old(shard_map, serving, write_map)

    async def _replace(
        self,
        shard_map: shard_maps.ShardMap,
        serving: list[int],
        write_map: WriteMap,
        write_snapshots: WriteSnapshots,
    ) -> None:
        self._successor = self._successor or self._next_log()
        named = shard_map.add_log(serving, self._successor)
        if named != shard_map:
            await write_map(named)
        if not self._writer.switch_log(self._successor):
            return
        self._successor = ''
        self._is_swept = False
        self._metrics.count('journal_logs_replaced_total')
        _log.info('journal log replaced', extra={'log': self._writer.log})
        await write_snapshots(serving)
        self.record_snapshots(serving)

    async def _drop_old(
        self,
        shard_map: shard_maps.ShardMap,
        serving: list[int],
        write_map: WriteMap,
    ) -> None:
        own = (self._writer.log,)
        durable = self._writer.durable
        ready = [
            shard
            for shard in serving
            if shard_map.assignments[shard].logs != own
            and self._snapshots.get(shard, durable + 1) <= durable
        ]
        if ready:
            kept = shard_map.replace_logs(ready, list(own))
            await write_map(kept)
            for log in sorted(shard_map.logs() - kept.logs()):
                await self._delete(log)
        if not self._is_swept:
            await self._sweep(shard_map)
            self._is_swept = True

    async def _sweep(self, shard_map: shard_maps.ShardMap) -> None:
        """Delete what earlier runs of this entry left."""
        prefix = f'{journal.JOURNAL_PREFIX}{self._entry}~'
        listing = await self._objects.scan(prefix)
        needed = {*shard_map.logs(), self._writer.log}
        for item in listing.objects:
            log = item.name.removeprefix(journal.JOURNAL_PREFIX)
            if log.rpartition('/')[0] not in needed:
                await self._objects.delete(item.name, item.version)
                self._metrics.count('journal_segments_deleted_total')

    async def _delete(self, log: str) -> None:
        listing = await self._objects.scan(f'{journal.JOURNAL_PREFIX}{log}/')
        for item in listing.objects:
            if item.value != journal.SEAL:
                await self._objects.delete(item.name, item.version)
                self._metrics.count('journal_segments_deleted_total')
