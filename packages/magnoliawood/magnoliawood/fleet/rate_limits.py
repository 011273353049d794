"""Rate limits that upstreams name in their responses."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import upstream as upstreams

# That a limit has ended is reported to peers for this long.
ENDED_PERIOD = datetime.timedelta(minutes=2)


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """What an upstream said about its limit, as reported to a peer.

    :param started_at: time at which its process started, if known
    :param rate: requests per second; ``None`` if it named no limit any more
    :param age_seconds: time since the response
    """

    upstream_id: str
    started_at: datetime.datetime | None
    rate: float | None
    age_seconds: float


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
        self._reported: dict[str, _Statement] = {}

    def rate(self, upstream: upstreams.Upstream) -> float | None:
        """Return the limit in requests per second; ``None`` if none holds."""
        return self.rate_of(upstream.id, upstream.started_at)

    def rate_of(
        self, upstream_id: str, started_at: datetime.datetime | None
    ) -> float | None:
        """Return the limit of one start of an upstream."""
        if not self._own and not self._reported:
            return None
        statement = self._newest(upstream_id, started_at)
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
        newest = self._newest(upstream.id, upstream.started_at)
        if newest is None or newest.rate is None or sent_at < newest.seen_at:
            return False
        self._own[upstream.id] = self._statement(upstream, None)
        return True

    def reports(self) -> list[LimitReport]:
        """Return what this process has seen itself and is not outdated."""
        now = self._clock.monotonic()
        return [
            LimitReport(
                upstream_id,
                statement.started_at,
                statement.rate,
                (now - statement.seen_at).total_seconds(),
            )
            for upstream_id, statement in self._own.items()
            if not self._is_outdated(upstream_id, statement, now)
        ]

    def merge(
        self,
        reports: collections.abc.Iterable[LimitReport],
        asked_at: datetime.timedelta,
    ) -> None:
        """Record what a peer has seen.

        :param asked_at: monotonic time at which the peer was asked, so that
            a reply that was long under way does not seem new
        """
        for report in reports:
            age = datetime.timedelta(seconds=report.age_seconds)
            statement = _Statement(
                report.rate, asked_at - age, report.started_at
            )
            known = self._reported.get(report.upstream_id)
            if known is None or known.seen_at < statement.seen_at:
                self._reported[report.upstream_id] = statement

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget upstreams that are not listed."""
        for statements in (self._own, self._reported):
            for upstream_id in list(statements):
                if upstream_id not in upstream_ids:
                    del statements[upstream_id]

    def _is_outdated(
        self,
        upstream_id: str,
        own: _Statement,
        now: datetime.timedelta,
    ) -> bool:
        """Whether a peer has seen something else since, or all know of it."""
        reported = self._reported.get(upstream_id)
        if reported is not None and reported.seen_at > own.seen_at:
            return reported.rate != own.rate
        return own.rate is None and now - own.seen_at > ENDED_PERIOD

    def _newest(
        self, upstream_id: str, started_at: datetime.datetime | None
    ) -> _Statement | None:
        statements = [
            statement
            for statement in (
                self._own.get(upstream_id),
                self._reported.get(upstream_id),
            )
            if statement is not None
            and upstreams.is_same_start(statement.started_at, started_at)
        ]
        return max(
            statements,
            key=lambda statement: statement.seen_at,
            default=None,
        )

    def _statement(
        self, upstream: upstreams.Upstream, rate: float | None
    ) -> _Statement:
        return _Statement(rate, self._clock.monotonic(), upstream.started_at)
