"""Requests that wait at a gateway for room at the upstreams of a service."""

import collections
import collections.abc
import dataclasses
import datetime
import enum
import random

from magnoliawood.core import clock as clocks
from magnoliawood.limits import admission
from magnoliawood.scheduling import returns as expected_returns
from magnoliawood.scheduling import room as rooms
from magnoliawood.scheduling import run_rates
from magnoliawood.scheduling import urgency

# Maximum number of requests that wait; the least urgent is refused.
LINE_LIMIT = 256
# Requests that may be passed by others, since the room is not of use to them,
# each time that room comes free.
MOST_PASSED = 8
# A refused caller does not come back sooner.
SHORTEST_RETURN = datetime.timedelta(milliseconds=100)
# Share of the time left that a caller waits before it comes back.
LONGEST_RETURN_SHARE = 1 / 3

# Share of the rate on which a request may count whatever else arrives.
SMALLEST_RATE_SHARE = 0.1

# Chooses an upstream for a request, claims its place and returns its id, or
# ``None`` if there is none for it now.
Claim = collections.abc.Callable[[], str | None]


class Reason(enum.StrEnum):
    """Why a request is refused."""

    # It would get room only after its deadline.
    TOO_LATE = 'too_late'
    # It would get room only after its target, and may come back instead.
    OVER_TARGET = 'over_target'
    # The line is full of more urgent requests.
    LINE_FULL = 'line_full'


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Decision to run a request now at an upstream."""

    upstream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse a request, and what it was taken from.

    :param retry_after: time after which it finds room
    :param expected_wait: wait that was expected here
    :param ahead: requests that were to run before it
    :param rate: places that come free for it in a second
    :param is_kept: whether a place is kept for its return; else it finds
        room only if others do not return
    """

    reason: Reason
    retry_after: datetime.timedelta
    expected_wait: datetime.timedelta
    ahead: int
    rate: float
    is_kept: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """Decision to let a request wait here.

    :param expected_wait: time after which it is expected to run
    """

    expected_wait: datetime.timedelta


