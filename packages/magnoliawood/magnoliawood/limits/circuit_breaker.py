"""A circuit breaker for something that every request needs."""

import datetime

from magnoliawood.core import clock as clocks

# Failures without a success for this long open the circuit.
OPEN_AFTER = datetime.timedelta(milliseconds=800)
# An open circuit lets one request through so often.
PROBE_INTERVAL = datetime.timedelta(milliseconds=250)


class CircuitBreaker:
    """Says whether a request is worth trying.

    Explanation
    ===========

    While the circuit is open, requests are refused at once and may go
    elsewhere, in place of waiting for the same failure one after the other.

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
        """Whether requests are refused."""
        return self._is_open

    def allow_request(self) -> bool:
        """Whether a request may be tried now; takes the probe if so."""
        if not self._is_open:
            return True
        now = self._clock.monotonic()
        if now < self._next_probe:
            return False
        self._next_probe = now + PROBE_INTERVAL
        return True

    def record_success(self) -> None:
        """Note a request that succeeded."""
        self._failing_since = None
        self._is_open = False

    def record_failure(self) -> None:
        """Note a request that failed."""
        now = self._clock.monotonic()
        if self._failing_since is None:
            self._failing_since = now
        self._is_open = now - self._failing_since >= OPEN_AFTER
