"""Room of the upstreams of one service, as one of the gateways may use it.

What other gateways have under way is known from reports that are up to some
hundred milliseconds old.
"""

import collections
import collections.abc
import dataclasses
import datetime
import random

from magnoliawood.core import clock as clocks

# Requests that may wait at an upstream, as a share of its slots: a slot that
# comes free is taken before the word of it has reached a gateway.
QUEUE_SHARE = 0.125
# Below this share of all slots there is plenty of room.
PLENTY_SHARE = 0.5
# Age that reports of other gateways may have: what they have sent since is
# not known.
WORD_AGE = datetime.timedelta(milliseconds=200)
# Period over which the rate is measured at which room comes free.
RATE_PERIOD = datetime.timedelta(seconds=1)
# Weight of the expected rate against the measured one, in requests.
_EXPECTED_WEIGHT = 4.0
_SHORTEST_RUN = datetime.timedelta(milliseconds=1)
# A gateway does not count on less than one place in this time.
_SLOWEST_PER_SECOND = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load of an upstream.

    :param requests: requests of all gateways, with those of this one
    :param own: requests of this gateway, with those about to be sent
    """

    id: str
    slots: int
    requests: int
    own: int

    @property
    def others(self) -> int:
        """Requests of other gateways."""
        return self.requests - self.own

    @property
    def free(self) -> int:
        """Number of requests that may be added."""
        return self.slots + allowed_queue(self.slots) - self.requests


def allowed_queue(slots: int) -> int:
    """Return the number of requests that may wait at an upstream.

    Examples
    ========

    >>> allowed_queue(24), allowed_queue(12), allowed_queue(6)
    (3, 1, 1)
    """
    return max(1, int(slots * QUEUE_SHARE))


def share_of(
    own_demand: float,
    heard_demands: collections.abc.Collection[float],
    gateways: int,
) -> float:
    """Return the share of scarce room that this gateway may use.

    Explanation
    ===========

    A gateway of which nothing is heard is taken to have the mean demand. So
    one that has just started, or is cut off, errs to an equal share.

    Examples
    ========

    >>> share_of(6.0, [2.0, 4.0], 3)
    0.5
    >>> share_of(6.0, [], 22) == 1 / 22
    True

    :param heard_demands: requests under way or waiting at others
    :param gateways: number of known gateways, with this one
    """
    demands = [own_demand, *heard_demands]
    total = sum(demands)
    known = max(gateways, len(demands))
    if not heard_demands or not total:
        return 1 / known
    return own_demand / (total * known / len(demands))


class ServiceRoom:
    """Room of one service for the requests of this gateway.

    Explanation
    ===========

    While there is plenty, nothing is restricted. Else a gateway has a place
    for its share of all slots, at least one. Between two reports it takes at
    each upstream its share of what is free there, rounded at random, and
    what its own requests have left: so all gateways together take about as
    much as there is.

    Examples
    ========

    >>> room = ServiceRoom(clocks.ManualClock(), random.Random(1))
    >>> room.update([UpstreamLoad('i-1', 8, 8, 3)], 0.5)
    >>> room.is_plentiful, room.is_full, room.may_claim()
    (False, True, True)
    >>> room.update([UpstreamLoad('i-1', 8, 9, 4)], 0.5)
    >>> room.may_claim()
    False
    """

    def __init__(self, clock: clocks.Clock, source: random.Random) -> None:
        self._clock = clock
        self._source = source
        self._loads: dict[str, UpstreamLoad] = {}
        self._share = 1.0
        self._window_end = datetime.timedelta()
        # Requests that it may send in this window: beyond its quota, and to
        # each upstream.
        self._budget = 0
        self._allowances: dict[str, int] = {}
        self._ends: collections.deque[datetime.timedelta] = collections.deque()
        # Time since which room has been scarce.
        self._scarce_since = clock.monotonic()
        self._sum_up()

    def update(
        self, loads: collections.abc.Iterable[UpstreamLoad], share: float
    ) -> None:
        """Set what is known of the usable upstreams.

        :param share: share of scarce room that this gateway may use
        """
        self._loads = {load.id: load for load in loads}
        self._share = share
        self._sum_up()
        now = self._clock.monotonic()
        if self.is_plentiful:
            self._scarce_since = now
        if now >= self._window_end:
            self._window_end = now + WORD_AGE
            self._budget = self._round(self._free * share)
            self._allowances = {
                load.id: self._round(max(0, load.free) * share)
                for load in self._loads.values()
            }

    @property
    def slots(self) -> int:
        """Slots of all usable upstreams."""
        return self._slots

    @property
    def requests(self) -> int:
        """Requests of all gateways at the usable upstreams."""
        return self._requests

    @property
    def own(self) -> int:
        """Requests of this gateway at the usable upstreams."""
        return self._own

    @property
    def share(self) -> float:
        """Share of scarce room that this gateway may use."""
        return self._share

    @property
    def quota(self) -> int:
        """Number of requests of this gateway that always have a place."""
        return max(1, int(self._capacity * self._share))

    @property
    def is_plentiful(self) -> bool:
        """Whether most of the room is free."""
        return self._requests < self._slots * PLENTY_SHARE

    @property
    def is_full(self) -> bool:
        """Whether no slot is free."""
        return self._requests >= self._slots

    def may_claim(self) -> bool:
        """Return whether this gateway may send one more request now."""
        if self.is_plentiful:
            return True
        if not self._free:
            return False
        return self._own < self.quota or self._budget > 0

    def with_room(self) -> list[UpstreamLoad]:
        """Return the upstreams that may get one more request."""
        free = [load for load in self._loads.values() if load.free > 0]
        if self.is_plentiful:
            return free
        return [load for load in free if self._allowances.get(load.id, 0) > 0]

    def record_claim(self, upstream_id: str) -> None:
        """Record a request that is about to be sent."""
        if self._own >= self.quota:
            self._budget -= 1
        self._allow(upstream_id, -1)
        self._add(upstream_id, 1)

    def record_end(self, upstream_id: str) -> None:
        """Record the end of a request of this gateway."""
        self._ends.append(self._clock.monotonic())
        self._allow(upstream_id, 1)
        self._add(upstream_id, -1)

    def rate(self, run_time: datetime.timedelta) -> float:
        """Return the places that come free for this gateway in a second.

        :param run_time: mean time that a request takes
        """
        now = self._clock.monotonic()
        start = max(now - RATE_PERIOD, self._scarce_since)
        while self._ends and self._ends[0] < start:
            self._ends.popleft()
        slots = max(1.0, self._slots * self._share)
        expected = slots / max(run_time, _SHORTEST_RUN).total_seconds()
        period = (now - start).total_seconds() + _EXPECTED_WEIGHT / expected
        rate = (len(self._ends) + _EXPECTED_WEIGHT) / period
        return max(rate, _SLOWEST_PER_SECOND)

    def _round(self, expected: float) -> int:
        return int(expected + self._source.random())

    def _allow(self, upstream_id: str, change: int) -> None:
        if upstream_id in self._allowances:
            self._allowances[upstream_id] += change

    def _add(self, upstream_id: str, change: int) -> None:
        load = self._loads.get(upstream_id)
        if load is None:
            return
        self._loads[upstream_id] = UpstreamLoad(
            load.id, load.slots, load.requests + change, load.own + change
        )
        before, after = max(0, load.free), max(0, load.free - change)
        self._free += after - before
        self._requests += change
        self._own += change

    def _sum_up(self) -> None:
        loads = self._loads.values()
        self._slots = sum(load.slots for load in loads)
        self._requests = sum(load.requests for load in loads)
        self._own = sum(load.own for load in loads)
        self._free = sum(max(0, load.free) for load in loads)
        self._capacity = sum(
            load.slots + allowed_queue(load.slots) for load in loads
        )
