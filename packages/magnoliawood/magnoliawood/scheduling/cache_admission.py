"""Admission of new programs to the cache of an upstream."""

import dataclasses
import datetime
import typing

# Mean size of a program over its lifetime, as a share of its final size.
_MEAN_SIZE_SHARE = 0.5
# Programs that grow by less than this share of the cache never wait.
_SMALL_GROWTH_SHARE = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class CacheDemand:
    """Cache space that a program is expected to need.

    :param is_first: whether nothing of the program is cached yet
    :param prompt_tokens: current length of its prompt
    :param expected_tokens: length to which prompts of its class grow
    :param hold_until: time at which it starts even without free space
    """

    is_first: bool
    prompt_tokens: int
    expected_tokens: int
    hold_until: datetime.datetime

    @property
    def growth_tokens(self) -> int:
        """Tokens that later turns are expected to add to the cached prompt."""
        return self.expected_tokens - self.prompt_tokens

    @property
    def mean_tokens(self) -> int:
        """Mean cache space over the lifetime of the program, in tokens."""
        expected = int(self.expected_tokens * _MEAN_SIZE_SHARE)
        return max(self.prompt_tokens, expected)


class CacheAdmission(typing.Protocol):
    """Decides whether the cache has space for a call to start."""

    def admits(
        self,
        demand: CacheDemand,
        resident_tokens: int,
        capacity_tokens: int,
        now: datetime.datetime,
    ) -> bool:
        """Return whether the call may start.

        :param resident_tokens: tokens reserved for active programs
        :param capacity_tokens: size of the cache, 0 if unknown
        """
        ...


class AlwaysAdmit:
    """Baseline: calls never wait for cache space."""

    def admits(
        self,
        demand: CacheDemand,
        resident_tokens: int,
        capacity_tokens: int,
        now: datetime.datetime,
    ) -> bool:
        """Return true for every call."""
        return True


class WaitForCacheSpace:
    """Admission that delays new programs until the cache has space.

    Explanation
    ===========

    When active programs need more space than the cache has, the prefix of
    each is evicted while it runs its tools, and every turn repeats its
    prefill. With fewer programs at the same time, each finishes sooner. A
    program waits only until ``hold_until``, which follows from the target
    of its class. Programs that hardly grow start immediately, whatever part
    of their first prompt they share with others.

    Examples
    ========

    >>> now = datetime.datetime(2026, 1, 1)
    >>> later = now + datetime.timedelta(seconds=20)
    >>> chat = CacheDemand(True, 100, 1_500, later)
    >>> WaitForCacheSpace().admits(chat, 6_000, 6_400, now)
    False
    >>> WaitForCacheSpace().admits(chat, 5_000, 6_400, now)
    True
    >>> WaitForCacheSpace().admits(chat, 6_000, 6_400, later)
    True
    """

    def admits(
        self,
        demand: CacheDemand,
        resident_tokens: int,
        capacity_tokens: int,
        now: datetime.datetime,
    ) -> bool:
        """Return whether there is space or the wait is over."""
        if not demand.is_first or not capacity_tokens:
            return True
        if demand.growth_tokens < capacity_tokens * _SMALL_GROWTH_SHARE:
            return True
        required_tokens = resident_tokens + demand.mean_tokens
        return required_tokens <= capacity_tokens or now >= demand.hold_until
