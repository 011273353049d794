"""Maximum idle time of connections to upstreams that are reused."""

import datetime

from magnoliawood.core import clock as clocks

# Upper bound, also for an upstream that allows a longer idle time: it may
# close the connection earlier.
MAX_IDLE_LIMIT = datetime.timedelta(seconds=5)
# A lost connection reduces the limit to this share of its idle time.
SAFE_IDLE_SHARE = 0.5
# With a shorter limit, no connection would be reused.
MIN_IDLE_LIMIT = datetime.timedelta(milliseconds=20)
# Period for which a shortened limit applies.
SHORTENED_LIMIT_PERIOD = datetime.timedelta(seconds=60)


class IdleLimits:
    """Idle limits by service, shortened when an idle connection was lost.

    Explanation
    ===========

    An upstream, or an intermediary in front of it, may drop idle
    connections without notice. A request that is sent on such a connection
    is lost, and whether it ran is unknown. Therefore a single loss shortens
    the limit for all upstreams of the service, since they usually have the
    same configuration.

    A response that an upstream broke off may look like an idle close. It does
    not shorten the limit if a connection that had been idle for longer served
    a request since the loss before it.

    Examples
    ========

    >>> limits = IdleLimits(clocks.ManualClock())
    >>> limits.limit('llm').total_seconds()
    5.0
    >>> limits.record_lost_connection('llm', datetime.timedelta(seconds=1))
    >>> limits.limit('llm').total_seconds()
    0.5
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._limits: dict[str, datetime.timedelta] = {}
        self._until: dict[str, datetime.timedelta] = {}
        # Longest idle time of a connection that served since the last loss.
        self._longest_served: dict[str, datetime.timedelta] = {}

    def limit(self, service: str) -> datetime.timedelta:
        """Return the maximum idle time of connections to a service."""
        now = self._clock.monotonic()
        if self._until.get(service, now) <= now:
            return MAX_IDLE_LIMIT
        return self._limits[service]

    def record_reuse(
        self, service: str, idle_time: datetime.timedelta
    ) -> None:
        """Record that an idle connection served a request."""
        longest = self._longest_served.get(service, idle_time)
        self._longest_served[service] = max(longest, idle_time)

    def record_lost_connection(
        self, service: str, idle_time: datetime.timedelta
    ) -> None:
        """Shorten the limit after the loss of an idle connection.

        :param idle_time: time for which the connection was idle
        """
        longest_served = self._longest_served.pop(service, None)
        if longest_served is not None and longest_served > idle_time:
            return
        shortened = min(self.limit(service), idle_time * SAFE_IDLE_SHARE)
        self._limits[service] = max(shortened, MIN_IDLE_LIMIT)
        self._until[service] = self._clock.monotonic() + SHORTENED_LIMIT_PERIOD
