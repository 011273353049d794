"""Journal records that an entry replicates for other owners."""

import dataclasses
import itertools

from magnoliawood.budgets import client_budget
from magnoliawood.core import errors
from magnoliawood.programs import footprint
from magnoliawood.programs import records

_USUAL_LIMIT_BYTES = 32 * 1024 * 1024


@dataclasses.dataclass(slots=True)
class _ReplicatedLog:
    records: dict[int, records.Record]
    is_sealed: bool = False


class ReplicatedRecords:
    """Records of the logs of other owners that are not yet in the store.

    Explanation
    ===========

    An owner whose journal writes are delayed has another entry replicate its
    records before it acts on them. A new owner of its shards seals the log
    here as well as in the store: every later write to the log is rejected.
    So a record is either found by the new owner or rejected when the
    previous owner sends it.

    :param limit_bytes: memory of all records; further ones are rejected, and
        a part of it is left to short ones

    Examples
    ========

    >>> from magnoliawood.programs import identity
    >>> replicated = ReplicatedRecords()
    >>> ended = records.Ended(identity.ProgramKey('c', 'p'), 'done')
    >>> replicated.replicate('log-a', 5, [ended], durable=4)
    5
    >>> replicated.seal('log-a') == [ended]
    True
    >>> replicated.replicate('log-a', 6, [ended], durable=4)
    Traceback (most recent call last):
    ...
    magnoliawood.core.errors.MagnoliawoodError: stale_epoch: ...
    """

    def __init__(self, limit_bytes: int = _USUAL_LIMIT_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._held_bytes = 0
        self._logs: dict[str, _ReplicatedLog] = {}

    @property
    def held_bytes(self) -> int:
        """Memory of all records."""
        return self._held_bytes

    def __len__(self) -> int:
        return sum(len(log.records) for log in self._logs.values())

    def replicate(
        self,
        log: str,
        first: int,
        batch: list[records.Record],
        durable: int,
    ) -> int:
        """Store records of a log until the store has them.

        :param first: position in the log of the first of the records
        :param batch: records at consecutive positions
        :param durable: position up to which the store has the records
        :returns: position up to which every record is here or in the store
        :raises MagnoliawoodError: with ``stale_epoch`` if the log is sealed,
            or with ``overloaded`` if there is no memory for the records
        """
        replicated_log = self._logs.setdefault(log, _ReplicatedLog({}))
        if replicated_log.is_sealed:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH, f'log {log} was sealed'
            )
        self._drop(
            replicated_log, [p for p in replicated_log.records if p <= durable]
        )
        new = {
            position: record
            for position, record in enumerate(batch, start=first)
            if position > durable and position not in replicated_log.records
        }
        size = sum(map(footprint.of_record, new.values()))
        limit = client_budget.limit_for(size, self._limit_bytes)
        if new and self._held_bytes and self._held_bytes + size > limit:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.OVERLOADED,
                'records of other entries hold all memory that they may',
            )
        replicated_log.records.update(new)
        self._held_bytes += size
        if not replicated_log.records:
            del self._logs[log]
        present = itertools.takewhile(
            replicated_log.records.__contains__, itertools.count(durable + 1)
        )
        return max(present, default=durable)

    def seal(self, log: str) -> list[records.Record]:
        """Reject further records of a log and return the replicated ones."""
        return [*self.seal_positions(log).values()]

    def seal_positions(self, log: str) -> dict[int, records.Record]:
        """Reject further records of a log and return those by position."""
        replicated_log = self._logs.setdefault(log, _ReplicatedLog({}))
        replicated_log.is_sealed = True
        return dict(sorted(replicated_log.records.items()))

    def release(self, log: str, shards: set[int]) -> None:
        """Remove the records of some shards; the log stays sealed."""
        replicated_log = self._logs.setdefault(
            log, _ReplicatedLog({}, is_sealed=True)
        )
        self._drop(
            replicated_log,
            [
                position
                for position, record in replicated_log.records.items()
                if records.program_of(record).shard in shards
            ],
        )

    def _drop(
        self, replicated_log: _ReplicatedLog, positions: list[int]
    ) -> None:
        for position in positions:
            record = replicated_log.records.pop(position)
            self._held_bytes -= footprint.of_record(record)
