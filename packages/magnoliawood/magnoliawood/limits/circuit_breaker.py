"""Circuit breaker for a dependency of every request."""

import datetime

from magnoliawood.core import clock as clocks

# The circuit opens when requests have failed for this long without a success.
OPEN_AFTER = datetime.timedelta(milliseconds=800)
# Interval at which an open circuit allows one request as a probe.
PROBE_INTERVAL = datetime.timedelta(milliseconds=250)


class CircuitBreaker:
    """Circuit breaker that opens when requests keep failing.

    Explanation
    ===========

    While the circuit is open, requests are rejected immediately and can be
    sent elsewhere, instead of each one waiting for the same failure.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> breaker = CircuitBreaker(clock)
    >>> breaker.record_failure()
    >>> clock.advance(OPEN_AFTER)
    >>> breaker.record_failure()
    >>> breaker.is_open, breaker.allow_request(), breaker.allow_request()
    (True, True, False)
    >>> breaker.record_success()
    >>> breaker.is_open
    False
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._failing_since: datetime.timedelta | None = None
        self._is_open = False
        self._next_probe = datetime.timedelta()

    @property
    def is_open(self) -> bool:
        """Whether requests are rejected, except for probes."""
        return self._is_open

    def allow_request(self) -> bool:
        """Return whether a request may be sent now.

        On an open circuit, true means that the request is the probe of the
        current interval.
        """
        if not self._is_open:
            return True
        now = self._clock.monotonic()
        if now < self._next_probe:
            return False
        self._next_probe = now + PROBE_INTERVAL
        return True

    def record_success(self) -> None:
        """Record a successful request and close the circuit."""
        self._failing_since = None
        self._is_open = False

    def record_failure(self) -> None:
        """Record a failed request; open the circuit if failures persist."""
        now = self._clock.monotonic()
        if self._failing_since is None:
            self._failing_since = now
        self._is_open = now - self._failing_since >= OPEN_AFTER
