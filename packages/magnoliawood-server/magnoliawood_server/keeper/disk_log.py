"""Append-only log of records on disk, synced in batches (group commit)."""

import collections.abc
import contextlib
import dataclasses
import errno
import logging
import os
import pathlib
import struct
import zlib

import curio

_HEADER = struct.Struct('>II')
_SEGMENT_PATTERN = 'records-*.log'
_SEGMENT_LIMIT_BYTES = 8 * 1024 * 1024
# Entries that a rewrite holds in memory at once.
_REWRITE_PAGE_BYTES = 1024 * 1024

_log = logging.getLogger(__name__)


def frame(data: bytes) -> bytes:
    """Return an entry prefixed with its length and checksum."""
    return _HEADER.pack(len(data), zlib.crc32(data)) + data


def parse(content: bytes) -> collections.abc.Iterator[bytes]:
    """Yield the entries of a segment up to the first damaged one.

    Examples
    ========

    >>> content = frame(b'one') + frame(b'two')
    >>> list(parse(content[:-1]))
    [b'one']
    """
    start = 0
    while start + _HEADER.size <= len(content):
        length, checksum = _HEADER.unpack_from(content, start)
        start += _HEADER.size
        data = content[start : start + length]
        if len(data) < length or zlib.crc32(data) != checksum:
            return
        start += length
        yield data


def _pages(
    entries: collections.abc.Iterable[bytes],
) -> collections.abc.Iterator[list[bytes]]:
    """Yield entries in pages of a limited length."""
    page: list[bytes] = []
    length = 0
    for entry in entries:
        page.append(entry)
        length += len(entry)
        if length >= _REWRITE_PAGE_BYTES:
            yield page
            page, length = [], 0
    if page:
        yield page


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """Where an entry lies on disk.

    :param offset: position of the entry in its segment, after its header
    """

    segment: pathlib.Path
    offset: int
    length: int


@dataclasses.dataclass(slots=True)
class _Batch:
    """Entries that one sync makes durable.

    :param data: new entries
    :param failed_bytes: length of the data before them, whose write failed
    :param start: position of the data in the segment
    :param starts_segment: whether the batch is written to a new segment
    :param segment: file that the batch was written to
    """

    data: bytearray = dataclasses.field(default_factory=bytearray)
    failed_bytes: int = 0
    start: int = 0
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    starts_segment: bool = False
    segment: pathlib.Path | None = None
    error: OSError | None = None


