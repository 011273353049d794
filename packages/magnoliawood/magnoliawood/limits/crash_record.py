"""Crashes during which one request was running."""

import collections.abc
import dataclasses
import datetime

import pydantic

# Number of different crashes after which a request is quarantined.
QUARANTINE_CRASHES = 2
SUSPICION_PERIOD = datetime.timedelta(minutes=10)
QUARANTINE_PERIOD = datetime.timedelta(hours=1)
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

    @property
    def run_key(self) -> tuple[str, str]:
        """Identity of the crash, equal for all callers in it."""
        return self.upstream, self.run


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

    def with_crashes(
        self, crashes: collections.abc.Iterable[Crash]
    ) -> 'CrashRecord':
        """Return the record with further crashes, each with few callers.

        Crashes beyond the limit are dropped.
        """
        updated = {*self.crashes}
        for crash in crashes:
            callers = [
                other for other in updated if other.run_key == crash.run_key
            ]
            if len(callers) < CALLER_LIMIT:
                updated.add(crash)
        return dataclasses.replace(
            self, crashes=tuple(sorted(updated))[:CRASH_LIMIT]
        )

    def merged_with(self, other: 'CrashRecord') -> 'CrashRecord':
        """Return a record with what two processes know of the request."""
        crashes = sorted({*self.crashes, *other.crashes})
        merged = dataclasses.replace(
            self,
            crashes=tuple(crashes[:CRASH_LIMIT]),
            expires_at=max(self.expires_at, other.expires_at),
            cleared=tuple(sorted({*self.cleared, *other.cleared})),
        )
        return merged.with_completed(other.completed_callers)

    def to_text(self) -> str:
        """Return the record in the format of the store."""
        return _RECORD.dump_json(self).decode()

    @classmethod
    def from_text(cls, text: str) -> 'CrashRecord':
        """Parse a record in the format of the store.

        :raises pydantic.ValidationError: if it is malformed
        """
        return _RECORD.validate_json(text)


_RECORD = pydantic.TypeAdapter(CrashRecord)


def count_crashes(crashes: collections.abc.Iterable[Crash]) -> int:
    """Return the number of crashes; several callers may share one."""
    return len({crash.run_key for crash in crashes})


def _are_enough(crashes: collections.abc.Collection[Crash]) -> bool:
    is_any_certain = any(crash.is_certain for crash in crashes)
    return is_any_certain and count_crashes(crashes) >= QUARANTINE_CRASHES
