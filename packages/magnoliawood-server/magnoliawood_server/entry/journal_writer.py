"""Group commit of an owner's journal to the platform's store."""

import collections.abc
import dataclasses
import datetime
import logging

import curio

from magnoliawood.budgets import client_budget
from magnoliawood.core import errors
from magnoliawood.ownership import journal
from magnoliawood.platform import store
from magnoliawood.programs import records
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import record_replicator

DURABLE_WRITE_TIMEOUT = datetime.timedelta(milliseconds=250)
BACKLOG_LIMIT_BYTES = 16 * 1024 * 1024
_RETRY_INTERVAL = datetime.timedelta(milliseconds=200)

_log = logging.getLogger(__name__)

SealedCallback = collections.abc.Callable[[], collections.abc.Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class JournalPosition:
    """Position of a record in the log of one writer."""

    writer: 'JournalWriter'
    position: int

    async def wait_durable_or_replicated(self) -> bool:
        """Wait until the record is stored or replicated at a peer.

        :returns: false if the log was sealed or no replica could be made
        """
        return await self.writer.wait_durable_or_replicated(self.position)


class JournalWriter:
    """Appends to one log by group commit, one write in flight.

    Explanation
    ===========

    Segments are created under increasing numbers and never overwritten. An
    entry that takes the shards over seals the log: it creates the segment
    with the next number itself, with the seal as its content. The next
    write of this writer then fails with a version conflict, which shows
    that it has lost ownership.

    :param log: name of the log
    :param interval: shortest time between two writes
    :param on_sealed: called once another entry has sealed the log
    :param replicator: replicates records to a peer while the store does
        not accept them
    :param replica_bytes: memory that a peer has for the records of others
    """

    def __init__(
        self,
        objects: store.ObjectStore,
        log: str,
        interval: datetime.timedelta,
        metrics: registries.Registry,
        on_sealed: SealedCallback,
        replicator: record_replicator.RecordReplicator,
        replica_bytes: int = BACKLOG_LIMIT_BYTES,
    ) -> None:
        self._replica_bytes = replica_bytes
        self._objects = objects
        self._log = log
        self._interval = interval
        self._metrics = metrics
        self._on_sealed = on_sealed
        self._replicator = replicator
        self._buffer = journal.JournalBuffer()
        self._next_segment = 1
        # Segments of the batch in flight that are not stored yet.
        self._unwritten: list[str] = []
        self._appended = curio.Event()
        self._progress = curio.Event()
        self._is_stalled = False
        self._is_sealed = False

    @property
    def log(self) -> str:
        """Name of the log."""
        return self._log

    @property
    def segments(self) -> int:
        """Number of segments written to the log."""
        return self._next_segment - 1

    @property
    def is_stalled(self) -> bool:
        """Whether the last write to the store failed or timed out."""
        return self._is_stalled

    @property
    def is_sealed(self) -> bool:
        """Whether another entry has sealed the log."""
        return self._is_sealed

    @property
    def durable(self) -> int:
        """Highest position up to which all records are stored."""
        return self._buffer.durable

    @property
    def backlog(self) -> int:
        """Number of records that are not stored yet."""
        return self._buffer.backlog

    def has_room(self, size: int) -> bool:
        """Whether the backlog has room for the records of new work.

        While the store does not accept records, all peers may replicate
        theirs to the same one; a part of its room is left to small ones.

        :param size: in bytes
        """
        backlog = self._buffer.backlog_bytes
        if not self._is_stalled:
            limit = client_budget.limit_for(size, BACKLOG_LIMIT_BYTES)
            return backlog <= limit
        peers = max(1, self._replicator.peers)
        limit = min(BACKLOG_LIMIT_BYTES, self._replica_bytes // peers)
        limit = client_budget.limit_for(size, limit)
        return not backlog or backlog + size <= limit

    async def append(self, record: records.Record) -> 'JournalPosition':
        """Add a record and return its position in the log."""
        position = self._buffer.append(record)
        await self._appended.set()
        return JournalPosition(self, position)

    async def append_all(self, new_records: list[records.Record]) -> None:
        """Add records at consecutive positions."""
        for record in new_records:
            self._buffer.append(record)
        await self._appended.set()

    async def wait_durable_or_replicated(self, position: int) -> bool:
        """Wait until a record would survive the loss of this process.

        Explanation
        ===========

        A record survives once it is stored or, if the store does not
        respond within ``DURABLE_WRITE_TIMEOUT``, once a peer has replicated
        it. The new owner of a shard reads records from both.

        :returns: false if the log was sealed, or if neither the store nor
            a peer accepts the record
        """
        async with curio.ignore_after(DURABLE_WRITE_TIMEOUT.total_seconds()):
            await self.wait_durable(position)
        if self._buffer.is_durable_or_replicated(position):
            return True
        if self._is_sealed:
            return False
        try:
            is_replicated = await self._replicator.replicate(
                self._log, self._buffer, position
            )
        except errors.MagnoliawoodError:
            return False
        return is_replicated or await self.wait_durable(position)

    def switch_log(self, log: str) -> bool:
        """Write to another log from the next batch on.

        Positions of records continue to increase across the switch.

        :returns: false if the log is sealed, or if a batch in flight or
            replicated records still belong to the current log
        """
        if (
            self._buffer.is_writing
            or self._buffer.replicated
            or self._is_sealed
        ):
            return False
        self._log = log
        self._next_segment = 1
        return True

    def last_position(self) -> int:
        """Return the position of the last record."""
        return self._buffer.appended

    async def wait_durable(self, position: int) -> bool:
        """Wait until a record is stored.

        :returns: false if writes to the store fail or the log was sealed
        """
        while self._buffer.durable < position:
            if self._is_stalled or self._is_sealed:
                return False
            await self._progress.wait()
        return True

    async def wait_progress(self) -> None:
        """Wait until a batch is stored, a write fails or the log is sealed."""
        await self._progress.wait()

    async def run(self) -> None:
        """Write batches until the log is sealed."""
        while not self._is_sealed:
            await self._appended.wait()
            self._appended.clear()
            while self._buffer.backlog and not self._is_sealed:
                await self._write_segment()
                await curio.sleep(self._interval.total_seconds())

    async def _write_segment(self) -> None:
        """Write the next segment; after the last of a batch, confirm it."""
        batch = self._buffer.next_batch()
        if not self._unwritten:
            self._unwritten = journal.encode_segments(batch)
        try:
            await self._put(self._unwritten[0])
        except store.VersionConflict:
            await self.handle_seal()
            return
        except errors.MagnoliawoodError as error:
            await self._stall(error)
            return
        self._metrics.count('journal_writes_total')
        self._next_segment += 1
        del self._unwritten[0]
        if not self._unwritten:
            await self._confirm(batch)

    async def _put(self, text: str) -> None:
        """Create the next segment.

        :raises VersionConflict: if it exists with another content
        :raises MagnoliawoodError: if the store does not take it
        """
        name = journal.segment_name(self._log, self._next_segment)
        try:
            await self._objects.put(name, text, store.ABSENT)
        except store.VersionConflict as conflict:
            # An earlier attempt may have been applied although its reply was
            # lost.
            if conflict.current is None or conflict.current.value != text:
                raise

    async def handle_seal(self) -> None:
        """Stop writing to the log after another entry sealed it."""
        if self._is_sealed:
            return
        self._is_sealed = True
        _log.warning('journal sealed', extra={'log': self._log})
        await self._notify()
        await self._on_sealed()

    async def _confirm(self, batch: list[records.Record]) -> None:
        self._metrics.count('journal_records_total', len(batch))
        self._buffer.confirm_batch()
        if self._is_stalled:
            self._is_stalled = False
            _log.info('journal writes succeed again')
        await self._notify()
        await curio.spawn(
            self._replicator.trim, self._log, self._buffer, daemon=True
        )

    async def _stall(self, error: errors.MagnoliawoodError) -> None:
        self._metrics.count('journal_failures_total')
        if not self._is_stalled:
            self._is_stalled = True
            _log.warning('journal write failed', extra={'error': str(error)})
            await self._notify()
        try:
            await self._replicator.replicate(
                self._log, self._buffer, self._buffer.appended
            )
        except errors.MagnoliawoodError:
            _log.warning(
                'peer rejected records of a sealed log',
                extra={'log': self._log},
            )
        await curio.sleep(_RETRY_INTERVAL.total_seconds())

    async def _notify(self) -> None:
        progress, self._progress = self._progress, curio.Event()
        await progress.set()


async def read_log(
    objects: store.ObjectStore, log: str
) -> list[records.Record]:
    """Return all stored records of a log in order."""
    listing = await objects.scan(f'{journal.JOURNAL_PREFIX}{log}/')
    segments = sorted(listing.objects, key=lambda item: item.name)
    return list(journal.decode_segments(item.value for item in segments))


async def is_sealed(objects: store.ObjectStore, log: str) -> bool:
    """Return whether the stored log contains a seal."""
    listing = await objects.scan(f'{journal.JOURNAL_PREFIX}{log}/')
    return any(item.value == journal.SEAL for item in listing.objects)


async def seal_log(objects: store.ObjectStore, log: str) -> None:
    """Seal a log, so that every later write to it fails."""
    while True:
        listing = await objects.scan(f'{journal.JOURNAL_PREFIX}{log}/')
        if any(item.value == journal.SEAL for item in listing.objects):
            return
        name = journal.segment_name(log, len(listing.objects) + 1)
        try:
            await objects.put(name, journal.SEAL, store.ABSENT)
            return
        except store.VersionConflict:
            _log.info(
                'log was extended while being sealed; retrying',
                extra={'log': log},
            )
