"""Requests that were refused and told when to come back."""

import bisect
import collections
import dataclasses
import datetime

from magnoliawood.core import clock as clocks

# Maximum number of refused requests that are remembered.
RETURNS_LIMIT = 10_000
# A refused request is forgotten after this time.
MAX_AGE = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """What is known of a request that arrives.

    :param first_arrived: time at which it arrived for the first time
    :param has_place: whether a place was kept for its return
    """

    first_arrived: datetime.timedelta
    has_place: bool = False


class ExpectedReturns:
    """First arrivals of refused requests, and places promised to them.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> returns = ExpectedReturns(clock)
    >>> second = datetime.timedelta(seconds=1)
    >>> returns.record('program-1', '', clock.monotonic(), second)
    >>> returns.expected_within(2 * second, '')
    1
    >>> clock.advance(second)
    >>> returns.arrive('program-1', clock.monotonic())
    Arrival(first_arrived=datetime.timedelta(0), has_place=True)
    >>> returns.expected_within(2 * second, '')
    0
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._first_arrivals: collections.OrderedDict[
            str, datetime.timedelta
        ] = collections.OrderedDict()
        # Account of each place that is kept, and its time.
        self._due: dict[str, tuple[str, datetime.timedelta]] = {}
        # The same times in order, by account.
        self._due_times: dict[str, list[datetime.timedelta]] = {}

    def __len__(self) -> int:
        return len(self._first_arrivals)

    def record(
        self,
        name: str,
        account: str,
        first_arrived: datetime.timedelta,
        wait: datetime.timedelta | None,
    ) -> None:
        """Remember a request that is refused.

        :param name: name that its next attempt will have too
        :param wait: time after which it finds a place; ``None`` if none is
            kept for it
        """
        self._first_arrivals[name] = first_arrived
        self._first_arrivals.move_to_end(name)
        self._drop_place(name)
        if wait is not None:
            due = self._clock.monotonic() + wait
            self._due[name] = account, due
            bisect.insort(self._due_times.setdefault(account, []), due)
        self._forget_old()

    def arrive(self, name: str, now: datetime.timedelta) -> Arrival:
        """Return what is known of a request that arrives now."""
        has_place = name in self._due
        self._drop_place(name)
        first_arrived = self._first_arrivals.get(name, now)
        return Arrival(min(now, first_arrived), has_place)

    def expected_within(self, wait: datetime.timedelta, account: str) -> int:
        """Return how many requests of an account come back within a time."""
        now = self._clock.monotonic()
        times = self._due_times.get(account, [])
        first = bisect.bisect_right(times, now)
        return bisect.bisect_right(times, now + wait) - first

    def discard(self, name: str) -> None:
        """Forget a request that has got room."""
        self._first_arrivals.pop(name, None)
        self._drop_place(name)

    def _drop_place(self, name: str) -> None:
        if name not in self._due:
            return
        account, due = self._due.pop(name)
        times = self._due_times[account]
        del times[bisect.bisect_left(times, due)]
        if not times:
            del self._due_times[account]

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - MAX_AGE
        while self._first_arrivals:
            name, first_arrived = next(iter(self._first_arrivals.items()))
            is_excess = len(self._first_arrivals) > RETURNS_LIMIT
            if first_arrived >= oldest and not is_excess:
                return
            self.discard(name)
