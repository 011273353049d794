"""Tells requests that crash upstreams from those that ran beside them.

Explanation
===========

A crash is recorded for every request that was running in it, though one of
them caused it. A request that was running in more crashes explains those that
it shares with others. Requests that were running in the same crashes can't be
told apart until one of them runs alone.
"""

import collections.abc
import dataclasses
import itertools

from magnoliawood.limits import crash_record


def without_explained(
    record: crash_record.CrashRecord,
    others: collections.abc.Iterable[crash_record.CrashRecord],
) -> crash_record.CrashRecord:
    """Return a record in which crashes caused by others are cleared.

    Examples
    ========

    >>> crashes = [crash_record.Crash(name, 'a') for name in 'xyz']
    >>> import datetime
    >>> expires_at = datetime.datetime(2026, 1, 1)
    >>> guilty = crash_record.CrashRecord('f', tuple(crashes), expires_at)
    >>> beside = crash_record.CrashRecord('g', tuple(crashes[:2]), expires_at)
    >>> without_explained(beside, [guilty]).is_quarantined
    False
    >>> without_explained(guilty, [beside]).is_quarantined
    True
    """
    groups = crash_record.group_by_crash(record.open_crashes)
    minimum = max(crash_record.CONVICTION_CRASHES, len(groups) + 1)
    causes = [
        other.open_crashes
        for other in others
        if crash_record.count_crashes(other.open_crashes) >= minimum
    ]
    explained = itertools.chain.from_iterable(
        group
        for group in groups
        if any(_took_part(crashes, group) for crashes in causes)
    )
    return dataclasses.replace(
        record, cleared=tuple(sorted({*record.cleared, *explained}))
    )


def may_be_innocent(
    record: crash_record.CrashRecord,
    others: collections.abc.Iterable[crash_record.CrashRecord],
) -> bool:
    """Return whether each crash may have been caused by another request.

    Only requests that are quarantined too are taken into account, and a
    request that was running in as many crashes as it takes for a conviction
    is not innocent.
    """
    groups = crash_record.group_by_crash(record.open_crashes)
    if len(groups) >= crash_record.CONVICTION_CRASHES:
        return False
    rivals = [other.open_crashes for other in others if other.is_quarantined]
    return all(
        any(_took_part(crashes, group) for crashes in rivals)
        for group in groups
    )


def _took_part(
    crashes: collections.abc.Iterable[crash_record.Crash],
    group: list[crash_record.Crash],
) -> bool:
    """Return whether one of the crashes is that of the group."""
    return any(crash.is_same_crash(group[0]) for crash in crashes)
