"""How many requests each upstream has from all gateways."""

import collections
import dataclasses
import datetime

from magnoliawood.core import clock as clocks

# A report of a peer that is older than this says nothing any more.
REPORT_LIMIT = datetime.timedelta(seconds=2)
# How long an upstream that failed is avoided; doubles with each failure.
AVOIDANCE_START = datetime.timedelta(milliseconds=500)
AVOIDANCE_LIMIT = datetime.timedelta(seconds=4)


@dataclasses.dataclass(slots=True)
class _PeerReport:
    arrived: datetime.timedelta
    requests: dict[str, int]


@dataclasses.dataclass(slots=True)
class _Avoidance:
    until: datetime.timedelta
    period: datetime.timedelta


class LoadTracker:
    """Requests under way at each upstream, and upstreams that failed.

    Examples
    ========

    >>> load_tracker = LoadTracker(clocks.ManualClock())
    >>> load_tracker.begin('i-1')
    >>> load_tracker.record_from_peer('gateway-2', {'i-1': 3})
    >>> load_tracker.requests('i-1'), load_tracker.local_requests()
    (4, {'i-1': 1})
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._own: collections.Counter[str] = collections.Counter()
        self._peers: dict[str, _PeerReport] = {}
        self._avoided: dict[str, _Avoidance] = {}

    def begin(self, upstream_id: str) -> None:
        """Note a request that is about to be sent."""
        self._own[upstream_id] += 1

    def end(self, upstream_id: str) -> None:
        """Note that a request has ended."""
        self._own[upstream_id] -= 1
        if self._own[upstream_id] <= 0:
            del self._own[upstream_id]

    def local_requests(self) -> dict[str, int]:
        """Return this process's requests by upstream."""
        return dict(self._own)

    def record_from_peer(self, peer: str, requests: dict[str, int]) -> None:
        """Take over the report of another gateway."""
        now = self._clock.monotonic()
        self._peers[peer] = _PeerReport(now, requests)

    def requests(self, upstream_id: str) -> int:
        """Return the requests of all gateways at an upstream."""
        oldest = self._clock.monotonic() - REPORT_LIMIT
        return self._own[upstream_id] + sum(
            report.requests.get(upstream_id, 0)
            for report in self._peers.values()
            if report.arrived >= oldest
        )

    def record_failure(self, upstream_id: str) -> None:
        """Avoid an upstream for a while."""
        now = self._clock.monotonic()
        known = self._avoided.get(upstream_id)
        if known is not None and known.until > now:
            return
        period = AVOIDANCE_START
        if known is not None and now - known.until < AVOIDANCE_LIMIT:
            period = min(AVOIDANCE_LIMIT, known.period * 2)
        self._avoided[upstream_id] = _Avoidance(now + period, period)

    def record_success(self, upstream_id: str) -> None:
        """Stop avoiding an upstream."""
        self._avoided.pop(upstream_id, None)

    def is_avoided(self, upstream_id: str) -> bool:
        """Whether an upstream failed a short time ago."""
        known = self._avoided.get(upstream_id)
        return known is not None and known.until > self._clock.monotonic()
