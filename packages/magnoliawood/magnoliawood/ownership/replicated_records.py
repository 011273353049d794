"""Journal records that an entry keeps for other owners."""

import dataclasses
import itertools

from magnoliawood.core import errors
from magnoliawood.programs import records


@dataclasses.dataclass(slots=True)
class _HeldLog:
    records: dict[int, records.Record]
    is_sealed: bool = False


class ReplicatedRecords:
    """Records of other owners' logs that the store does not have yet.

    Explanation
    ===========

    An owner whose journal is late asks another entry to hold its records
    before it acts on them. The new owner of its shards seals the log here
    as it does in the store, so a record is either found by the new owner
    or refused to the former one.

    Examples
    ========

    >>> from magnoliawood.programs import identity
    >>> held = ReplicatedRecords()
    >>> ended = records.Ended(identity.ProgramKey('c', 'p'), 'done')
    >>> held.replicate('log-a', 5, [ended], durable=4)
    5
    >>> held.seal('log-a') == [ended]
    True
    >>> held.replicate('log-a', 6, [ended], durable=4)
    Traceback (most recent call last):
    ...
    magnoliawood.core.errors.MagnoliawoodError: stale_epoch: ...
    """

    def __init__(self) -> None:
        self._logs: dict[str, _HeldLog] = {}

    def __len__(self) -> int:
        return sum(len(log.records) for log in self._logs.values())

    def replicate(
        self,
        log: str,
        first: int,
        found: list[records.Record],
        durable: int,
    ) -> int:
        """Keep records of a log.

        :param first: position of the first record in the log
        :param durable: position up to which the store has the records
        :returns: position up to which no record is missing
        :raises MagnoliawoodError: with ``stale_epoch`` if it was sealed
        """
        known = self._logs.setdefault(log, _HeldLog({}))
        if known.is_sealed:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH, f'log {log} was sealed'
            )
        known.records.update(enumerate(found, start=first))
        for position in [p for p in known.records if p <= durable]:
            del known.records[position]
        if not known.records:
            del self._logs[log]
        present = itertools.takewhile(
            known.records.__contains__, itertools.count(durable + 1)
        )
        return max(present, default=durable)

    def seal(self, log: str) -> list[records.Record]:
        """Refuse further records of a log and return those held."""
        known = self._logs.setdefault(log, _HeldLog({}))
        known.is_sealed = True
        return [known.records[position] for position in sorted(known.records)]

    def release(self, log: str, shards: set[int]) -> None:
        """Drop the records of some shards but keep the seal of the log."""
        known = self._logs.setdefault(log, _HeldLog({}, is_sealed=True))
        known.records = {
            position: record
            for position, record in known.records.items()
            if records.program_of(record).shard not in shards
        }
