"""Rate limits that upstreams name in their responses."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import upstream as upstreams


@dataclasses.dataclass(frozen=True, slots=True)
class _Statement:
    """What an upstream said about its limit.

    :param rate: requests per second; ``None`` if it named no limit
    :param seen_at: monotonic time of the response
    """

    rate: float | None
    seen_at: datetime.timedelta
    started_at: datetime.datetime | None


class RateLimits:
    """The rate of requests to which each upstream limits all gateways.

    Explanation
    ===========

    A limit holds from the response that names it to one without a limit. The
    response of a request that was sent before the limit was last named does
    not end it, since it may be older. If an upstream starts again with the
    same id, its limit does not hold any more.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> limits = RateLimits(clock)
    >>> engine = upstreams.Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
    >>> limits.record(engine, 4.9)
    >>> limits.rate(engine)
    4.9
    >>> clock.advance(datetime.timedelta(seconds=1))
    >>> limits.record_none(engine, sent_at=clock.monotonic())
    True
    >>> limits.rate(engine) is None
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: dict[str, _Statement] = {}

    def rate(self, upstream: upstreams.Upstream) -> float | None:
        """Return the limit in requests per second; ``None`` if none holds."""
        statement = self._newest(upstream)
        return None if statement is None else statement.rate

    def record(self, upstream: upstreams.Upstream, rate: float) -> None:
        """Record that a response names a limit."""
        self._own[upstream.id] = self._statement(upstream, rate)

    def record_none(
        self, upstream: upstreams.Upstream, sent_at: datetime.timedelta
    ) -> bool:
        """Record a response without a limit; return whether one ended.

        :param sent_at: monotonic time before which the request was not sent
        """
        newest = self._newest(upstream)
        if newest is None or newest.rate is None or sent_at < newest.seen_at:
            return False
        self._own[upstream.id] = self._statement(upstream, None)
        return True

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget upstreams that are not listed."""
        self._own = {
            upstream_id: statement
            for upstream_id, statement in self._own.items()
            if upstream_id in upstream_ids
        }

    def _newest(self, upstream: upstreams.Upstream) -> _Statement | None:
        statement = self._own.get(upstream.id)
        if statement is None or not upstreams.is_same_start(
            statement.started_at, upstream.started_at
        ):
            return None
        return statement

    def _statement(
        self, upstream: upstreams.Upstream, rate: float | None
    ) -> _Statement:
        return _Statement(rate, self._clock.monotonic(), upstream.started_at)
