"""Journal of an owner: batches of records in one growing log."""

import itertools

import pydantic

from magnoliawood.programs import records

JOURNAL_PREFIX = 'journal/'
SEAL = 'sealed'
BATCH_LIMIT_BYTES = 900_000

_BATCH = pydantic.TypeAdapter(list[records.Record])


def segment_name(log: str, number: int) -> str:
    """Return the name of a segment.

    Examples
    ========

    >>> segment_name('entry-1.a', 12)
    'journal/entry-1.a/00000012'
    """
    return f'{JOURNAL_PREFIX}{log}/{number:08d}'


def encode_batch(batch: list[records.Record]) -> str:
    """Return the stored form of records."""
    return _BATCH.dump_json(batch).decode()


def decode_batch(text: str) -> list[records.Record]:
    """Parse the stored form of records.

    :raises pydantic.ValidationError: if it is malformed
    """
    return _BATCH.validate_json(text)


class JournalBuffer:
    """Records that wait for a write and how many are stored already.

    Explanation
    ===========

    Positions count records from 1. At most one write is in flight; records
    that arrive meanwhile gather for the next one (group commit).

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
        self._appended = 0
        self._durable = 0
        self._replicated = 0

    @property
    def appended(self) -> int:
        """Position of the last record."""
        return self._appended

    @property
    def is_writing(self) -> bool:
        """Whether a batch was taken and not confirmed yet."""
        return bool(self._in_flight)

    @property
    def durable(self) -> int:
        """Position up to which all records are stored."""
        return self._durable

    @property
    def replicated(self) -> int:
        """Position up to which a peer holds what is not stored."""
        return self._replicated

    @property
    def backlog(self) -> int:
        """Number of records that are not stored yet."""
        return self._appended - self._durable

    @property
    def backlog_bytes(self) -> int:
        """Approximate size of the waiting records in bytes."""
        return sum(self._waiting_sizes)

    def unstored_after(self, position: int) -> list[records.Record]:
        """Return the records after a position that are not stored yet."""
        unstored = [*self._in_flight, *self._waiting]
        return unstored[max(0, position - self._durable) :]

    def set_replicated(self, position: int) -> None:
        """Note up to which record a living peer holds them; 0 for none."""
        self._replicated = position

    def is_durable_or_replicated(self, position: int) -> bool:
        """Whether a record outlives this process.

        Only then may the owner act on it: send the order that an intent
        announces, or tell a caller an outcome.
        """
        return position <= max(self._durable, self._replicated)

    def append(self, record: records.Record) -> int:
        """Add a record and return its position."""
        self._waiting.append(record)
        self._waiting_sizes.append(len(_BATCH.dump_json([record])))
        self._appended += 1
        return self._appended

    def next_batch(self) -> list[records.Record]:
        """Return the batch to write next; the same one until confirmed."""
        if not self._in_flight:
            count = self._batch_length()
            self._in_flight = self._waiting[:count]
            del self._waiting[:count]
            del self._waiting_sizes[:count]
        return self._in_flight

    def confirm_batch(self) -> None:
        """Note that the batch was stored."""
        self._durable += len(self._in_flight)
        self._in_flight = []

    def _batch_length(self) -> int:
        totals = itertools.accumulate(self._waiting_sizes)
        fitting = sum(1 for total in totals if total <= BATCH_LIMIT_BYTES)
        return max(fitting, min(1, len(self._waiting)))
