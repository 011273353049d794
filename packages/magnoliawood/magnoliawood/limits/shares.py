"""Division of the capacity of an upstream among its callers."""

import collections
import datetime
import typing

from magnoliawood.core import clock as clocks

# Time after a change to its waiting calls for which a caller is recent.
RECENT_CALLER_PERIOD = datetime.timedelta(seconds=30)
# Smallest limit on running calls at which one slot is reserved.
MIN_LIMIT_FOR_RESERVE = 4


class CallerShares(typing.Protocol):
    """Decides which callers have used up their share of an upstream."""

    def adjust_waiting(self, caller: str, change: int) -> None:
        """Add ``change`` to the number of waiting calls of a caller."""
        ...

    def adjust_running(self, caller: str, change: int) -> None:
        """Add ``change`` to the number of running calls of a caller."""
        ...

    def is_at_running_share(self, caller: str, limit: int) -> bool:
        """Return whether a caller has its share of ``limit`` running calls."""
        ...

    def is_at_waiting_share(self, caller: str, limit: float) -> bool:
        """Return whether a caller has its share of ``limit`` waiting calls."""
        ...

    def reserved_slots(self, limit: int) -> int:
        """Return the number of slots reserved for callers below their share.

        :param limit: maximum number of running calls
        """
        ...


class EqualShares:
    """Equal shares for all callers with calls at the upstream.

    Explanation
    ===========

    A share limits a caller only while other callers have calls: a single
    caller may use the whole upstream. While several callers have recently
    queued calls, one slot is reserved for callers below their share, since
    running calls are not preempted for them.

    Examples
    ========

    >>> shares = EqualShares(clocks.ManualClock())
    >>> shares.adjust_running('busy', 4)
    >>> shares.is_at_running_share('busy', 8)
    False
    >>> shares.adjust_waiting('calm', 1)
    >>> shares.is_at_running_share('busy', 8)
    True
    >>> shares.is_at_running_share('calm', 8)
    False
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._last_queue_changes: collections.OrderedDict[
            str, datetime.timedelta
        ] = collections.OrderedDict()
        self._waiting: collections.Counter[str] = collections.Counter()
        self._running: collections.Counter[str] = collections.Counter()
        self._calls_by_caller: collections.Counter[str] = collections.Counter()

    def adjust_waiting(self, caller: str, change: int) -> None:
        """Add ``change`` to the number of waiting calls of a caller."""
        _add(self._waiting, caller, change)
        _add(self._calls_by_caller, caller, change)
        self._last_queue_changes[caller] = self._clock.monotonic()
        self._last_queue_changes.move_to_end(caller)

    def adjust_running(self, caller: str, change: int) -> None:
        """Add ``change`` to the number of running calls of a caller."""
        _add(self._running, caller, change)
        _add(self._calls_by_caller, caller, change)

    def is_at_running_share(self, caller: str, limit: int) -> bool:
        """Return whether a caller has its share of ``limit`` running calls."""
        share = max(1.0, limit / max(1, len(self._calls_by_caller)))
        return self._running[caller] >= share

    def is_at_waiting_share(self, caller: str, limit: float) -> bool:
        """Return whether a caller has its share of ``limit`` waiting calls."""
        active_callers = len(self._calls_by_caller) + (
            caller not in self._calls_by_caller
        )
        return self._waiting[caller] >= limit / active_callers

    def reserved_slots(self, limit: int) -> int:
        """Return the number of slots reserved for callers below their share.

        :param limit: maximum number of running calls
        """
        oldest = self._clock.monotonic() - RECENT_CALLER_PERIOD
        while (
            self._last_queue_changes
            and next(iter(self._last_queue_changes.values())) < oldest
        ):
            self._last_queue_changes.popitem(last=False)
        return int(
            limit >= MIN_LIMIT_FOR_RESERVE
            and len(self._last_queue_changes) > 1
        )


class NoShares:
    """Baseline: no shares; only the total of waiting calls is limited."""

    def __init__(self) -> None:
        self._waiting = 0

    def adjust_waiting(self, caller: str, change: int) -> None:
        """Count the waiting calls of all callers together."""
        self._waiting += change

    def adjust_running(self, caller: str, change: int) -> None:
        """Ignore running calls, which are not limited."""

    def is_at_running_share(self, caller: str, limit: int) -> bool:
        """Return false: running calls of a caller are not limited."""
        return False

    def is_at_waiting_share(self, caller: str, limit: float) -> bool:
        """Return whether all callers together have ``limit`` waiting calls."""
        return self._waiting >= limit

    def reserved_slots(self, limit: int) -> int:
        """Return 0: no slot is reserved."""
        return 0


def _add(counter: collections.Counter[str], caller: str, change: int) -> None:
    counter[caller] += change
    if not counter[caller]:
        del counter[caller]
