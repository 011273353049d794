"""Prices of the permits of upstreams with a rate limit."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks

# A denial raises a price by this factor and by this step in ms.
DENIAL_FACTOR = 1.3
DENIAL_STEP_MS = 20.0
# A permit that was issued lowers it by this factor.
ISSUE_FACTOR = 0.96
# Without requests for permits, a price halves in this time.
HALF_LIFE = datetime.timedelta(seconds=2)
MAX_PRICE_MS = 2000.0
# A lower price is none: an idle upstream with a limit is as good as another.
MIN_PRICE_MS = 1.0


@dataclasses.dataclass(slots=True)
class _Price:
    value: float
    updated_at: datetime.timedelta


class PermitPrices:
    """What a request must gain from a permit to be worth it, by upstream.

    Explanation
    ===========

    A limit counts requests, whatever work they are, and there are fewer
    permits than requests that would take one. The price makes those ask that
    gain most: long responses, and prompts that the upstream has cached. It
    rises with each denial and falls with each permit, so that about one in
    eight requests for a permit is denied.

    Examples
    ========

    >>> prices = PermitPrices(clocks.ManualClock())
    >>> prices.record('i-1', is_issued=False)
    >>> prices.price('i-1')
    20.0
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._prices: dict[str, _Price] = {}

    def price(self, upstream_id: str) -> float:
        """Return the price in ms of expected latency."""
        price = self._prices.get(upstream_id)
        if price is None:
            return 0.0
        age = self._clock.monotonic() - price.updated_at
        value = price.value * 0.5 ** (age / HALF_LIFE)
        return value if value >= MIN_PRICE_MS else 0.0

    def record(self, upstream_id: str, is_issued: bool) -> None:
        """Record whether a permit was issued or denied."""
        price = self.price(upstream_id)
        if is_issued:
            price *= ISSUE_FACTOR
        else:
            price = price * DENIAL_FACTOR + DENIAL_STEP_MS
        self._prices[upstream_id] = _Price(
            min(price, MAX_PRICE_MS), self._clock.monotonic()
        )

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget upstreams that are not listed."""
        self._prices = {
            upstream_id: price
            for upstream_id, price in self._prices.items()
            if upstream_id in upstream_ids
        }
