"""Detection of outages of the platform's store.

An outage for all hosts is distinguished from a store that rejects this host.
"""

import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory

# In a shorter outage no entry expires, and peers may not have detected it yet.
MIN_OUTAGE = datetime.timedelta(seconds=2)


class StoreOutage:
    """The last outage of the store, as observed by this process.

    Explanation
    ===========

    While the store is unavailable to all hosts, entries may expire although
    their upstreams are running. While it rejects only some hosts, it still
    removes the entries of upstreams that terminate; then the upstream of a
    removed entry must not be retained.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> outage = StoreOutage(clock)
    >>> outage.record_failure(do_peers_reach_store=False)
    >>> clock.advance(MIN_OUTAGE)
    >>> outage.record_failure(do_peers_reach_store=False)
    >>> outage.record_response()
    >>> end = clock.monotonic() + directory.REREGISTRATION_PERIOD
    >>> outage.retain_until == end
    True
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._outage_start: datetime.timedelta | None = None
        self._is_global = False
        self._retain_until: datetime.timedelta | None = None

    @property
    def is_reachable(self) -> bool:
        """Whether the last request to the store got a response."""
        return self._outage_start is None

    @property
    def retain_until(self) -> datetime.timedelta | None:
        """Time until which upstreams with a removed entry are retained.

        Until then the entry may only have expired. ``None`` if there was no
        recent outage for all hosts.
        """
        now = self._clock.monotonic()
        if self._outage_start is not None and self._is_global:
            return now + directory.REREGISTRATION_PERIOD
        if self._retain_until is None or self._retain_until <= now:
            return None
        return self._retain_until

    def record_failure(self, do_peers_reach_store: bool) -> None:
        """Record a request without a response.

        :param do_peers_reach_store: whether a peer reports that it reaches
            the store
        """
        now = self._clock.monotonic()
        if self._outage_start is None:
            self._outage_start = now
            self._is_global = False
        if now - self._outage_start >= MIN_OUTAGE and not do_peers_reach_store:
            self._is_global = True

    def record_response(self) -> None:
        """Record a request with a response."""
        if self._outage_start is not None and self._is_global:
            now = self._clock.monotonic()
            self._retain_until = now + directory.REREGISTRATION_PERIOD
        self._outage_start = None
