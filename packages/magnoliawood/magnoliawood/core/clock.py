"""The clock interface and its implementations."""

import datetime
import time
import typing


class Clock(typing.Protocol):
    """Source of wall-clock and monotonic time."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        ...

    def monotonic(self) -> datetime.timedelta:
        """Return the time since an arbitrary fixed point."""
        ...


class SystemClock:
    """Clock of the operating system."""

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return datetime.datetime.now(datetime.UTC)

    def monotonic(self) -> datetime.timedelta:
        """Return the time since the machine started."""
        return datetime.timedelta(seconds=time.monotonic())


class ManualClock:
    """Clock that moves forward only through :meth:`advance`.

    Examples
    ========

    >>> import datetime
    >>> clock = ManualClock()
    >>> clock.advance(datetime.timedelta(seconds=2))
    >>> clock.monotonic().total_seconds()
    2.0
    """

    _START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def __init__(self) -> None:
        self._elapsed = datetime.timedelta()

    def now(self) -> datetime.datetime:
        """Return the wall-clock time in UTC."""
        return self._START + self._elapsed

    def monotonic(self) -> datetime.timedelta:
        """Return the time since this clock was created."""
        return self._elapsed

    def advance(self, step: datetime.timedelta) -> None:
        """Move the clock forward by ``step``."""
        self._elapsed += step
