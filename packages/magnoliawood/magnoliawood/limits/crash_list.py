"""Requests that were running when their upstream crashed."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools

import pydantic

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors

# Number of different crashes after which a request is quarantined.
QUARANTINE_CRASHES = 2
SUSPICION_PERIOD = datetime.timedelta(minutes=10)
QUARANTINE_PERIOD = datetime.timedelta(hours=1)
# Maximum number of records in a list.
LIST_LIMIT = 1000
# Maximum number of records in one report to another process.
REPORT_LIMIT = 100
# Maximum number of callers in one crash, of crashes with one caller each, and
# of callers for whom a request was completed, in one record.
CALLER_LIMIT = 4
CRASH_LIMIT = 64
COMPLETED_LIMIT = 16

# Digests of the attributes by which a caller may be recognised, in a fixed
# order; empty if it is not known.
Caller = tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Crash:
    """One crash of one upstream.

    :param upstream: name of the host
    :param run: identifier of the process that crashed or, if it may keep its
        identifier when it starts again, of the crash
    :param is_certain: whether nothing else explains the loss of the request;
        an upstream may also have closed a connection while it was idle
    :param caller: caller whose request was running
    """

    upstream: str
    run: str
    is_certain: bool = True
    caller: Caller = ()


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """The crashes during which one request was running.

    :param fingerprint: digest of the complete content of the request
    :param crashes: distinct crashes, sorted
    :param expires_at: time at which the record expires
    :param cleared: those of the crashes after which the request was completed
        for the same caller
    :param completed_callers: some callers for whom it was completed
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    expires_at: datetime.datetime
    cleared: tuple[Crash, ...] = ()
    completed_callers: tuple[Caller, ...] = ()

    @property
    def open_crashes(self) -> tuple[Crash, ...]:
        """The crashes that the request may have caused."""
        return tuple(
            crash for crash in self.crashes if crash not in self.cleared
        )

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is rejected because of its crashes."""
        return _are_enough(self.open_crashes)

    @property
    def last_crash_at(self) -> datetime.datetime:
        """Time of the last crash of a quarantined request."""
        return self.expires_at - QUARANTINE_PERIOD

    def with_completed(
        self, callers: collections.abc.Iterable[Caller]
    ) -> 'CrashRecord':
        """Return the record with further callers, up to the limit."""
        completed = dict.fromkeys([*self.completed_callers, *callers])
        return dataclasses.replace(
            self, completed_callers=tuple(completed)[:COMPLETED_LIMIT]
        )

    def to_text(self) -> str:
        """Return the record in the format of the store."""
        return _RECORD.dump_json(self).decode()

    @classmethod
    def from_text(cls, text: str) -> 'CrashRecord':
        """Parse a record in the format of the store.

        :raises pydantic.ValidationError: if it is malformed
        """
        return _RECORD.validate_json(text)


@dataclasses.dataclass(frozen=True, slots=True)
class ChangedRecords:
    """Records that changed after a version, and the version reached."""

    records: list[CrashRecord]
    version: int


_RECORD = pydantic.TypeAdapter(CrashRecord)


def count_crashes(crashes: collections.abc.Iterable[Crash]) -> int:
    """Return the number of crashes; several callers may share one."""
    return len({(crash.upstream, crash.run) for crash in crashes})


def _are_enough(crashes: collections.abc.Collection[Crash]) -> bool:
    is_any_certain = any(crash.is_certain for crash in crashes)
    return is_any_certain and count_crashes(crashes) >= QUARANTINE_CRASHES


def _with_crashes(
    known: tuple[Crash, ...], crashes: collections.abc.Iterable[Crash]
) -> tuple[Crash, ...]:
    """Return crashes with new ones, each with a limited number of callers."""
    updated = {*known}
    for crash in crashes:
        callers = [
            other
            for other in updated
            if (other.upstream, other.run) == (crash.upstream, crash.run)
        ]
        if len(callers) < CALLER_LIMIT:
            updated.add(crash)
    return tuple(sorted(updated))


def _merged(one: CrashRecord, other: CrashRecord) -> CrashRecord:
    """Return a record with all that two processes know of a request."""
    crashes = sorted({*one.crashes, *other.crashes})
    merged = dataclasses.replace(
        one,
        crashes=tuple(crashes[:CRASH_LIMIT]),
        expires_at=max(one.expires_at, other.expires_at),
        cleared=tuple(sorted({*one.cleared, *other.cleared})),
    )
    return merged.with_completed(other.completed_callers)


class CrashList:
    """Suspected and quarantined requests by fingerprint.

    Explanation
    ===========

    A request that was running during one crash is suspected: it may run
    again, but not at the same time as another suspected request on the same
    upstream. A request that was running during two crashes, of which one is
    certain, is quarantined.
    A suspected request that later completes is cleared, for one caller or
    for all. The number of records is limited and each record expires.
    Suspected requests are evicted before quarantined ones, the least recently
    updated first.

    Examples
    ========

    >>> crashes = CrashList(clocks.ManualClock())
    >>> crashes.record_crashes('f', [Crash('engine-1', 'a')]).is_quarantined
    False
    >>> crashes.record_crashes('f', [Crash('engine-2', 'b')]).is_quarantined
    True

    :param limit: maximum number of records
    """

    def __init__(self, clock: clocks.Clock, limit: int = LIST_LIMIT) -> None:
        self._clock = clock
        self._limit = limit
        self._records: collections.OrderedDict[str, CrashRecord] = (
            collections.OrderedDict()
        )
        # Incremented with each change; the records are in this order.
        self._version = 0
        self._versions: dict[str, int] = {}
        self._newly_quarantined: set[str] = set()
        self._released: set[str] = set()

    def __len__(self) -> int:
        return len(self._records)

    def crashes(self, fingerprint: str) -> frozenset[Crash]:
        """Return the recorded crashes of a request."""
        record = self.find(fingerprint)
        return frozenset(record.crashes if record else ())

    def find(self, fingerprint: str) -> CrashRecord | None:
        """Return the record of a request, unless it has expired."""
        record = self._records.get(fingerprint)
        if record is not None and record.expires_at <= self._clock.now():
            self._remove(fingerprint)
            return None
        return record

    def record_crashes(
        self, fingerprint: str, crashes: collections.abc.Iterable[Crash]
    ) -> CrashRecord:
        """Add crashes to the record of a request and return it."""
        previous = self.find(fingerprint) or CrashRecord(
            fingerprint, (), self._clock.now()
        )
        updated = _with_crashes(previous.crashes, crashes)
        if updated == previous.crashes and updated:
            return previous
        # A crash that doesn't fit still prolongs the record.
        record = dataclasses.replace(previous, crashes=updated[:CRASH_LIMIT])
        period = (
            QUARANTINE_PERIOD if record.is_quarantined else SUSPICION_PERIOD
        )
        expires_at = self._clock.now() + period
        record = dataclasses.replace(record, expires_at=expires_at)
        if record.is_quarantined and not previous.is_quarantined:
            self._newly_quarantined.add(fingerprint)
        return self._store(record)

    def record_completion(self, fingerprint: str, caller: Caller) -> None:
        """Clear the crashes of one caller, for whom the request completed."""
        previous = self.find(fingerprint)
        if previous is None:
            return
        completed = previous.with_completed([caller])
        cleared = [
            crash for crash in previous.crashes if crash.caller == caller
        ]
        record = dataclasses.replace(
            completed, cleared=tuple(sorted({*previous.cleared, *cleared}))
        )
        if record != previous:
            self._note_release(previous, record)
            self._store(record)

    def add_completed(
        self, record: CrashRecord, callers: collections.abc.Iterable[Caller]
    ) -> CrashRecord:
        """Add callers to a record of this list and return it."""
        completed = record.with_completed(callers)
        return record if completed == record else self._store(completed)

    def merge(self, record: CrashRecord) -> CrashRecord:
        """Merge the record of another process into the list."""
        previous = self.find(record.fingerprint)
        if previous is None:
            return self._store(record)
        merged = _merged(previous, record)
        if merged == dataclasses.replace(
            previous, expires_at=merged.expires_at
        ):
            return previous
        was_quarantined = previous.is_quarantined or record.is_quarantined
        if merged.is_quarantined and not was_quarantined:
            self._newly_quarantined.add(record.fingerprint)
            expires_at = self._clock.now() + QUARANTINE_PERIOD
            merged = dataclasses.replace(merged, expires_at=expires_at)
        self._note_release(previous, merged)
        return self._store(merged)

    def changed_after(
        self, version: int, limit: int = REPORT_LIMIT
    ) -> ChangedRecords:
        """Return the records that changed after a version, oldest first.

        :param limit: maximum number of records
        """
        newest_first = itertools.takewhile(
            lambda fingerprint: self._versions[fingerprint] > version,
            reversed(self._records),
        )
        changed = list(newest_first)[::-1][:limit]
        if not changed:
            return ChangedRecords([], self._version)
        return ChangedRecords(
            [self._records[fingerprint] for fingerprint in changed],
            self._versions[changed[-1]],
        )

    def take_newly_quarantined(self) -> list[CrashRecord]:
        """Return the records whose quarantine began here since the last call.

        Records that another process had quarantined are not included.
        """
        taken = [self._records[name] for name in self._newly_quarantined]
        self._newly_quarantined.clear()
        return taken

    def take_released(self) -> set[str]:
        """Return the requests whose quarantine ended since the last call."""
        taken = self._released
        self._released = set()
        return taken

    def clear(self, fingerprint: str) -> None:
        """Delete the record of a request, if there is one."""
        if fingerprint in self._records:
            self._remove(fingerprint)

    def check(self, fingerprint: str) -> None:
        """Reject a quarantined request.

        :raises MagnoliawoodError: with the code ``quarantined``, if the
            request is quarantined
        """
        record = self.find(fingerprint)
        if record is not None and record.is_quarantined:
            raise self.refusal(record)

    def refusal(self, record: CrashRecord) -> errors.MagnoliawoodError:
        """Return the error with which a quarantined request is rejected."""
        return errors.MagnoliawoodError(
            errors.ErrorCode.QUARANTINED,
            f'the request was running when {len(record.crashes)} upstreams '
            'crashed and is not run again',
            retry_after=record.expires_at - self._clock.now(),
        )

    def _note_release(
        self, previous: CrashRecord, record: CrashRecord
    ) -> None:
        if previous.is_quarantined and not record.is_quarantined:
            self._newly_quarantined.discard(record.fingerprint)
            self._released.add(record.fingerprint)

    def _store(self, record: CrashRecord) -> CrashRecord:
        self._version += 1
        self._versions[record.fingerprint] = self._version
        self._records[record.fingerprint] = record
        self._records.move_to_end(record.fingerprint)
        while len(self._records) > self._limit:
            self._remove(self._evictable())
        return record

    def _remove(self, fingerprint: str) -> None:
        del self._records[fingerprint]
        del self._versions[fingerprint]
        self._newly_quarantined.discard(fingerprint)

    def _evictable(self) -> str:
        """Return the fingerprint of the record to evict."""
        suspected = (
            fingerprint
            for fingerprint, record in self._records.items()
            if not record.is_quarantined
        )
        oldest = next(iter(self._records))
        return next(suspected, oldest)
