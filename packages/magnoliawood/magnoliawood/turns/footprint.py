"""Memory that the index of a replica takes for its records."""

import collections.abc

from magnoliawood.turns import records

# Memory of a record and of its places in the tables, beside its names.
RECORD_BYTES = 600


def of_record(record: records.Record) -> int:
    """Return the memory that a record takes in an index, without its body.

    Examples
    ========

    >>> charge = records.ChargeRecord('program', 'attempt', 80, False, 60.0)
    >>> of_record(charge) - RECORD_BYTES
    14

    :returns: bytes
    """
    return RECORD_BYTES + sum(map(len, _names(record)))


def of_all(all_records: collections.abc.Iterable[records.Record]) -> int:
    """Return the memory that some records take in an index."""
    return sum(map(of_record, all_records))


def _names(record: records.Record) -> tuple[str, ...]:
    match record:
        case records.TurnRecord():
            return record.turn_id, record.previous_id, record.account
        case records.ChargeRecord():
            return record.program_id, record.attempt_id
        case records.StreamRecord():
            return record.stream_id, record.service, record.version
