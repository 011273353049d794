"""Decides which callers a quarantined request is withheld from.

Explanation
===========

The same request may be completed for some callers and crash the upstreams
that run it for another one. That caller may look like another one each time,
so a completion for one caller says nothing about the next. These functions
attribute the crashes to what the callers during them have in common.
"""

import collections.abc
import datetime
import functools
import operator

from magnoliawood.limits import crash_record

FIRST_PAUSE = datetime.timedelta(seconds=10)
# First pause of content that only begins like content that crashed upstreams.
FIRST_PREFIX_PAUSE = datetime.timedelta(minutes=1)
PAUSE_GROWTH = 4

# An attribute of a caller: its position among the attributes, and its value.
Attribute = tuple[int, str]


def rejected_until(
    record: crash_record.CrashRecord, caller: crash_record.Caller
) -> datetime.datetime | None:
    """Return until when a caller's request must not run.

    Explanation
    ===========

    Nobody is rejected before the second crash. After that:

    - A request that was never completed is rejected for all callers, until
      the record expires.
    - If the callers in all crashes share an attribute with which the request
      was never completed, callers with that attribute are rejected, until the
      record expires.
    - Otherwise nothing tells the crashing caller from a new one, or the
      upstreams crashed for another reason. New callers are rejected for a
      pause that grows with each crash. In the pause callers are served that
      share an attribute with a completion and with no crash; after the third
      crash, only callers for whom the request was completed.

    Examples
    ========

    >>> crashes = (
    ...     crash_record.Crash('engine-1', 'a', caller=('session-1',)),
    ...     crash_record.Crash('engine-2', 'b', caller=('session-2',)),
    ... )
    >>> now = datetime.datetime(2026, 1, 1)
    >>> expires_at = now + crash_record.QUARANTINE_PERIOD
    >>> record = crash_record.CrashRecord('f', crashes, expires_at)
    >>> record = record.with_completed([('session-3',)])
    >>> rejected_until(record, ('session-3',))
    >>> rejected_until(record, ('session-4',)) - now
    datetime.timedelta(seconds=10)

    :returns: ``None`` if the caller is served
    """
    if not record.is_quarantined:
        return None
    if not caller or not record.completed_callers:
        return record.expires_at
    attributes = set(enumerate(caller))
    completed = _attributes_of(record.completed_callers)
    common = _common_attributes(record.open_crashes) - completed
    if common:
        return record.expires_at if attributes & common else None
    if _is_served_in_pause(record, caller):
        return None
    return pause_end(record)


def pause_end(
    record: crash_record.CrashRecord,
    first_pause: datetime.timedelta = FIRST_PAUSE,
) -> datetime.datetime:
    """Return until when new callers of a quarantined request wait."""
    count = crash_record.count_crashes(record.open_crashes)
    return record.last_crash_at + _pause(count, first_pause)


def _is_served_in_pause(
    record: crash_record.CrashRecord, caller: crash_record.Caller
) -> bool:
    """Return whether a caller is served while new callers have to wait."""
    crashed_callers = {crash.caller for crash in record.open_crashes}
    count = crash_record.count_crashes(record.open_crashes)
    if count > crash_record.QUARANTINE_CRASHES:
        is_known = caller in record.completed_callers
        return is_known and caller not in crashed_callers
    completed = _attributes_of(record.completed_callers)
    trusted = completed - _attributes_of(crashed_callers)
    return not trusted.isdisjoint(enumerate(caller))


def _pause(count: int, first_pause: datetime.timedelta) -> datetime.timedelta:
    """Return for how long new callers are rejected after a crash."""
    growth = PAUSE_GROWTH ** (count - crash_record.QUARANTINE_CRASHES)
    return min(first_pause * growth, crash_record.QUARANTINE_PERIOD)


def _common_attributes(
    crashes: collections.abc.Iterable[crash_record.Crash],
) -> set[Attribute]:
    """Return the attributes that some caller in each of the crashes has."""
    attributes_in_each = (
        _attributes_of(crash.caller for crash in group)
        for group in crash_record.group_by_crash(crashes)
    )
    return functools.reduce(operator.and_, attributes_in_each)


def _attributes_of(
    callers: collections.abc.Iterable[crash_record.Caller],
) -> set[Attribute]:
    return {attribute for caller in callers for attribute in enumerate(caller)}
