import datetime
import random

from magnoliawood.core import clock as clocks
from magnoliawood.limits import permit_prices
from magnoliawood.limits import rate_limiter

RATE = 6.0
DEMAND = 30.0
SECONDS = 60


def _gains_of_permitted(seed):
    """Return what requests gain that get permits, and what all would gain."""
    source = random.Random(seed)
    clock = clocks.ManualClock()
    limiter = rate_limiter.RateLimiter(clock)
    prices = permit_prices.PermitPrices(clock)
    permitted, everyone = [], []
    for _ in range(int(DEMAND * SECONDS)):
        clock.advance(datetime.timedelta(seconds=source.expovariate(DEMAND)))
        gain = source.expovariate(1 / 300)
        everyone.append(gain)
        if gain < prices.price('i-1'):
            continue
        is_issued = limiter.take('i-1', RATE, 2) is None
        prices.record('i-1', is_issued)
        if is_issued:
            permitted.append(gain)
    return permitted, everyone


# Guards against permits for whatever comes first while long responses wait at
# full upstreams, and against a price at which permits are left over.
def test_permits_go_to_requests_that_gain_most():
    permitted, everyone = _gains_of_permitted(1)
    assert len(permitted) >= 0.85 * RATE * SECONDS
    mean = sum(everyone) / len(everyone)
    assert sum(permitted) / len(permitted) >= 1.8 * mean


def test_price_falls_while_nobody_asks():
    clock = clocks.ManualClock()
    prices = permit_prices.PermitPrices(clock)
    for _ in range(50):
        prices.record('i-1', is_issued=False)
    assert prices.price('i-1') == permit_prices.MAX_PRICE_MS
    clock.advance(permit_prices.HALF_LIFE)
    assert prices.price('i-1') == permit_prices.MAX_PRICE_MS / 2


# Guards against an idle upstream that nobody asks again whether its limit has
# ended, since others are never dearer.
def test_price_falls_to_nothing():
    clock = clocks.ManualClock()
    prices = permit_prices.PermitPrices(clock)
    prices.record('i-1', is_issued=False)
    clock.advance(10 * permit_prices.HALF_LIFE)
    assert prices.price('i-1') == 0.0


def test_upstreams_that_are_gone_have_no_price():
    prices = permit_prices.PermitPrices(clocks.ManualClock())
    prices.record('i-1', is_issued=False)
    prices.retain_only(set())
    assert prices.price('i-1') == 0.0
