"""Tells an outage of the platform's store from a host that it turns away."""

import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory

# In a shorter outage no entry lapses, and peers may not have noticed it yet.
MIN_OUTAGE = datetime.timedelta(seconds=2)


class StoreOutage:
    """What this process knows of the store's last outage.

    Explanation
    ===========

    Entries of upstreams may lapse while the store is away for everyone.
    While it turns only some hosts away, it goes on removing the entries of
    upstreams that really leave; then a removed entry must not be kept.

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
        self._began: datetime.timedelta | None = None
        self._is_for_all = False
        self._retain_until: datetime.timedelta | None = None

    @property
    def is_reachable(self) -> bool:
        """Whether the store answered last."""
        return self._began is None

    @property
    def retain_until(self) -> datetime.timedelta | None:
        """Until when a removed entry may only have lapsed, if at all."""
        now = self._clock.monotonic()
        if self._began is not None and self._is_for_all:
            return now + directory.REREGISTRATION_PERIOD
        if self._retain_until is None or self._retain_until <= now:
            return None
        return self._retain_until

    def record_failure(self, do_peers_reach_store: bool) -> None:
        """Note a call without an answer.

        :param do_peers_reach_store: whether a peer says that it reaches the
            store
        """
        now = self._clock.monotonic()
        if self._began is None:
            self._began = now
            self._is_for_all = False
        if now - self._began >= MIN_OUTAGE and not do_peers_reach_store:
            self._is_for_all = True

    def record_response(self) -> None:
        """Note a call that was answered."""
        if self._began is not None and self._is_for_all:
            now = self._clock.monotonic()
            self._retain_until = now + directory.REREGISTRATION_PERIOD
        self._began = None
