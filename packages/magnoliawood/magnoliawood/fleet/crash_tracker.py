"""Distinguishes the crashes of upstreams that keep their id."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.limits import crash_record

_MIN_DISTANCE = crash_record.CRASH_SPAN + datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenCrash:
    crashed_at: datetime.datetime
    seen_at: datetime.timedelta


class CrashTracker:
    """Latest crash of each upstream that this process has seen.

    Explanation
    ===========

    An upstream may start again with the id that it had, so the id does not
    identify a crash. A crash closes all connections to the upstream: lost
    connections that were opened before a crash was seen belong to that
    crash, and the loss of a later one is another crash. A connection that
    serves a request sent after the crash was seen disproves it.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> tracker = CrashTracker(clock)
    >>> opened_at = clock.monotonic()
    >>> first = tracker.crash_time('i-1', opened_at)
    >>> clock.advance(datetime.timedelta(seconds=1))
    >>> tracker.crash_time('i-1', opened_at) == first
    True
    >>> tracker.crash_time('i-1', clock.monotonic()) == first
    False
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._latest: dict[str, _SeenCrash] = {}

    def crash_time(
        self, upstream_id: str, connected_at: datetime.timedelta
    ) -> datetime.datetime:
        """Return the time of the crash in which a connection was lost.

        Two crashes that this process tells apart are further apart than
        :data:`crash_record.CRASH_SPAN`.

        :param connected_at: monotonic time at which it had been opened
        """
        latest = self._latest.get(upstream_id)
        if latest is not None and connected_at <= latest.seen_at:
            return latest.crashed_at
        crashed_at = self._clock.now()
        if latest is not None:
            crashed_at = max(crashed_at, latest.crashed_at + _MIN_DISTANCE)
        self._latest[upstream_id] = _SeenCrash(
            crashed_at, self._clock.monotonic()
        )
        return crashed_at

    def disproved_crash(
        self,
        upstream_id: str,
        connected_at: datetime.timedelta,
        sent_at: datetime.timedelta,
    ) -> datetime.datetime | None:
        """Forget a crash that a served request disproves; return its time.

        :param connected_at: monotonic time at which the connection had been
            opened
        :param sent_at: monotonic time at which the request was sent on it
        """
        latest = self._latest.get(upstream_id)
        if latest is None or not connected_at <= latest.seen_at < sent_at:
            return None
        del self._latest[upstream_id]
        return latest.crashed_at

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget the crashes of upstreams that are not listed."""
        self._latest = {
            upstream_id: crash
            for upstream_id, crash in self._latest.items()
            if upstream_id in upstream_ids
        }
