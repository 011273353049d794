"""How long requests run and how many of each rank arrive."""

import collections
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.scheduling import urgency

# Period over which arrivals are counted.
ARRIVAL_PERIOD = datetime.timedelta(seconds=1)


class RunTime:
    """Moving mean of the time that requests take.

    Examples
    ========

    >>> run_time = RunTime()
    >>> run_time.record(datetime.timedelta(seconds=1))
    >>> run_time.mean.total_seconds()
    1.0
    """

    # Weight of the newest request.
    _WEIGHT = 0.1
    # Before any request has ended.
    _DEFAULT = datetime.timedelta(milliseconds=200)

    def __init__(self) -> None:
        self._mean: datetime.timedelta | None = None

    @property
    def mean(self) -> datetime.timedelta:
        """Mean of the times recorded."""
        return self._DEFAULT if self._mean is None else self._mean

    def record(self, run_time: datetime.timedelta) -> None:
        """Record the time that a request took."""
        if self._mean is None:
            self._mean = run_time
        self._mean += (run_time - self._mean) * self._WEIGHT


class ArrivalRates:
    """Arrivals in a second, by rank and client account.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> arrivals = ArrivalRates(clock)
    >>> first, second = (True, False, (0, 0)), (True, True, (0, 0))
    >>> arrivals.record(first, 'calm')
    >>> arrivals.record(second, 'calm')
    >>> arrivals.before(second, 'busy'), arrivals.before(first, 'calm')
    (1.0, 0.0)
    >>> arrivals.before(second, 'busy', is_over_share=True)
    2.0
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._arrivals: collections.deque[
            tuple[datetime.timedelta, urgency.Rank, str]
        ] = collections.deque()
        self._counts: collections.Counter[tuple[urgency.Rank, str]] = (
            collections.Counter()
        )

    def record(self, rank: urgency.Rank, account: str) -> None:
        """Record an arrival."""
        self._arrivals.append((self._clock.monotonic(), rank, account))
        self._counts[rank, account] += 1
        self._forget_old()

    def before(
        self, rank: urgency.Rank, account: str, is_over_share: bool = False
    ) -> float:
        """Return the arrivals in a second that go before a request.

        :param is_over_share: whether its account has more than its share, so
            that the others of its rank go before it
        """
        self._forget_old()
        count = sum(
            number
            for (other, name), number in self._counts.items()
            if other < rank
            or (is_over_share and other == rank and name != account)
        )
        return count / ARRIVAL_PERIOD.total_seconds()

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - ARRIVAL_PERIOD
        while self._arrivals and self._arrivals[0][0] < oldest:
            _, rank, account = self._arrivals.popleft()
            self._counts[rank, account] -= 1
            if not self._counts[rank, account]:
                del self._counts[rank, account]
