"""Shares of an upstream among callers."""

import collections
import datetime
import typing

from magnoliawood.core import clock as clocks

RECENT_CALLER_PERIOD = datetime.timedelta(seconds=30)
MIN_LIMIT_FOR_RESERVE = 4


class CallerShares(typing.Protocol):
    """Tells which callers have more than their share of an upstream."""

    def adjust_waiting(self, caller: str, change: int) -> None:
        """Add to the calls of a caller that wait."""
        ...

    def adjust_running(self, caller: str, change: int) -> None:
        """Add to the calls of a caller that run."""
        ...

    def is_at_running_share(self, caller: str, limit: int) -> bool:
        """Whether a caller runs its share of ``limit`` calls already."""
        ...

    def is_at_waiting_share(self, caller: str, limit: float) -> bool:
        """Whether a caller fills its share of ``limit`` waiting calls."""
        ...

    def reserved_slots(self, limit: int) -> int:
        """Return how many of ``limit`` calls are kept for small callers."""
        ...


class EqualShares:
    """Each caller with calls at the upstream has an equal share.

    Explanation
    ===========

    Shares bind only while other callers want them: a caller that is alone
    has the whole upstream. While several callers come and go, one of the
    calls that may run is kept free for those below their share, since a
    running call is not interrupted for them.

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
        self._seen: collections.OrderedDict[str, datetime.timedelta] = (
            collections.OrderedDict()
        )
        self._waiting: collections.Counter[str] = collections.Counter()
        self._running: collections.Counter[str] = collections.Counter()
        self._present: collections.Counter[str] = collections.Counter()

    def adjust_waiting(self, caller: str, change: int) -> None:
        """Add to the calls of a caller that wait."""
        _add(self._waiting, caller, change)
        _add(self._present, caller, change)
        self._seen[caller] = self._clock.monotonic()
        self._seen.move_to_end(caller)

    def adjust_running(self, caller: str, change: int) -> None:
        """Add to the calls of a caller that run."""
        _add(self._running, caller, change)
        _add(self._present, caller, change)

    def is_at_running_share(self, caller: str, limit: int) -> bool:
        """Whether a caller runs its share of ``limit`` calls already."""
        share = max(1.0, limit / max(1, len(self._present)))
        return self._running[caller] >= share

    def is_at_waiting_share(self, caller: str, limit: float) -> bool:
        """Whether a caller fills its share of ``limit`` waiting calls."""
        present = len(self._present) + (caller not in self._present)
        return self._waiting[caller] >= limit / present

    def reserved_slots(self, limit: int) -> int:
        """Return how many of ``limit`` calls are kept for small callers."""
        oldest = self._clock.monotonic() - RECENT_CALLER_PERIOD
        while self._seen and next(iter(self._seen.values())) < oldest:
            self._seen.popitem(last=False)
        return int(limit >= MIN_LIMIT_FOR_RESERVE and len(self._seen) > 1)


class NoShares:
    """Baseline: callers are not told apart, but for the queue's limit."""

    def __init__(self) -> None:
        self._waiting = 0

    def adjust_waiting(self, caller: str, change: int) -> None:
        """Count the waiting calls of all callers together."""
        self._waiting += change

    def adjust_running(self, caller: str, change: int) -> None:
        """Do nothing."""

    def is_at_running_share(self, caller: str, limit: int) -> bool:
        """Hold nobody back."""
        return False

    def is_at_waiting_share(self, caller: str, limit: float) -> bool:
        """Whether all callers together fill ``limit``."""
        return self._waiting >= limit

    def reserved_slots(self, limit: int) -> int:
        """Keep nothing free."""
        return 0


def _add(counter: collections.Counter[str], caller: str, change: int) -> None:
    counter[caller] += change
    if not counter[caller]:
        del counter[caller]
