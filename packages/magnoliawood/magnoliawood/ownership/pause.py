"""Detection of pauses after which ownership must be confirmed."""

import datetime

from magnoliawood.core import clock as clocks


class PauseDetector:
    """Notices that the process did not run for a while.

    Explanation
    ===========

    A process that was paused may have lost its shards meanwhile, and while
    the store is down nothing tells it so. After a pause, and from the first
    moment on, it counts as unconfirmed until it has asked its peers. The
    check compares the clock with the last tick, so it also holds for code
    that runs before the ticking task does.

    :param limit: longest time between two ticks that is no pause

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> detector = PauseDetector(clock, datetime.timedelta(seconds=1))
    >>> detector.confirm(detector.tick())
    >>> detector.is_confirmed
    True
    >>> clock.advance(datetime.timedelta(seconds=2))
    >>> detector.is_confirmed
    False
    """

    def __init__(self, clock: clocks.Clock, limit: datetime.timedelta) -> None:
        self._clock = clock
        self._limit = limit
        self._last_tick = clock.monotonic()
        self._pauses = 0
        self._confirmed = -1

    @property
    def is_confirmed(self) -> bool:
        """Whether no pause came after the last confirmation."""
        return self._confirmed == self._pauses and not self._is_late()

    def tick(self) -> int:
        """Note that the process runs.

        :returns: number of pauses so far, to be confirmed
        """
        if self._is_late():
            self._pauses += 1
        self._last_tick = self._clock.monotonic()
        return self._pauses

    def confirm(self, pauses: int) -> None:
        """Note that ownership was checked after so many pauses."""
        self._confirmed = pauses

    def _is_late(self) -> bool:
        return self._clock.monotonic() - self._last_tick > self._limit
