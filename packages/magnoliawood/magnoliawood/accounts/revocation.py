"""Strict revocation: no key is accepted without news of the configuration."""

import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors

# A key is refused this long before the limit, since an accepted request is
# sent to its upstream a little later.
RESERVE = datetime.timedelta(milliseconds=500)
# The store is asked this many times within the limit.
CONFIRMATIONS = 4
RETRY_AFTER = datetime.timedelta(milliseconds=500)


class RevocationLimit:
    """Knows up to when the configuration in force is the newest.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> revocation = RevocationLimit(datetime.timedelta(seconds=5), clock)
    >>> revocation.confirm(clock.monotonic())
    >>> clock.advance(datetime.timedelta(seconds=4))
    >>> revocation.check()
    >>> clock.advance(datetime.timedelta(seconds=1))
    >>> revocation.check()
    Traceback (most recent call last):
    magnoliawood.core.errors.MagnoliawoodError: store_unavailable: the \
configuration was last confirmed 5.0 s ago

    :param limit: time without a confirmation after which no key is accepted;
        ``None`` for no limit
    """

    def __init__(
        self, limit: datetime.timedelta | None, clock: clocks.Clock
    ) -> None:
        self._limit = limit
        self._clock = clock
        self._confirmed_at: datetime.timedelta | None = None

    @property
    def confirmation_interval(self) -> datetime.timedelta | None:
        """Time after which the store has to be asked again, if limited."""
        return None if self._limit is None else self._limit / CONFIRMATIONS

    @property
    def age(self) -> datetime.timedelta | None:
        """Time since the last confirmation; ``None`` if there was none."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def confirm(self, moment: datetime.timedelta) -> None:
        """Record that no newer configuration was in force at a moment.

        :param moment: monotonic time at which the store was asked
        """
        if self._confirmed_at is None or moment > self._confirmed_at:
            self._confirmed_at = moment

    def check(self) -> None:
        """Check that keys may be accepted.

        :raises MagnoliawoodError: with ``store_unavailable`` if not
        """
        if self._limit is None:
            return
        age = self.age
        if age is not None and age < self._limit - RESERVE:
            return
        last = 'never' if age is None else f'{age.total_seconds():.1f} s ago'
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f'the configuration was last confirmed {last}',
            retry_after=RETRY_AFTER,
        )
