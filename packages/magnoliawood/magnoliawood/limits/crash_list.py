"""Requests that were running when their upstream crashed."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools

import pydantic

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors

QUARANTINE_CRASHES = 2
SUSPICION_PERIOD = datetime.timedelta(minutes=10)
QUARANTINE_PERIOD = datetime.timedelta(hours=1)
LIST_LIMIT = 1000


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Crash:
    """One crash of one upstream.

    :param upstream: name of the host
    :param run: identity of the process that crashed
    """

    upstream: str
    run: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """The crashes during which one request was running.

    :param fingerprint: digest of the request's whole content
    :param crashes: different crashes in order
    :param expires_at: when the record is dropped
    """

    fingerprint: str
    crashes: tuple[Crash, ...]
    expires_at: datetime.datetime

    @property
    def is_quarantined(self) -> bool:
        """Whether the request is refused."""
        return len(self.crashes) >= QUARANTINE_CRASHES

    def to_text(self) -> str:
        """Return the stored form."""
        return _RECORD.dump_json(self).decode()

    @classmethod
    def from_text(cls, text: str) -> 'CrashRecord':
        """Parse the stored form.

        :raises pydantic.ValidationError: if it is malformed
        """
        return _RECORD.validate_json(text)


_RECORD = pydantic.TypeAdapter(CrashRecord)


class CrashList:
    """Suspected and quarantined requests by fingerprint.

    Explanation
    ===========

    A request that was running in one crash is suspected: it may run again,
    but not beside another suspect. One that was running in two crashes is
    quarantined. A suspect that later runs to its end is cleared. The list
    is bounded and its records expire; the oldest goes first.

    Examples
    ========

    >>> crashes = CrashList(clocks.ManualClock())
    >>> crashes.record_crashes('f', [Crash('engine-1', 'a')]).is_quarantined
    False
    >>> crashes.record_crashes('f', [Crash('engine-2', 'b')]).is_quarantined
    True

    :param limit: the most records kept
    """

    def __init__(self, clock: clocks.Clock, limit: int = LIST_LIMIT) -> None:
        self._clock = clock
        self._limit = limit
        self._records: collections.OrderedDict[str, CrashRecord] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def crashes(self, fingerprint: str) -> frozenset[Crash]:
        """Return the known crashes of a request."""
        record = self.find(fingerprint)
        return frozenset(record.crashes if record else ())

    def find(self, fingerprint: str) -> CrashRecord | None:
        """Return the record of a request, unless it has expired."""
        record = self._records.get(fingerprint)
        if record is not None and record.expires_at <= self._clock.now():
            del self._records[fingerprint]
            return None
        return record

    def record_crashes(
        self, fingerprint: str, crashes: collections.abc.Iterable[Crash]
    ) -> CrashRecord:
        """Add crashes to the record of a request and return it."""
        known = self.crashes(fingerprint)
        found = known | frozenset(crashes)
        if found == known and found:
            return self._records[fingerprint]
        is_quarantined = len(found) >= QUARANTINE_CRASHES
        period = QUARANTINE_PERIOD if is_quarantined else SUSPICION_PERIOD
        return self._keep(
            CrashRecord(
                fingerprint,
                tuple(sorted(found)),
                self._clock.now() + period,
            )
        )

    def merge(self, record: CrashRecord) -> CrashRecord:
        """Take over what another process knows of a request."""
        known = self.find(record.fingerprint)
        if known is None:
            return self._keep(record)
        if set(record.crashes) <= set(known.crashes):
            return known
        merged = CrashRecord(
            record.fingerprint,
            tuple(sorted({*known.crashes, *record.crashes})),
            max(known.expires_at, record.expires_at),
        )
        return self._keep(merged)

    def recent(self, limit: int = 20) -> list[CrashRecord]:
        """Return the records that changed last."""
        newest = itertools.islice(reversed(self._records.values()), limit)
        return list(newest)

    def clear(self, fingerprint: str) -> None:
        """Drop the record of a request."""
        self._records.pop(fingerprint, None)

    def check(self, fingerprint: str) -> None:
        """Refuse a quarantined request.

        :raises MagnoliawoodError: with ``quarantined``
        """
        record = self.find(fingerprint)
        if record is not None and record.is_quarantined:
            raise self.refusal(record)

    def refusal(self, record: CrashRecord) -> errors.MagnoliawoodError:
        """Return the error for a quarantined request."""
        return errors.MagnoliawoodError(
            errors.ErrorCode.QUARANTINED,
            f'the request was running when {len(record.crashes)} upstreams '
            'crashed and is not run again',
            retry_after=record.expires_at - self._clock.now(),
        )

    def _keep(self, record: CrashRecord) -> CrashRecord:
        self._records[record.fingerprint] = record
        self._records.move_to_end(record.fingerprint)
        while len(self._records) > self._limit:
            self._records.popitem(last=False)
        return record