Decision = Run | Refuse | Wait


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits, and the latest decision on it.

    :param name: name that its next attempt will have too
    :param is_early_checked: whether it was decided at the last time at which
        a refusal does not hold up its caller
    """

    name: str
    request: urgency.WaitingRequest
    claim: Claim
    decision: Decision
    is_early_checked: bool = False


class WaitingLine:
    """Decides who runs now, who waits here and who is refused.

    Explanation
    ===========

    :meth:`arrive` decides on an arriving request. :meth:`grant` is to be
    called when room comes free, :meth:`review` when reports of other gateways
    have arrived and at intervals while requests wait. A caller that leaves is
    taken out by :meth:`leave`. A request that got room is told to :meth:`end`
    at its end.

    Examples
    ========

    >>> clock, source = clocks.ManualClock(), random.Random(1)
    >>> room = rooms.ServiceRoom(clock, source)
    >>> room.update([rooms.UpstreamLoad('i-1', 1, 2, 2)], 1.0)
    >>> line = WaitingLine(room, clock, source)
    >>> start, second = clock.monotonic(), datetime.timedelta(seconds=1)
    >>> request = urgency.WaitingRequest(
    ...     '', (0, 0), start, start, second, 2 * second, second, second / 4
    ... )
    >>> waiter, _ = line.arrive('r-1', request, lambda: 'i-1')
    >>> waiter.decision
    Wait(expected_wait=datetime.timedelta(microseconds=200000))
    >>> line.end('', 0, 'i-1', second / 4)
    >>> line.grant()[0].decision
    Run(upstream_id='i-1')

    :param room: room of the service
    """

    def __init__(
        self,
        room: rooms.ServiceRoom,
        clock: clocks.Clock,
        source: random.Random,
        limit: int = LINE_LIMIT,
    ) -> None:
        self._room = room
        self._clock = clock
        self._source = source
        self._limit = limit
        self._waiters: list[Waiter] = []
        self._use = urgency.AccountUse()
        self._returns = expected_returns.ExpectedReturns(clock)
        self._run_time = run_rates.RunTime()
        self._arrivals = run_rates.ArrivalRates(clock)

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def run_time(self) -> datetime.timedelta:
        """Mean time that requests took lately."""
        return self._run_time.mean

    def demand(self, slots: int) -> float:
        """Return the requests that have room or wait for it.

        An account counts with its equal part of the slots at most, so that
        it gains no room by sending more.
        """
        counts = collections.Counter(self._use.slots())
        counts.update(waiter.request.account for waiter in self._waiters)
        if not counts:
            return 0.0
        largest = max(1.0, slots / len(counts))
        return sum(min(count, largest) for count in counts.values())

    def known_arrival(
        self, name: str, now: datetime.timedelta
    ) -> expected_returns.Arrival:
        """Return what is known of a request that arrives now."""
        return self._returns.arrive(name, now)

    def arrive(
        self, name: str, request: urgency.WaitingRequest, claim: Claim
    ) -> tuple[Waiter, list[Waiter]]:
        """Decide on a request that arrives.

        :param name: name that its next attempt will have too
        :returns: the request, and others that wait no more
        """
        waiter = Waiter(name, request, claim, Wait(datetime.timedelta()))
        self._arrivals.record(urgency.rank(request), request.account)
        if not self._waiters and self._try_to_run(waiter):
            return waiter, []
        self._waiters.append(waiter)
        self._sort()
        decided = self._grant()
        last = self._waiters[-1:]
        if waiter not in decided:
            decided += self._refuse([waiter])
        if len(self._waiters) > self._limit:
            decided += self._refuse(last)
        return waiter, [other for other in decided if other is not waiter]

    def grant(self) -> list[Waiter]:
        """Let run who can since room came free, and return them."""
        if not self._waiters or not self._has_room():
            return []
        self._sort()
        return self._grant()

    def review(self) -> list[Waiter]:
        """Decide on all who wait; return those who wait no more."""
        if not self._waiters:
            return []
        self._sort()
        return self._grant() + self._refuse(list(self._waiters))

    def leave(self, waiter: Waiter) -> None:
        """Take out a request whose caller has left."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def end(
        self,
        account: str,
        tokens: int,
        upstream_id: str,
        run_time: datetime.timedelta | None,
    ) -> None:
        """Record the end of a request that had got room.

        :param run_time: time that it took; ``None`` if it did not run to its
            end
        """
        self._use.remove(account, tokens)
        self._room.record_end(upstream_id)
        if run_time is not None:
            self._run_time.record(run_time)

    def _sort(self) -> None:
        now = self._clock.monotonic()
        use = {
            account: self._use.share(account)
            for account in {w.request.account for w in self._waiters}
        }
        self._waiters.sort(
            key=lambda waiter: urgency.order(
                waiter.request, now, use[waiter.request.account]
            )
        )

    def _grant(self) -> list[Waiter]:
        """Let run who can, in order; what an account gets moves it back."""
        granted: list[Waiter] = []
        passed: set[Waiter] = set()
        while self._has_room() and len(passed) < MOST_PASSED:
            waiter = next((w for w in self._waiters if w not in passed), None)
            if waiter is None:
                break
            if self._try_to_run(waiter):
                granted.append(waiter)
                self._waiters.remove(waiter)
                self._sort()
            else:
                passed.add(waiter)
        return granted

    def _has_room(self) -> bool:
        return self._room.may_claim() and bool(self._room.with_room())

    def _try_to_run(self, waiter: Waiter) -> bool:
        if not self._room.may_claim():
            return False
        upstream_id = waiter.claim()
        if upstream_id is None:
            return False
        self._room.record_claim(upstream_id)
        self._use.add(waiter.request.account, waiter.request.tokens)
        self._returns.discard(waiter.name)
        waiter.decision = Run(upstream_id)
        return True

    def _refuse(self, waiters: list[Waiter]) -> list[Waiter]:
        """Refuse those who can't be served in time; the others wait."""
        rate = self._room.rate(self.run_time)
        refused: list[Waiter] = []
        places = {waiter: place for place, waiter in enumerate(self._waiters)}
        for waiter in waiters:
            ahead = places[waiter] - len(refused)
            left = self._rate_left(waiter.request, rate)
            wait = self._expected_wait(waiter, ahead, left)
            reason = self._reason(waiter, ahead, wait)
            if reason is None:
                waiter.decision = Wait(wait)
                continue
            waiter.decision = self._refusal(waiter, reason, wait, ahead, left)
            refused.append(waiter)
        for waiter in refused:
            self._waiters.remove(waiter)
        return refused

    def _rate_left(
        self, request: urgency.WaitingRequest, rate: float
    ) -> float:
        """Return the rate that more urgent arrivals leave to a request."""
        taken = self._arrivals.before(
            urgency.rank(request),
            request.account,
            self._use.is_over_share(request.account),
        )
        return max(rate - taken, rate * SMALLEST_RATE_SHARE)

    def _expected_wait(
        self, waiter: Waiter, ahead: int, rate: float
    ) -> datetime.timedelta:
        """Return the time after which a request gets room.

        Those that come back find their place before those that arrive now.
        """
        wait = datetime.timedelta(seconds=(ahead + 1) / rate)
        if waiter.request.has_place or waiter.request.is_part:
            return wait
        returning = self._returns.expected_within(wait, waiter.request.account)
        return datetime.timedelta(seconds=(ahead + returning + 1) / rate)

    def _reason(
        self, waiter: Waiter, ahead: int, wait: datetime.timedelta
    ) -> Reason | None:
        request = waiter.request
        now = self._clock.monotonic()
        if now > request.last_start:
            return Reason.TOO_LATE
        if ahead >= self._limit:
            return Reason.LINE_FULL
        if not self._room.is_full:
            return None
        if now + wait > request.last_start and not request.has_begun:
            return Reason.TOO_LATE
        is_settled = (
            request.is_part
            or request.has_begun
            or request.has_place
            or waiter.is_early_checked
        )
        if now >= request.refuse_by:
            waiter.is_early_checked = True
        if now + wait > request.start_on_time and not is_settled:
            return Reason.OVER_TARGET
        return None

    def _refusal(
        self,
        waiter: Waiter,
        reason: Reason,
        wait: datetime.timedelta,
        ahead: int,
        rate: float,
    ) -> Refuse:
        """Return the refusal; the next one is told a later time."""
        now = self._clock.monotonic()
        request = waiter.request
        # Refused earlier and not back yet: their places are taken.
        promised = self._returns.expected_within(
            expected_returns.MAX_AGE, request.account
        )
        base = datetime.timedelta(seconds=(ahead + promised + 1) / rate)
        retry_after = admission.spread(
            max(base, SHORTEST_RETURN), self._source
        )
        longest = (request.deadline - now) * LONGEST_RETURN_SHARE
        is_kept = retry_after <= longest
        if not is_kept:
            # It would come back sooner in any case, and all at once.
            part = (1 + self._source.random()) / 2
            retry_after = max(longest * part, SHORTEST_RETURN)
        self._returns.record(
            waiter.name,
            request.account,
            request.first_arrived,
            retry_after if is_kept else None,
        )
        return Refuse(reason, retry_after, wait, ahead, rate, is_kept)
