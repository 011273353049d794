"""Token buckets that keep requests to upstreams within their rate limits."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks

# A bucket holds this many requests and those of BURST_PERIOD more.
BURST_REQUESTS = 2.0
BURST_PERIOD = datetime.timedelta(milliseconds=500)
# The least urgent requests leave this many requests in the bucket, and those
# of RESERVE_PERIOD more, for urgent ones.
RESERVE_REQUESTS = 1.0
RESERVE_PERIOD = datetime.timedelta(milliseconds=250)
# Level of a new bucket if nothing is in progress: one urgent request.
START_LEVEL = 1.0
# Requests that are in progress when a limit becomes known count against it, up
# to those of this period.
MAX_DEBT_PERIOD = datetime.timedelta(seconds=2)
# An upstream that names a lower limit still gets this many requests per
# second, as only their responses show that the limit has changed.
MIN_RATE = 0.25


@dataclasses.dataclass(slots=True)
class _Bucket:
    level: float
    filled_at: datetime.timedelta

    def fill(self, rate: float, now: datetime.timedelta) -> None:
        seconds = (now - self.filled_at).total_seconds()
        capacity = BURST_REQUESTS + rate * BURST_PERIOD.total_seconds()
        self.level = min(capacity, self.level + rate * seconds)
        self.filled_at = now


def start_level(rate: float, in_progress: int) -> float:
    """Return the level of a new bucket.

    Examples
    ========

    >>> [start_level(4.0, in_progress) for in_progress in (0, 3, 50)]
    [1.0, -2.0, -8.0]

    :param rate: limit in requests per second
    :param in_progress: number of requests of all gateways at the upstream
    """
    max_debt = rate * MAX_DEBT_PERIOD.total_seconds()
    return max(START_LEVEL - in_progress, -max_debt)


def needed_level(rate: float, rank: int) -> float:
    """Return the level that a bucket needs for a request of a rank.

    Examples
    ========

    >>> [needed_level(4.0, rank) for rank in range(3)]
    [1.0, 2.0, 2.5]

    :param rate: limit in requests per second
    :param rank: 0 for the most urgent requests
    """
    reserve = RESERVE_REQUESTS + rate * RESERVE_PERIOD.total_seconds()
    return 1.0 + reserve * (1.0 - 0.5**rank)


class RateLimiter:
    """Buckets of the upstreams whose limits this process looks after.

    Explanation
    ===========

    A bucket fills at the rate of its limit and each request takes one token.
    Less urgent requests leave a reserve, so that where there are more
    requests than tokens the most urgent ones get them.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> limiter = RateLimiter(clock)
    >>> limiter.take('i-1', rate=4.0, rank=0) is None
    True
    >>> limiter.take('i-1', rate=4.0, rank=0).total_seconds()
    0.25
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def take(
        self, upstream_id: str, rate: float, rank: int, in_progress: int = 0
    ) -> datetime.timedelta | None:
        """Take a token; return the time until there may be one if not.

        :param rate: limit in requests per second
        :param rank: 0 for the most urgent requests
        :param in_progress: number of requests of all gateways at the upstream
        """
        now = self._clock.monotonic()
        rate = max(rate, MIN_RATE)
        bucket = self._buckets.setdefault(
            upstream_id, _Bucket(start_level(rate, in_progress), now)
        )
        bucket.fill(rate, now)
        missing = needed_level(rate, rank) - bucket.level
        if missing > 0:
            return datetime.timedelta(seconds=missing / rate)
        bucket.level -= 1
        return None

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget upstreams that are not listed."""
        self._buckets = {
            upstream_id: bucket
            for upstream_id, bucket in self._buckets.items()
            if upstream_id in upstream_ids
        }
