"""How long an idle connection to an upstream may rest before its next use."""

import datetime

from magnoliawood.core import clock as clocks

# Longest rest, whatever the upstream allows: it may close earlier.
MAX_IDLE_LIMIT = datetime.timedelta(seconds=5)
# Part of a rest after which a connection was lost that is used from then on.
SAFE_SHARE = 0.5
# A shorter limit would leave no connection to reuse.
MIN_IDLE_LIMIT = datetime.timedelta(milliseconds=20)
# How long a shortened limit stays.
SHORTENED_LIMIT_PERIOD = datetime.timedelta(seconds=60)


class IdleLimits:
    """Limits by service, shortened where connections were forgotten.

    Explanation
    ===========

    An upstream, or what stands before it, may drop idle connections without
    notice. A request that is sent on one is lost, and whether it ran is not
    known. So one such loss shortens the limit for all upstreams of the
    service, since they are usually set up alike.

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

    def limit(self, service: str) -> datetime.timedelta:
        """Return how long connections to a service may rest."""
        now = self._clock.monotonic()
        if self._until.get(service, now) <= now:
            return MAX_IDLE_LIMIT
        return self._limits[service]

    def record_lost_connection(
        self, service: str, idle_time: datetime.timedelta
    ) -> None:
        """Shorten the limit: a connection was lost after this rest."""
        shortened = min(self.limit(service), idle_time * SAFE_SHARE)
        self._limits[service] = max(shortened, MIN_IDLE_LIMIT)
        self._until[service] = self._clock.monotonic() + SHORTENED_LIMIT_PERIOD
