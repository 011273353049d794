"""Distinguishes the crashes of upstreams that keep their id."""

import collections.abc
import dataclasses
import datetime
import secrets

from magnoliawood.core import clock as clocks


@dataclasses.dataclass(frozen=True, slots=True)
class _SeenCrash:
    crash_id: str
    seen_at: datetime.timedelta


class CrashTracker:
    """Latest crash of each upstream that this process has seen.

    Explanation
    ===========

    An upstream may start again with the id that it had, so the id does not
    identify a crash. A crash closes all connections to the upstream: lost
    connections that were opened before a crash was seen belong to that
    crash, and the loss of a later one is another crash.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> tracker = CrashTracker(clock)
    >>> opened_at = clock.monotonic()
    >>> first = tracker.crash_of('i-1', opened_at)
    >>> clock.advance(datetime.timedelta(seconds=1))
    >>> tracker.crash_of('i-1', opened_at) == first
    True
    >>> tracker.crash_of('i-1', clock.monotonic()) == first
    False
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._latest: dict[str, _SeenCrash] = {}

    def crash_of(
        self, upstream_id: str, connected_at: datetime.timedelta
    ) -> str:
        """Return the id of the crash in which a connection was lost.

        :param connected_at: monotonic time at which it had been opened
        """
        latest = self._latest.get(upstream_id)
        if latest is not None and connected_at <= latest.seen_at:
            return latest.crash_id
        crash_id = f'{upstream_id}.{secrets.token_hex(4)}'
        self._latest[upstream_id] = _SeenCrash(
            crash_id, self._clock.monotonic()
        )
        return crash_id

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget the crashes of upstreams that are not listed."""
        self._latest = {
            upstream_id: crash
            for upstream_id, crash in self._latest.items()
            if upstream_id in upstream_ids
        }
