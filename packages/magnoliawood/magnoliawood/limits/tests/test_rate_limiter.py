import bisect
import datetime

import hypothesis
from hypothesis import strategies

from magnoliawood.core import clock as clocks
from magnoliawood.limits import rate_limiter

WINDOW_SECONDS = 4.0


def _allowed(rate):
    """Return how many requests the users' pages allow in a window."""
    return 1.5 * rate * WINDOW_SECONDS + 5


def _most_in_window(times):
    return max(
        (
            bisect.bisect_left(times, start + WINDOW_SECONDS) - index
            for index, start in enumerate(times)
        ),
        default=0,
    )


# Guards against more requests than an upstream allows, however they arrive.
@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.floats(0.0, 40.0),
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.0, 0.01, 0.1, 0.3, 1.0, 5.0]),
            strategies.integers(0, 3),
        ),
        max_size=300,
    ),
)
def test_bucket_keeps_to_the_limit(rate, arrivals):
    clock = clocks.ManualClock()
    limiter = rate_limiter.RateLimiter(clock)
    taken = []
    for pause, rank in arrivals:
        clock.advance(datetime.timedelta(seconds=pause))
        if limiter.take('i-1', rate, rank) is None:
            taken.append(clock.monotonic().total_seconds())
    assert _most_in_window(taken) <= _allowed(rate)


# Guards against a wait after which there is still no token.
@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(strategies.floats(0.0, 40.0), strategies.integers(0, 5))
def test_token_is_there_after_the_wait(rate, rank):
    clock = clocks.ManualClock()
    limiter = rate_limiter.RateLimiter(clock)
    while (wait := limiter.take('i-1', rate, rank)) is None:
        pass
    clock.advance(wait + datetime.timedelta(milliseconds=1))
    assert limiter.take('i-1', rate, rank) is None


def test_least_urgent_requests_leave_a_reserve():
    limiter = rate_limiter.RateLimiter(clocks.ManualClock())
    assert limiter.take('i-1', 4.0, 9) is not None
    assert limiter.take('i-1', 4.0, 0) is None


def test_lower_limit_holds_at_once():
    clock = clocks.ManualClock()
    limiter = rate_limiter.RateLimiter(clock)
    limiter.take('i-1', 100.0, 0)
    clock.advance(datetime.timedelta(minutes=1))
    taken = sum(limiter.take('i-1', 1.0, 0) is None for _ in range(100))
    assert taken <= rate_limiter.BURST_REQUESTS + 1
