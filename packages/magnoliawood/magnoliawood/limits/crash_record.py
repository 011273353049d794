"""Crashes during which one request was running."""

import collections.abc
import dataclasses
import datetime

import pydantic

# Number of crashes that quarantine a request whose response had not started
# in them, and number that does in any case.
QUARANTINE_CRASHES = 2
CONVICTION_CRASHES = 3
# Connections that are lost within this time from each other, to one process,
# are lost in one crash. Host clocks differ by less.
CRASH_SPAN = datetime.timedelta(milliseconds=500)
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
# Between the scope and the digest in a fingerprint that has a scope.
SCOPE_SEPARATOR = '-'
_UNKNOWN_TIME = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Crash:
    """One crash of one upstream, as seen under the request of one caller.

    :param upstream: name of the host
    :param run: identifier of the process that crashed
    :param is_certain: whether nothing else explains the loss of the request;
        an upstream may also have closed a connection while it was idle
    :param caller: caller whose request was running
    :param seen_at: time of the crash; a constant if the process has another
        identifier after each start
    :param has_started: whether the response had started. The upstream had
        then run the request for a while, so that another request is the more
        likely cause.
    """

    upstream: str
    run: str
    is_certain: bool = True
    caller: Caller = ()
    seen_at: datetime.datetime = _UNKNOWN_TIME
    has_started: bool = False

    @property
    def process_key(self) -> tuple[str, str]:
        """Identity of the process that crashed."""
        return self.upstream, self.run

    def is_same_crash(self, other: 'Crash') -> bool:
        """Whether two callers' requests were lost in one crash."""
        return (
            self.process_key == other.process_key
            and abs(self.seen_at - other.seen_at) <= CRASH_SPAN
        )


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """The crashes during which one request was running.

    :param fingerprint: digest of the complete content of the request
    :param crashes: distinct crashes, sorted
    :param expires_at: time at which the record expires
    :param cleared: those of the crashes after which the request was completed
        for the same caller, and those that did not happen
    :param completed_callers: some callers for whom it was completed
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    expires_at: datetime.datetime
    cleared: tuple[Crash, ...] = ()
    completed_callers: tuple[Caller, ...] = ()

    @property
    def scope(self) -> str:
        """What of a request the fingerprint covers; empty for its content."""
        return self.fingerprint.rpartition(SCOPE_SEPARATOR)[0]

    @property
    def open_crashes(self) -> tuple[Crash, ...]:
        """The crashes that the request may have caused."""
        return tuple(
            crash for crash in self.crashes if crash not in self.cleared
        )

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is rejected because of its crashes."""
        return are_enough(self.open_crashes)

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
            callers = filter(crash.is_same_crash, updated)
            if sum(1 for _ in callers) < CALLER_LIMIT:
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


def group_by_crash(
    crashes: collections.abc.Iterable[Crash],
) -> list[list[Crash]]:
    """Group what several callers and gateways have seen of the same crash.

    Examples
    ========

    >>> second = datetime.timedelta(seconds=1)
    >>> one = Crash('engine-1', 'a', caller=('caller-1',))
    >>> same = dataclasses.replace(one, caller=('caller-2',))
    >>> later = dataclasses.replace(one, seen_at=one.seen_at + second)
    >>> [len(group) for group in group_by_crash([one, later, same])]
    [2, 1]
    """
    groups: list[list[Crash]] = []
    for crash in sorted(
        crashes, key=lambda crash: (crash.process_key, crash.seen_at)
    ):
        if groups and groups[-1][0].is_same_crash(crash):
            groups[-1].append(crash)
        else:
            groups.append([crash])
    return groups


def count_crashes(crashes: collections.abc.Iterable[Crash]) -> int:
    """Return the number of crashes; several callers may share one."""
    return len(group_by_crash(crashes))


def are_enough(crashes: collections.abc.Collection[Crash]) -> bool:
    """Return whether crashes quarantine the request that ran in them."""
    if not any(crash.is_certain for crash in crashes):
        return False
    groups = group_by_crash(crashes)
    before_start = [
        group
        for group in groups
        if not all(crash.has_started for crash in group)
    ]
    return (
        len(before_start) >= QUARANTINE_CRASHES
        or len(groups) >= CONVICTION_CRASHES
    )
