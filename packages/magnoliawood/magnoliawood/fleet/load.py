"""Load of each upstream: its requests from all gateways."""

import collections
import dataclasses
import datetime

from magnoliawood.core import clock as clocks

# Reports of peers that are older than this are ignored.
REPORT_LIMIT = datetime.timedelta(seconds=2)
# How long an upstream that failed is avoided: doubles with each further
# failure, up to the limit.
AVOIDANCE_START = datetime.timedelta(milliseconds=500)
AVOIDANCE_LIMIT = datetime.timedelta(seconds=4)


@dataclasses.dataclass(slots=True)
class _PeerReport:
    received_at: datetime.timedelta
    requests: dict[str, int]


@dataclasses.dataclass(slots=True)
class _Avoidance:
    until: datetime.timedelta
    period: datetime.timedelta


class LoadTracker:
    """Requests in progress at each upstream, and upstreams that failed.

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
        self._local: collections.Counter[str] = collections.Counter()
        # In the order in which they were received, and their sums.
        self._peer_reports: collections.OrderedDict[str, _PeerReport] = (
            collections.OrderedDict()
        )
        self._peer_requests: collections.Counter[str] = collections.Counter()
        self._avoidances: dict[str, _Avoidance] = {}

    def begin(self, upstream_id: str) -> None:
        """Record a request that is about to be sent."""
        self._local[upstream_id] += 1

    def end(self, upstream_id: str) -> None:
        """Record the end of a request."""
        self._local[upstream_id] -= 1
        if self._local[upstream_id] <= 0:
            del self._local[upstream_id]

    def local_requests(self) -> dict[str, int]:
        """Return the number of requests of this process by upstream."""
        return dict(self._local)

    def record_from_peer(self, peer: str, requests: dict[str, int]) -> None:
        """Store the load report of another gateway."""
        now = self._clock.monotonic()
        self._drop_report(peer)
        self._peer_reports[peer] = _PeerReport(now, requests)
        self._peer_requests.update(requests)

    def requests(self, upstream_id: str) -> int:
        """Return the number of requests of all gateways at an upstream."""
        self._drop_old_reports()
        return self._local[upstream_id] + self._peer_requests[upstream_id]

    def _drop_old_reports(self) -> None:
        oldest = self._clock.monotonic() - REPORT_LIMIT
        while self._peer_reports:
            peer, report = next(iter(self._peer_reports.items()))
            if report.received_at >= oldest:
                return
            self._drop_report(peer)

    def _drop_report(self, peer: str) -> None:
        report = self._peer_reports.pop(peer, None)
        if report is None:
            return
        self._peer_requests.subtract(report.requests)
        for upstream_id in report.requests:
            if not self._peer_requests[upstream_id]:
                del self._peer_requests[upstream_id]

    def record_failure(self, upstream_id: str) -> None:
        """Avoid an upstream for the back-off period."""
        now = self._clock.monotonic()
        previous = self._avoidances.get(upstream_id)
        if previous is not None and previous.until > now:
            return
        period = AVOIDANCE_START
        if previous is not None and now - previous.until < AVOIDANCE_LIMIT:
            period = min(AVOIDANCE_LIMIT, previous.period * 2)
        self._avoidances[upstream_id] = _Avoidance(now + period, period)

    def record_success(self, upstream_id: str) -> None:
        """Stop avoiding an upstream."""
        self._avoidances.pop(upstream_id, None)

    def is_avoided(self, upstream_id: str) -> bool:
        """Return whether an upstream is in its back-off period."""
        previous = self._avoidances.get(upstream_id)
        return (
            previous is not None and previous.until > self._clock.monotonic()
        )