class DiskLog:
    """Append-only log in segment files of one folder.

    Explanation
    ===========

    A power failure may leave entries torn that were appended after the last
    sync, so each process start begins a new segment. Syncs run on a worker
    thread, since the system call that syncs a file always blocks; entries
    that arrive during a sync share the next one.

    An entry is durable only if all entries before it are: those of a batch
    whose write failed are written again with the next batch. A turn that is
    confirmed therefore has its chain on the disk, not only in memory.

    :param folder: existing folder for the segment files
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._folder = folder
        self._batch = _Batch()
        self._wake = curio.Event()
        self._descriptor = -1
        self._segment = folder
        self._segment_bytes = 0
        self._total_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Total size of all segments in bytes."""
        return self._total_bytes

    @property
    def waiting_bytes(self) -> int:
        """Length of the entries that are not on disk yet."""
        return len(self._batch.data)

    def load(self) -> collections.abc.Iterator[bytes]:
        """Yield the entries of all segments, the oldest first."""
        return (entry for entry, _ in self.load_places())

    def load_places(self) -> collections.abc.Iterator[tuple[bytes, Place]]:
        """Yield the entries of all segments, and where each one lies."""
        for path in self._segments():
            content = path.read_bytes()
            self._total_bytes += len(content)
            read = 0
            for entry in parse(content):
                place = Place(path, read + _HEADER.size, len(entry))
                read += _HEADER.size + len(entry)
                yield entry, place
            if read < len(content):
                _log.warning(
                    'segment is damaged; the rest of it is not read',
                    extra={
                        'segment': path.name,
                        'read_bytes': read,
                        'unread_bytes': len(content) - read,
                    },
                )

    def read(self, place: Place) -> bytes:
        """Return an entry from where it lies.

        :raises OSError: if it can't be read, or is damaged
        """
        with place.segment.open('rb') as file:
            file.seek(place.offset - _HEADER.size)
            content = file.read(_HEADER.size + place.length)
        entry = next(parse(content), None)
        if entry is None:
            raise OSError(errno.EIO, 'a stored entry is damaged')
        return entry

    async def append(
        self, entries: collections.abc.Iterable[bytes]
    ) -> list[Place]:
        """Append entries and wait until they are on disk.

        :returns: where each of them lies
        :raises OSError: if writing or syncing fails
        """
        return await self._append(self._batch, entries)

    async def _append(
        self, batch: _Batch, entries: collections.abc.Iterable[bytes]
    ) -> list[Place]:
        positions = []
        for entry in entries:
            own_bytes = len(batch.data) - batch.failed_bytes
            positions.append((own_bytes + _HEADER.size, len(entry)))
            batch.data += frame(entry)
        await self._wait_durable(batch)
        assert batch.segment is not None  # Set by the write.
        start = batch.start + batch.failed_bytes
        return [
            Place(batch.segment, start + position, length)
            for position, length in positions
        ]

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._batch = self._batch, _Batch()
            try:
                await curio.run_in_thread(self._write, batch)
            except OSError as error:
                _log.error('disk write failed', extra={'error': str(error)})
                batch.error = error
                self._batch.data[:0] = batch.data
                self._batch.failed_bytes += len(batch.data)
                # The content of the segment is unknown after a failed write.
                self._close_segment()
            await batch.done.set()

    async def rewrite(
        self,
        entries: collections.abc.Iterable[bytes],
        move: collections.abc.Callable[[list[Place]], None] | None = None,
    ) -> None:
        """Replace all segments by ones with the given entries.

        :param move: told where the entries lie before older segments go
        :raises OSError: if writing, syncing or deleting fails
        """
        # A write in progress ends in the segment in which it began. That
        # segment is deleted below, so this must begin a new one.
        first = self._batch
        first.starts_segment = True
        batch = first
        places: list[Place] = []
        for page in _pages(entries):
            places += await self._append(batch, page)
            batch = self._batch
        if not places:
            await self._append(first, ())
        if move is not None:
            move(places)
        for path in self._segments():
            if first.segment is not None and path < first.segment:
                self._total_bytes -= path.stat().st_size
                path.unlink()

    async def _wait_durable(self, batch: _Batch) -> None:
        """Wait until a batch is on disk.

        :raises OSError: if writing or syncing it failed
        """
        await self._wake.set()
        await batch.done.wait()
        if batch.error is not None:
            raise batch.error

    def _segments(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob(_SEGMENT_PATTERN))

    def _write(self, batch: _Batch) -> None:
        if batch.starts_segment or self._segment_bytes > _SEGMENT_LIMIT_BYTES:
            self._close_segment()
        if self._descriptor < 0:
            self._open_segment()
        batch.segment = self._segment
        batch.start = self._segment_bytes
        content = batch.data
        try:
            self._append_durably(content)
        except OSError:
            self._cut_segment()
            raise
        self._segment_bytes += len(content)
        self._total_bytes += len(content)

    def _append_durably(self, content: bytes | bytearray) -> None:
        remainder = memoryview(content)
        while remainder:
            remainder = remainder[os.write(self._descriptor, remainder) :]
        os.fdatasync(self._descriptor)

    def _cut_segment(self) -> None:
        """Remove what a failed write left, so that tries don't add up."""
        with contextlib.suppress(OSError):
            os.ftruncate(self._descriptor, self._segment_bytes)

    def _open_segment(self) -> None:
        segments = self._segments()
        last = int(segments[-1].stem.split('-')[1]) if segments else 0
        self._segment = self._folder / f'records-{last + 1:08d}.log'
        self._descriptor = os.open(
            self._segment, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND
        )
        self._segment_bytes = 0

    def _close_segment(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = -1
