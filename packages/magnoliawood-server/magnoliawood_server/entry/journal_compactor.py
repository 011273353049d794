"""Replacement of journal logs and deletion of those no longer needed."""

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
    """Limits the size of this entry's journal by replacing its log.

    Explanation
    ===========

    A new log is added to the shard map before anything is written to it,
    and starts with snapshots of all programs. Once the snapshots are
    stored, the older logs are removed from the map, and after that they
    are deleted. At any moment, the logs in the map therefore contain every
    record that a reader needs.

    The segment that seals another entry's log is not deleted, so that an
    owner that resumes after a pause cannot write to a log that was removed.

    :param next_log: returns a new log name of this entry
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
        self._make_log_name = next_log
        self._limit = limit
        self._next_log_name = ''
        self._snapshots: dict[int, int] = {}
        self._writer: journal_writer.JournalWriter | None = None
        self._is_swept = False

    @property
    def next_log_name(self) -> str:
        """Name of the log that will replace the current one, if any."""
        return self._next_log_name

    def set_writer(self, writer: journal_writer.JournalWriter) -> None:
        """Replace the journal writer and forget recorded snapshots."""
        self._writer = writer
        self._next_log_name = ''
        self._snapshots = {}

    def record_snapshots(self, shards: list[int]) -> None:
        """Record that the log now has snapshots of all programs of shards."""
        position = self._writer.last_position()
        self._snapshots.update(dict.fromkeys(shards, position))

    async def step(
        self,
        shard_map: shard_maps.ShardMap,
        serving: list[int],
        write_map: WriteMap,
        write_snapshots: WriteSnapshots,
    ) -> None:
        """Perform the next step of replacing the log or deleting old logs.

        :raises MagnoliawoodError: if an operation on the store fails
        """
        if self._writer.is_stalled or not serving:
            return
        if self._writer.segments >= self._limit or self._next_log_name:
            await self._replace(shard_map, serving, write_map, write_snapshots)
            return
        await self._remove_old_logs(shard_map, serving, write_map)

    async def _replace(
        self,
        shard_map: shard_maps.ShardMap,
        serving: list[int],
        write_map: WriteMap,
        write_snapshots: WriteSnapshots,
    ) -> None:
        self._next_log_name = self._next_log_name or self._make_log_name()
        extended_map = shard_map.add_log(serving, self._next_log_name)
        if extended_map != shard_map:
            await write_map(extended_map)
        if not self._writer.switch_log(self._next_log_name):
            return
        self._next_log_name = ''
        self._is_swept = False
        self._metrics.count('journal_logs_replaced_total')
        _log.info('journal log replaced', extra={'log': self._writer.log})
        await write_snapshots(serving)
        self.record_snapshots(serving)

    async def _remove_old_logs(
        self,
        shard_map: shard_maps.ShardMap,
        serving: list[int],
        write_map: WriteMap,
    ) -> None:
        own_logs = (self._writer.log,)
        durable = self._writer.durable
        compactable = [
            shard
            for shard in serving
            if shard_map.assignments[shard].logs != own_logs
            and self._snapshots.get(shard, durable + 1) <= durable
        ]
        if compactable:
            compacted_map = shard_map.replace_logs(compactable, list(own_logs))
            await write_map(compacted_map)
            for log in sorted(shard_map.logs() - compacted_map.logs()):
                await self._delete(log)
        if not self._is_swept:
            await self._sweep(shard_map)
            self._is_swept = True

    async def _sweep(self, shard_map: shard_maps.ShardMap) -> None:
        """Delete logs of earlier runs of this entry."""
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
