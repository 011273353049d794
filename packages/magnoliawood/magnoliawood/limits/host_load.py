"""Decides whether a host is full and refuses new programs."""

import collections
import collections.abc
import dataclasses
import datetime
import random

from magnoliawood.core import clock as clocks

TICK = datetime.timedelta(milliseconds=250)
# A request waits for the loop this many times before it reaches an upstream:
# to be read, to be recorded, and to be sent.
WAITS_BEFORE_SEND = 4
# Part of the latency target that a request may spend at this host.
HELD_SHARE = 0.25
# The host is behind while its loop was late at each tick of this period, so
# that a single long step does not count.
STANDING_PERIOD = datetime.timedelta(milliseconds=500)
# The host's share of the processor counts as spent above this part of it.
SPENT_PART = 0.95
# Period over which processor time and completed requests are measured.
RATE_PERIOD = datetime.timedelta(seconds=5)
# Period within which a host whose lag stands at twice its limit goes from
# refusing no new program to refusing all, and the period for the way back.
CLOSING_PERIOD = datetime.timedelta(seconds=4)
OPENING_PERIOD = datetime.timedelta(seconds=2)
# Most that one tick changes the refused part, however late it is.
MAX_STEP = 0.5
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=200)
MAX_RETRY_AFTER = datetime.timedelta(seconds=10)
# No loop is asked to be more punctual, whatever the latency target.
MIN_LAG_LIMIT = datetime.timedelta(milliseconds=10)
_NONE = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class _Tick:
    at: datetime.timedelta
    lag: datetime.timedelta
    processor_time: datetime.timedelta
    ended: int


@dataclasses.dataclass(frozen=True, slots=True)
class HostState:
    """Inputs and result of a decision.

    :param lag: lateness of the loop that has lasted for STANDING_PERIOD
    :param lag_limit: lateness above which the host is full
    :param processor_part: part of the host's processor share that is used
    :param requests: requests in progress
    :param refused_part: part of the new programs that is refused
    """

    lag: datetime.timedelta = _NONE
    lag_limit: datetime.timedelta = _NONE
    processor_part: float = 0.0
    requests: int = 0
    refused_part: float = 0.0


class HostLoad:
    """Load of the host of a process, from its loop and processor time.

    Explanation
    ===========

    A request waits for the loop several times before it reaches an upstream.
    The host is full when these waits would take more than its part of the
    latency target. Then a part of the new programs is refused, which grows
    with the excess while the lateness does not fall. The part falls again
    when the host is in time and does not spend its whole share of the
    processor, so that it is not filled again by what it has just refused. As
    a part and not all is refused, hosts that are all full go on to serve
    what they can.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> load = HostLoad(clock, 0.5)
    >>> second = datetime.timedelta(seconds=1)
    >>> parts = []
    >>> for _ in range(2):
    ...     clock.advance(TICK + second)
    ...     state = load.tick(second, clock.monotonic() * 0.5, second)
    ...     parts.append(state.refused_part)
    >>> parts
    [0.5, 1.0]

    :param processor_share: share of a core that the process has
    :param draw: returns a random number in [0, 1)
    """

    def __init__(
        self,
        clock: clocks.Clock,
        processor_share: float,
        draw: collections.abc.Callable[[], float] = random.random,
    ) -> None:
        self._clock = clock
        self._processor_share = processor_share
        self._draw = draw
        self._ticks: collections.deque[_Tick] = collections.deque()
        self._requests = 0
        self._ended = 0
        self._state = HostState()

    @property
    def state(self) -> HostState:
        """State at the latest tick."""
        return self._state

    def begin(self) -> None:
        """Record that a request is in progress."""
        self._requests += 1

    def end(self) -> None:
        """Record that a request has ended."""
        self._requests -= 1
        self._ended += 1

    def refuses_new_program(self) -> bool:
        """Return whether to refuse a new program; draw if only a part is."""
        part = self._state.refused_part
        return part > 0 and self._draw() < part

    def tick(
        self,
        lag: datetime.timedelta,
        processor_time: datetime.timedelta,
        latency_target: datetime.timedelta,
    ) -> HostState:
        """Record a measurement and decide anew.

        :param lag: time by which the loop was late for this tick
        :param processor_time: processor time of the process until now
        :param latency_target: shortest target of the routes
        """
        now = self._clock.monotonic()
        self._ticks.append(_Tick(now, lag, processor_time, self._ended))
        while now - self._ticks[0].at > RATE_PERIOD and len(self._ticks) > 2:
            self._ticks.popleft()
        limit = latency_target * HELD_SHARE / WAITS_BEFORE_SEND
        limit = max(MIN_LAG_LIMIT, limit)
        standing = self._standing_lag(now)
        used = self._processor_part()
        self._state = HostState(
            standing,
            limit,
            used,
            self._requests,
            self._refused_part(standing / limit - 1, used >= SPENT_PART),
        )
        return self._state

    def retry_after(self) -> datetime.timedelta:
        """Return when a refused program finds room, spread at random.

        Explanation
        ===========

        The requests in progress are half done on average. What is left of
        them takes the processor time that requests took lately, at the
        host's share.
        """
        first, last = self._ticks[0], self._ticks[-1]
        ended = max(1, last.ended - first.ended)
        used = last.processor_time - first.processor_time
        backlog = self._requests * used / ended / 2 / self._processor_share
        wait = max(MIN_RETRY_AFTER, backlog, self._state.lag)
        return min(MAX_RETRY_AFTER, wait) * (1 + self._draw())

    def _standing_lag(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return the least lateness that has lasted for STANDING_PERIOD.

        A tick that was late by more than the period fills it alone.
        """
        least = datetime.timedelta.max
        for tick in reversed(self._ticks):
            least = min(least, tick.lag)
            if now - (tick.at - tick.lag) >= STANDING_PERIOD:
                return least
        return _NONE

    def _processor_part(self) -> float:
        """Return the used part of the processor share since the last tick."""
        if len(self._ticks) < 2:
            return 0.0
        before, last = self._ticks[-2], self._ticks[-1]
        allowed = self._since_last_tick() * self._processor_share
        if allowed <= _NONE:
            return 0.0
        return (last.processor_time - before.processor_time) / allowed

    def _refused_part(self, excess: float, is_spent: bool) -> float:
        """Return the new refused part.

        :param excess: lag above its limit, in proportion to the limit
        """
        part = self._state.refused_part
        if excess > 0 and self._is_lag_growing():
            step = excess * (self._since_last_tick() / CLOSING_PERIOD)
            return min(1.0, part + min(MAX_STEP, step))
        if excess > 0 or is_spent:
            return part
        step = self._since_last_tick() / OPENING_PERIOD
        return max(0.0, part - min(MAX_STEP, step))

    def _is_lag_growing(self) -> bool:
        """Return whether the lag does not fall, so that work is not done."""
        if len(self._ticks) < 2:
            return True
        return self._ticks[-1].lag >= self._ticks[-2].lag

    def _since_last_tick(self) -> datetime.timedelta:
        if len(self._ticks) < 2:
            return TICK
        return self._ticks[-1].at - self._ticks[-2].at
