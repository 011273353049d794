"""Journal of an owner: a log to which batches of records are appended."""

import codecs
import collections.abc
import itertools
import json

import pydantic

from magnoliawood.programs import records

JOURNAL_PREFIX = 'journal/'
# Content of the last segment of a sealed log: every later write to the log is
# rejected, because the number of its segment is already in use.
SEAL = 'sealed'
# Below the size limit that the platform's store sets for an object.
BATCH_LIMIT_BYTES = 900_000
# Most bytes that the store's JSON takes for a byte of a segment.
_MAX_ESCAPED_BYTES = 6
# Begins a segment that holds a part of a batch, with its number and the number
# of all parts.
_PART = 'part'
_PIECE_BYTES = 16 * 1024

_BATCH = pydantic.TypeAdapter(list[records.Record])


def segment_name(log: str, number: int) -> str:
    """Return the name of the store object that contains a segment.

    Examples
    ========

    >>> segment_name('entry-1.a', 12)
    'journal/entry-1.a/00000012'
    """
    return f'{JOURNAL_PREFIX}{log}/{number:08d}'


def encode_batch(batch: list[records.Record]) -> str:
    """Return records in the form in which they are stored."""
    return _BATCH.dump_json(batch).decode()


def decode_batch(text: str) -> list[records.Record]:
    """Parse records from the form in which they are stored.

    :raises pydantic.ValidationError: if it is malformed
    """
    return _BATCH.validate_json(text)


def encode_segments(batch: list[records.Record]) -> list[str]:
    """Return the segments in which a batch is stored.

    A record that is longer than the store's limit takes several of them.

    Examples
    ========

    >>> from magnoliawood.programs import identity, records
    >>> ended = records.Ended(identity.ProgramKey('c', 'p'), 'x' * 1_000_000)
    >>> [text[:8] for text in encode_segments([ended])]
    ['part 1 2', 'part 2 2']
    """
    data = _BATCH.dump_json(batch)
    if len(data) * _MAX_ESCAPED_BYTES <= BATCH_LIMIT_BYTES:
        return [data.decode()]
    texts = list(_parts(data))
    del data
    if len(texts) == 1:
        return texts
    # One by one, so that not all of the record is there twice.
    for index, text in enumerate(texts):
        texts[index] = f'{_PART} {index + 1} {len(texts)}\n{text}'
    return texts


def decode_segments(
    segments: collections.abc.Iterable[str],
) -> collections.abc.Iterator[records.Record]:
    """Yield the records of a log's segments, which are in order.

    The seal holds none, nor do the parts of a batch that was not completed,
    whose records were never reported to be stored.

    :raises pydantic.ValidationError: if a segment is malformed
    """
    parts: list[str] = []
    for segment in segments:
        if segment == SEAL:
            continue
        if not segment.startswith(_PART):
            yield from decode_batch(segment)
            continue
        head, _, text = segment.partition('\n')
        _, number, count = head.split(' ')
        parts = [*parts, text] if number != '1' else [text]
        if number == count:
            yield from decode_batch(''.join(parts))


def _parts(data: bytes) -> collections.abc.Iterator[str]:
    """Yield the text of a batch in parts that the store takes."""
    decoder = codecs.getincrementaldecoder('utf-8')()
    part: list[str] = []
    size_bytes = 0
    for start in range(0, len(data), _PIECE_BYTES):
        piece = decoder.decode(data[start : start + _PIECE_BYTES])
        piece_bytes = len(json.dumps(piece))
        if size_bytes + piece_bytes > BATCH_LIMIT_BYTES:
            yield ''.join(part)
            part, size_bytes = [], 0
        part.append(piece)
        size_bytes += piece_bytes
    yield ''.join(part)


class JournalBuffer:
    """Buffer of unstored records with the position of the last stored one.

    Explanation
    ===========

    The position of a record is its number in the log, from 1. At most one
    write is in flight; records that are appended in the meantime go into
    the next batch (group commit).

    Examples
    ========

    >>> from magnoliawood.programs import identity, records
    >>> buffer = JournalBuffer()
    >>> buffer.append(records.Ended(identity.ProgramKey('c', 'p'), 'done'))
    1
    >>> batch = buffer.next_batch()
    >>> buffer.durable, len(batch)
    (0, 1)
    >>> buffer.confirm_batch()
    >>> buffer.durable
    1
    """

    def __init__(self) -> None:
        self._waiting: list[records.Record] = []
        self._waiting_sizes: list[int] = []
        self._in_flight: list[records.Record] = []
        self._in_flight_sizes: list[int] = []
        self._appended = 0
        self._durable = 0
        self._replicated = 0

    @property
    def appended(self) -> int:
        """Position of the last appended record, 0 if there is none."""
        return self._appended

    @property
    def is_writing(self) -> bool:
        """Whether a batch is in flight and not confirmed yet."""
        return bool(self._in_flight)

    @property
    def durable(self) -> int:
        """Position up to which all records are in the store."""
        return self._durable

    @property
    def replicated(self) -> int:
        """Position up to which a peer replicates the unstored records."""
        return self._replicated

    @property
    def backlog(self) -> int:
        """Number of records that are not stored yet."""
        return self._appended - self._durable

    @property
    def backlog_bytes(self) -> int:
        """Approximate size in bytes of the records not stored yet."""
        return sum(self._in_flight_sizes) + sum(self._waiting_sizes)

    def unstored_after(self, position: int) -> list[records.Record]:
        """Return the records after a position that are not stored yet."""
        unstored = [*self._in_flight, *self._waiting]
        return unstored[max(0, position - self._durable) :]

    def unstored_batch(
        self, position: int, most_records: int, most_bytes: int
    ) -> list[records.Record]:
        """Return the first of the records after a position.

        :param most_records: number of records at most
        :param most_bytes: their approximate size, unless the first is longer
        """
        start = max(0, position - self._durable)
        sizes = [*self._in_flight_sizes, *self._waiting_sizes][start:]
        count = _fitting(sizes[:most_records], most_bytes)
        return self.unstored_after(position)[:count]

    def set_replicated(self, position: int) -> None:
        """Set the position up to which a reachable peer has replicas.

        :param position: position of the last replicated record, 0 for none
        """
        self._replicated = position

    def is_durable_or_replicated(self, position: int) -> bool:
        """Whether the record at a position survives a loss of this process.

        Only then may the owner act on the record: send the attempt that an
        intent announces or report an outcome to a caller.
        """
        return position <= max(self._durable, self._replicated)

    def append(self, record: records.Record) -> int:
        """Append a record and return its position."""
        self._waiting.append(record)
        self._waiting_sizes.append(len(_BATCH.dump_json([record])))
        self._appended += 1
        return self._appended

    def next_batch(self) -> list[records.Record]:
        """Return the next batch to write, the same one until confirmed."""
        if not self._in_flight:
            count = _fitting(self._waiting_sizes, BATCH_LIMIT_BYTES)
            self._in_flight = self._waiting[:count]
            self._in_flight_sizes = self._waiting_sizes[:count]
            del self._waiting[:count]
            del self._waiting_sizes[:count]
        return self._in_flight

    def confirm_batch(self) -> None:
        """Mark the records of the batch in flight as stored."""
        self._durable += len(self._in_flight)
        self._in_flight = []
        self._in_flight_sizes = []


def _fitting(sizes: list[int], limit_bytes: int) -> int:
    """Return how many of the first records fit; one if the first doesn't."""
    totals = itertools.accumulate(sizes)
    fitting = sum(1 for total in totals if total <= limit_bytes)
    return max(fitting, min(1, len(sizes)))
