"""Append-only log of records on disk, with one sync for many records."""

import collections.abc
import dataclasses
import logging
import os
import pathlib
import struct
import zlib

import curio

_HEADER = struct.Struct('>II')
_SEGMENT_PATTERN = 'records-*.log'
_SEGMENT_LIMIT_BYTES = 8 * 1024 * 1024

_log = logging.getLogger(__name__)


def frame(data: bytes) -> bytes:
    """Return an entry with its length and checksum in front."""
    return _HEADER.pack(len(data), zlib.crc32(data)) + data


def parse(content: bytes) -> collections.abc.Iterator[bytes]:
    """Yield the entries of a segment up to the first that is damaged.

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


@dataclasses.dataclass(slots=True)
class _Batch:
    """Entries that one sync makes durable.

    :param is_first: whether it begins a new segment
    :param segment: where it was written
    """

    data: bytearray = dataclasses.field(default_factory=bytearray)
    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    is_first: bool = False
    segment: pathlib.Path | None = None
    error: OSError | None = None


class DiskLog:
    """Segments of entries in one folder.

    Explanation
    ===========

    What a process appended after its last sync may be torn by a loss of
    power, so each start begins a new segment. Syncs run on a worker thread,
    since a system call that waits for the disk has no other form; entries
    that arrive meanwhile share the next one.

    :param folder: exists already
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
        """Size of all segments."""
        return self._total_bytes

    def load(self) -> collections.abc.Iterator[bytes]:
        """Yield the entries of all segments, the oldest first."""
        for path in self._segments():
            content = path.read_bytes()
            self._total_bytes += len(content)
            yield from parse(content)

    async def append(self, entries: collections.abc.Iterable[bytes]) -> None:
        """Append entries and wait until they are on disk.

        :raises OSError: if the disk refuses them
        """
        await self._confirm(self._collect(entries))

    async def run(self) -> None:
        """Write batches for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            batch, self._batch = self._batch, _Batch()
            try:
                await curio.run_in_thread(self._write, batch)
            except OSError as error:
                _log.error('disk refused', extra={'error': str(error)})
                batch.error = error
                # What stands in the segment now is unknown.
                self._close_segment()
            await batch.done.set()

    async def rewrite(self, entries: collections.abc.Iterable[bytes]) -> None:
        """Replace all segments by one with the given entries.

        :raises OSError: if the disk refuses them
        """
        batch = self._collect(entries)
        # A write under way ends in the segment in which it began.
        batch.is_first = True
        await self._confirm(batch)
        for path in self._segments():
            if batch.segment is not None and path < batch.segment:
                self._total_bytes -= path.stat().st_size
                path.unlink()

    def _collect(self, entries: collections.abc.Iterable[bytes]) -> _Batch:
        """Add entries to those that are written next."""
        batch = self._batch
        for entry in entries:
            batch.data += frame(entry)
        return batch

    async def _confirm(self, batch: _Batch) -> None:
        """Wait until a batch is on disk.

        :raises OSError: if the disk refuses it
        """
        await self._wake.set()
        await batch.done.wait()
        if batch.error is not None:
            raise batch.error

    def _segments(self) -> list[pathlib.Path]:
        return sorted(self._folder.glob(_SEGMENT_PATTERN))

    def _write(self, batch: _Batch) -> None:
        if batch.is_first or self._segment_bytes > _SEGMENT_LIMIT_BYTES:
            self._close_segment()
        if self._descriptor < 0:
            self._open_segment()
        batch.segment = self._segment
        rest = memoryview(batch.data)
        while rest:
            rest = rest[os.write(self._descriptor, rest) :]
        os.fdatasync(self._descriptor)
        self._segment_bytes += len(batch.data)
        self._total_bytes += len(batch.data)

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
