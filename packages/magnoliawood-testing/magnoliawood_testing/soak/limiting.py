"""Upstreams of the soak test that name rate limits now and then."""

import dataclasses
import http
import itertools
import random
import threading
import time

from magnoliawood_testing.chaos import schedule as schedules
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.soak import promises
from magnoliawood_testing.standins import rate_bound

_RATES = (0.5, 2.0, 6.0)
_LIMITED_SECONDS = 10.0
_PAUSE_SECONDS = 2.0
# Callers go on for this long after the last fault, so that some limits are
# named and ended without any.
CALM_SECONDS = 2 * (_LIMITED_SECONDS + _PAUSE_SECONDS)
# A limit holds from this time after it was first named. A fault counts for as
# long after its end, since it excuses the gateways that it hit.
_GRACE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Limit:
    """A limit that an upstream named, in monotonic time."""

    upstream: str
    rate: float
    named_at: float
    ended_at: float


class LimitingUpstreams:
    """Lets upstreams name limits, one or all at a time, and checks them.

    Only windows without a fault are checked: a fault excuses the gateways
    that it hits, and upstreams don't see which gateway a request is from.

    :param faults: the faults that are injected meanwhile
    """

    def __init__(
        self,
        seed: int,
        deployment: hosted.HostedDeployment,
        checker: promises.GuaranteeChecker,
        faults: list[schedules.Fault],
    ) -> None:
        self._random = random.Random(f'{seed}/limiting')
        self._deployment = deployment
        self._checker = checker
        self._faults = faults
        self._started_at = 0.0
        self._limits: list[_Limit] = []
        self.checked_windows = 0

    def run(self, stop: threading.Event) -> None:
        """Change limits until the event is set, then end them."""
        self._started_at = time.monotonic()
        while not stop.is_set():
            names = list(self._deployment.upstreams)
            if self._random.random() < 0.5:
                names = [self._random.choice(names)]
            self._limit(names, stop)
            stop.wait(_PAUSE_SECONDS)

    def check_arrivals(self) -> None:
        """Check the requests of each upstream against its limits."""
        for limit in self._limits:
            arrivals = self._deployment.journals.arrivals_at(limit.upstream)
            for start in arrivals:
                end = start + rate_bound.WINDOW_SECONDS
                is_held = limit.named_at + _GRACE_SECONDS <= start
                if is_held and end <= limit.ended_at and self._is_calm(start):
                    self._check_window(limit, arrivals, start)

    def _limit(self, names: list[str], stop: threading.Event) -> None:
        """Let upstreams name a limit for a while.

        One that is killed meanwhile, or is not running, names none.
        """
        rate = self._random.choice(_RATES)
        named_at = time.monotonic()
        starts = {name: self._starts(name) for name in names}
        limited = [name for name in names if self._set_limit(name, rate)]
        stop.wait(_LIMITED_SECONDS)
        ended_at = time.monotonic()
        for name in names:
            self._set_limit(name, None)
        self._limits += [
            _Limit(name, rate, named_at, ended_at)
            for name in limited
            if starts[name] == self._starts(name)
        ]

    def _set_limit(self, name: str, rate: float | None) -> bool:
        """Return whether the upstream has changed its limit."""
        limit = None if rate is None else str(rate)
        response = self._deployment.upstream(
            name, '/control/faults', {'rate_limit': limit}
        )
        return response.status == http.HTTPStatus.OK

    def _starts(self, name: str) -> int:
        return self._deployment.upstream_processes[name].starts

    def _is_calm(self, start: float) -> bool:
        """Whether no fault excuses gateways in the window."""
        for fault in self._faults:
            begin = self._started_at + fault.start_seconds
            end = begin + fault.duration_seconds + _GRACE_SECONDS
            if begin <= start + rate_bound.WINDOW_SECONDS and start <= end:
                return False
        return True

    def _check_window(
        self, limit: _Limit, arrivals: list[float], start: float
    ) -> None:
        self.checked_windows += 1
        end = start + rate_bound.WINDOW_SECONDS
        window = [
            arrival
            for arrival in itertools.takewhile(
                lambda arrival: arrival < end, sorted(arrivals)
            )
            if arrival >= start
        ]
        excess = rate_bound.largest_excess(window, limit.rate)
        if excess > 0:
            self._checker.record_problem(
                f'{limit.upstream} got {excess} requests more than its limit '
                f'of {limit.rate} per second allows'
            )
