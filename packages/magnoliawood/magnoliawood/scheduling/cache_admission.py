"""When a new program may take room in an upstream's cache."""

import dataclasses
import datetime
import typing

# Half of what a program grows to is its mean size while it lives.
_MEAN_SIZE_SHARE = 0.5
# Programs that grow by less than this part of the cache never wait.
_SMALL_GROWTH_SHARE = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class CacheDemand:
    """What a program will want of a cache.

    :param is_first: whether nothing of it is cached yet
    :param prompt_tokens: length of its prompt now
    :param expected_tokens: length that its class's prompts grow to
    :param hold_until: when it starts even if there is no room
    """

    is_first: bool
    prompt_tokens: int
    expected_tokens: int
    hold_until: datetime.datetime

    @property
    def growth_tokens(self) -> int:
        """Tokens that later turns will find cached and extend."""
        return self.expected_tokens - self.prompt_tokens

    @property
    def mean_tokens(self) -> int:
        """Room that it takes on average while it lives."""
        expected = int(self.expected_tokens * _MEAN_SIZE_SHARE)
        return max(self.prompt_tokens, expected)


class CacheAdmission(typing.Protocol):
    """Decides whether a call may start now."""

    def admits(
        self,
        demand: CacheDemand,
        resident_tokens: int,
        capacity_tokens: int,
        now: datetime.datetime,
    ) -> bool:
        """Return whether the call may start.

        :param resident_tokens: room taken by live programs
        :param capacity_tokens: size of the cache, 0 if unknown
        """
        ...


class AlwaysAdmit:
    """Baseline: every call starts when its turn comes."""

    def admits(
        self,
        demand: CacheDemand,
        resident_tokens: int,
        capacity_tokens: int,
        now: datetime.datetime,
    ) -> bool:
        """Return true."""
        return True


class WaitForCacheSpace:
    """A new program waits for room while its target leaves time.

    Explanation
    ===========

    Once live programs want more than the cache holds, each loses its
    prefix in its tool pauses and every turn repeats its prefill. Fewer
    programs at a time finish sooner. Programs that hardly grow start at
    once, whatever their first prompt shares with others.

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
        """Return whether there is room or no more time."""
        if not demand.is_first or not capacity_tokens:
            return True
        if demand.growth_tokens < capacity_tokens * _SMALL_GROWTH_SHARE:
            return True
        wanted = resident_tokens + demand.mean_tokens
        return wanted <= capacity_tokens or now >= demand.hold_until
