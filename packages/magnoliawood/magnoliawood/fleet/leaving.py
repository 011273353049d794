"""Upstreams that have announced in a response that they are leaving."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import upstream as upstreams

# An announcement is valid for this long after the last response with it, if
# the upstream does not state when it started.
ANNOUNCEMENT_PERIOD = datetime.timedelta(minutes=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """Announcement of an upstream that it is leaving.

    :param started_at: time at which its process started, if known
    """

    upstream_id: str
    started_at: datetime.datetime | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Mark:
    started_at: datetime.datetime | None
    until: datetime.timedelta


class LeavingUpstreams:
    """Announcements that this process has seen or peers have reported.

    Explanation
    ===========

    An upstream that leaves says so in each response, also where its entry in
    the store does not say it or is not known here. If it starts again with
    the same id, the announcement does not apply any more.

    Examples
    ========

    >>> leaving = LeavingUpstreams(clocks.ManualClock())
    >>> engine = upstreams.Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
    >>> engine in leaving
    False
    >>> leaving.add(engine)
    True
    >>> engine in leaving
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, _Mark] = {}
        self._reported: dict[str, _Mark] = {}

    def __contains__(self, upstream: upstreams.Upstream) -> bool:
        now = self._clock.monotonic()
        return any(
            mark is not None
            and mark.until > now
            and upstreams.is_same_start(mark.started_at, upstream.started_at)
            for mark in (
                self._own.get(upstream.id),
                self._reported.get(upstream.id),
            )
        )

    def add(self, upstream: upstreams.Upstream) -> bool:
        """Record an announcement; return whether it is new."""
        is_new = upstream not in self
        self._own[upstream.id] = self._mark(upstream.started_at)
        return is_new

    def announcements(self) -> list[Announcement]:
        """Return the announcements that this process has seen itself."""
        now = self._clock.monotonic()
        self._own = {
            upstream_id: mark
            for upstream_id, mark in self._own.items()
            if mark.until > now
        }
        return [
            Announcement(upstream_id, mark.started_at)
            for upstream_id, mark in self._own.items()
        ]

    def merge(
        self, announcements: collections.abc.Iterable[Announcement]
    ) -> None:
        """Record the announcements that a peer has seen."""
        now = self._clock.monotonic()
        self._reported = {
            upstream_id: mark
            for upstream_id, mark in self._reported.items()
            if mark.until > now
        }
        for announcement in announcements:
            self._reported[announcement.upstream_id] = self._mark(
                announcement.started_at
            )

    def _mark(self, started_at: datetime.datetime | None) -> _Mark:
        return _Mark(started_at, self._clock.monotonic() + ANNOUNCEMENT_PERIOD)
