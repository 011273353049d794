"""What is asked of an account here, and what others know of it."""

import collections
import math

# Times over which demand is averaged, in seconds: the larger average counts,
# so that demand that rises is seen soon and single gaps are not.
DEMAND_PERIODS = (0.4, 2.0)
# Time until others know what was done here, as gateways assume it for their
# shares, in seconds.
SETTLING_TIME = 0.5
# What is done within this time is told together, in seconds.
TELL_INTERVAL = 0.05
# The least of all demands is that of the last one or two of these periods,
# in seconds.
LEAST_PERIOD = 2.0


def need(demand: float) -> float:
    """Return the weight of a demand, with what it varies by.

    Examples
    ========

    >>> [need(demand) for demand in (0.0, 8.0, 200.0)]
    [0.0, 16.0, 240.0]
    """
    return demand + 2.0 * math.sqrt(demand / SETTLING_TIME)


class UseLog:
    """Requests that this gateway has admitted within a window.

    Times are in seconds of the monotonic clock.

    Examples
    ========

    >>> log = UseLog(5.0, 0.0)
    >>> log.add(3, 1.0)
    >>> log.tell(1.1)
    >>> log.add(2, 1.3)
    >>> log.settle(1.2, 1.4)
    >>> log.unsettled, log.recent, log.total
    (2.0, 5.0, 5.0)
    """

    def __init__(self, window: float, now: float) -> None:
        self._window = window
        # First time, last time and number.
        self._entries: collections.deque[list[float]] = collections.deque()
        # Pairs of the time at which demand was told, and the demand.
        self._told: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._first_told = math.inf
        self._told_total = 0.0
        self._told_demand = 0.0
        self._demands = [0.0 for _ in DEMAND_PERIODS]
        self._asked_at = now
        self.total = 0.0
        self.recent = 0.0
        self._unsettled = 0.0

    @property
    def unsettled(self) -> float:
        """Requests that others may not know of."""
        return max(0.0, self._unsettled)

    @property
    def is_told(self) -> bool:
        """Whether others have been told of this account."""
        return bool(self._told)

    @property
    def told_demand(self) -> float:
        """The least demand that others may believe to be here."""
        return self._told_demand

    def demand(self, now: float) -> float:
        """Return the requests per second that callers have sent of late."""
        return max(self._averages(now))

    def _averages(self, now: float) -> list[float]:
        elapsed = max(0.0, now - self._asked_at)
        return [
            average * math.exp(-elapsed / period)
            for average, period in zip(
                self._demands, DEMAND_PERIODS, strict=True
            )
        ]

    def ask(self, now: float) -> None:
        """Record that a caller has sent a request."""
        self._demands = [
            average + 1.0 / period
            for average, period in zip(
                self._averages(now), DEMAND_PERIODS, strict=True
            )
        ]
        self._asked_at = now

    def add(self, number: float, now: float) -> None:
        """Record admitted requests; a negative number takes them back."""
        entries = self._entries
        if entries and now - entries[-1][0] < TELL_INTERVAL:
            entries[-1][1] = now
            entries[-1][2] += number
        else:
            entries.append([now, now, number])
        self.total += number
        self.recent += number
        self._unsettled += number

    def tell(self, now: float) -> None:
        """Record that others are told of all that was done before now."""
        self._told.append((now, self.demand(now)))
        self._told_total = self.total
        self._first_told = min(self._first_told, now)

    def has_news(self, now: float) -> bool:
        """Whether others should be told again."""
        if not self._told or self._told_total != self.total:
            return True
        told = self._told[-1][1]
        return abs(self.demand(now) - told) > max(0.5, 0.1 * told)

    def settle(self, settled_at: float | None, now: float) -> None:
        """Apply until when others know what was told.

        :param settled_at: ``None`` if there are no others
        """
        while self._entries and self._entries[0][1] < now - self._window:
            self.recent -= self._entries.popleft()[2]
        if settled_at is None:
            self._unsettled = 0.0
            self._told_demand = self._told[-1][1] if self._told else 0.0
            return
        if self._first_told > settled_at:
            self._unsettled = self.recent
            self._told_demand = 0.0
            return
        while len(self._told) > 1 and self._told[1][0] <= settled_at:
            self._told.popleft()
        self._told_demand = min(demand for _, demand in self._told)
        self._unsettled = 0.0
        for _, time, number in reversed(self._entries):
            if time <= settled_at:
                break
            self._unsettled += number


class PeerDemand:
    """Sum of the demands at all gateways, and its least value of late."""

    def __init__(self, now: float) -> None:
        self.total = 0.0
        self._least = [0.0, 0.0]
        self._period_end = now + LEAST_PERIOD

    @property
    def least(self) -> float:
        """The least sum of the last periods."""
        return min(self._least)

    def note(self, whole: float, now: float) -> None:
        """Record the sum of all demands."""
        if now >= self._period_end:
            self._period_end = now + LEAST_PERIOD
            self._least = [self._least[1], whole]
        else:
            self._least[1] = min(self._least[1], whole)
