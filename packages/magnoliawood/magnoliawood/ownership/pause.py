"""Detection of process pauses after which ownership must be confirmed."""

import datetime

from magnoliawood.core import clock as clocks


class PauseDetector:
    """Detects that the process was suspended for longer than a limit.

    Explanation
    ===========

    While a process was paused, other entries may have acquired its shards,
    and during an outage of the store it is not notified of that. After a
    pause, and after the start of the process, its ownership is therefore
    unconfirmed until it has been checked by a request to the peers. The
    pause check compares the clock with the time of the last tick, so that a
    pause is also detected by code that runs before the ticking task resumes.

    :param limit: longest time between two ticks that is not a pause

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
        """Whether there was no pause since the last confirmation."""
        return self._confirmed == self._pauses and not self._is_late()

    def tick(self) -> int:
        """Record that the process is running.

        :returns: number of pauses so far, to be passed to :meth:`confirm`
        """
        if self._is_late():
            self._pauses += 1
        self._last_tick = self._clock.monotonic()
        return self._pauses

    def confirm(self, pauses: int) -> None:
        """Mark ownership as confirmed.

        If a pause followed, ownership stays unconfirmed.

        :param pauses: result of :meth:`tick` when the confirmation began
        """
        self._confirmed = pauses

    def _is_late(self) -> bool:
        return self._clock.monotonic() - self._last_tick > self._limit
