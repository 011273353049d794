"""Requests that were running when their upstream crashed."""

import collections
import collections.abc
import dataclasses
import itertools

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import crash_record

# Maximum number of records in a list.
LIST_LIMIT = 1000
# Maximum number of records in one report to another process.
REPORT_LIMIT = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ChangedRecords:
    """Records that changed after a version, and the version reached."""

    records: list[crash_record.CrashRecord]
    version: int


class CrashList:
    """Suspected and quarantined requests by fingerprint.

    Explanation
    ===========

    A request that was running during one crash is suspected: it may run
    again, but not at the same time as another suspected request on the same
    upstream. A request that was running during two crashes before its response
    had started, or during three, is quarantined if one of them is certain.
    A suspected request that later completes is cleared, for one caller or
    for all. The number of records is limited and each record expires.
    Suspected requests are evicted before quarantined ones, the least recently
    updated first.

    Examples
    ========

    >>> crashes = CrashList(clocks.ManualClock())
    >>> one = crash_record.Crash('engine-1', 'a')
    >>> crashes.record_crashes('f', [one]).is_quarantined
    False
    >>> two = crash_record.Crash('engine-2', 'b')
    >>> crashes.record_crashes('f', [two]).is_quarantined
    True

    :param limit: maximum number of records
    """

    def __init__(self, clock: clocks.Clock, limit: int = LIST_LIMIT) -> None:
        self._clock = clock
        self._limit = limit
        self._records: collections.OrderedDict[
            str, crash_record.CrashRecord
        ] = collections.OrderedDict()
        # Incremented with each change; the records are in this order.
        self._version = 0
        self._versions: dict[str, int] = {}
        self._newly_quarantined: set[str] = set()
        self._released: set[str] = set()

    def __len__(self) -> int:
        return len(self._records)

    def crashes(self, fingerprint: str) -> frozenset[crash_record.Crash]:
        """Return the recorded crashes of a request."""
        record = self.find(fingerprint)
        return frozenset(record.crashes if record else ())

    def find(self, fingerprint: str) -> crash_record.CrashRecord | None:
        """Return the record of a request, unless it has expired."""
        record = self._records.get(fingerprint)
        if record is not None and record.expires_at <= self._clock.now():
            self._remove(fingerprint)
            return None
        return record

    def record_crashes(
        self,
        fingerprint: str,
        crashes: collections.abc.Iterable[crash_record.Crash],
    ) -> crash_record.CrashRecord:
        """Add crashes to the record of a request and return it."""
        previous = self.find(fingerprint) or crash_record.CrashRecord(
            fingerprint, (), self._clock.now()
        )
        new = list(crashes)
        record = previous.with_crashes(new)
        # A crash that does not fit still prolongs the record.
        has_new_crash = any(
            not any(map(crash.is_same_crash, previous.crashes))
            for crash in new
        )
        if record == previous and not has_new_crash:
            return previous
        period = (
            crash_record.QUARANTINE_PERIOD
            if record.is_quarantined
            else crash_record.SUSPICION_PERIOD
        )
        expires_at = self._clock.now() + period
        record = dataclasses.replace(record, expires_at=expires_at)
        if record.is_quarantined and has_new_crash:
            self._note_quarantine(fingerprint)
        return self._store(record)

    def others_in_crashes(
        self, record: crash_record.CrashRecord
    ) -> list[crash_record.CrashRecord]:
        """Return the records of other requests that ran in the same crashes.

        Records of another scope are left out.
        """
        processes = {crash.process_key for crash in record.open_crashes}
        return [
            other
            for other in self._records.values()
            if other.scope == record.scope
            and other.fingerprint != record.fingerprint
            and any(crash.process_key in processes for crash in other.crashes)
        ]

    def disprove(self, disproved: crash_record.Crash) -> int:
        """Clear a crash that did not happen from all records.

        :returns: number of records that change
        """
        affected = [
            record
            for record in self._records.values()
            if any(map(disproved.is_same_crash, record.open_crashes))
        ]
        for record in affected:
            cleared = filter(disproved.is_same_crash, record.open_crashes)
            self._store_cleared(record, cleared)
        return len(affected)

    def record_completion(
        self, fingerprint: str, caller: crash_record.Caller
    ) -> None:
        """Clear the crashes of one caller, for whom the request completed."""
        previous = self.find(fingerprint)
        if previous is None:
            return
        completed = self.add_completed(previous, [caller])
        self._store_cleared(
            completed,
            [crash for crash in completed.crashes if crash.caller == caller],
        )

    def add_completed(
        self,
        record: crash_record.CrashRecord,
        callers: collections.abc.Iterable[crash_record.Caller],
    ) -> crash_record.CrashRecord:
        """Add callers to a record of this list and return it."""
        completed = record.with_completed(callers)
        return record if completed == record else self._store(completed)

    def merge(
        self, record: crash_record.CrashRecord
    ) -> crash_record.CrashRecord:
        """Merge the record of another process into the list."""
        previous = self.find(record.fingerprint)
        if previous is None:
            return self._store(record)
        merged = previous.merged_with(record)
        if merged == dataclasses.replace(
            previous, expires_at=merged.expires_at
        ):
            return previous
        was_quarantined = previous.is_quarantined or record.is_quarantined
        if merged.is_quarantined and not was_quarantined:
            self._note_quarantine(record.fingerprint)
            expires_at = self._clock.now() + crash_record.QUARANTINE_PERIOD
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

    def take_newly_quarantined(self) -> list[crash_record.CrashRecord]:
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

    def refusal(
        self, record: crash_record.CrashRecord
    ) -> errors.MagnoliawoodError:
        """Return the error with which a quarantined request is rejected."""
        return errors.MagnoliawoodError(
            errors.ErrorCode.QUARANTINED,
            f'the request was running when {len(record.crashes)} upstreams '
            'crashed and is not run again',
            retry_after=record.expires_at - self._clock.now(),
        )

    def _store_cleared(
        self,
        previous: crash_record.CrashRecord,
        crashes: collections.abc.Iterable[crash_record.Crash],
    ) -> None:
        """Clear some crashes of a record."""
        cleared = tuple(sorted({*previous.cleared, *crashes}))
        record = dataclasses.replace(previous, cleared=cleared)
        if record != previous:
            self._note_release(previous, record)
            self._store(record)

    def _note_quarantine(self, fingerprint: str) -> None:
        self._released.discard(fingerprint)
        self._newly_quarantined.add(fingerprint)

    def _note_release(
        self,
        previous: crash_record.CrashRecord,
        record: crash_record.CrashRecord,
    ) -> None:
        if previous.is_quarantined and not record.is_quarantined:
            self._newly_quarantined.discard(record.fingerprint)
            self._released.add(record.fingerprint)

    def _store(
        self, record: crash_record.CrashRecord
    ) -> crash_record.CrashRecord:
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
