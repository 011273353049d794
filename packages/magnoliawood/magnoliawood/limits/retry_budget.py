"""Retry budgets, which limit the load that retries add."""

import collections
import dataclasses
import typing

from magnoliawood.core import errors
from magnoliawood.programs import identity

# Tokens that each successful attempt adds to a bucket.
DEPOSIT_PER_SUCCESS = 0.2
# Bucket sizes in tokens: for overload and for other failures of an upstream,
# and for all failures of a program.
OVERLOAD_BURST = 10.0
LOSS_BURST = 100.0
PROGRAM_BURST = 6.0
# Maximum number of buckets of each type.
BUCKET_LIMIT = 10_000


class RetryBudget(typing.Protocol):
    """Decides whether a failed attempt may be retried."""

    def record_success(
        self, upstream: str, program: identity.ProgramKey
    ) -> None:
        """Record a successful attempt."""
        ...

    def try_spend(
        self, upstream: str, program: identity.ProgramKey, code: str
    ) -> bool:
        """Charge one retry and return whether the budget allows it.

        :param upstream: upstream on which the attempt failed
        :param code: error code of the failure
        """
        ...


@dataclasses.dataclass(slots=True)
class _Bucket:
    limit: float
    tokens: float

    def deposit(self) -> None:
        self.tokens = min(self.limit, self.tokens + DEPOSIT_PER_SUCCESS)


class _Buckets:
    """Buckets by key; the least recently used one is evicted first."""

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._buckets: collections.OrderedDict[object, _Bucket] = (
            collections.OrderedDict()
        )

    def get(self, key: object) -> _Bucket:
        bucket = self._buckets.pop(key, None)
        if bucket is None:
            bucket = _Bucket(self._limit, self._limit)
        self._buckets[key] = bucket
        if len(self._buckets) > BUCKET_LIMIT:
            self._buckets.popitem(last=False)
        return bucket


class TokenBucketBudget:
    """Token buckets for each upstream and program, refilled by successes.

    Explanation
    ===========

    Each success adds a fifth of a token and each retry takes one token, so
    in the long run retries add at most a fifth to the load. Retries after
    overload have a separate, smaller bucket, since they increase the
    overload, whereas calls of a lost upstream must move to another one.

    Examples
    ========

    >>> budget = TokenBucketBudget()
    >>> key = identity.ProgramKey('red-clay', 'pour-7')
    >>> spent = [budget.try_spend('e', key, 'overloaded') for _ in range(7)]
    >>> spent.count(True)
    6
    """

    def __init__(self) -> None:
        self._overload = _Buckets(OVERLOAD_BURST)
        self._loss = _Buckets(LOSS_BURST)
        self._programs = _Buckets(PROGRAM_BURST)

    def record_success(
        self, upstream: str, program: identity.ProgramKey
    ) -> None:
        """Record a successful attempt."""
        self._overload.get(upstream).deposit()
        self._loss.get(upstream).deposit()
        self._programs.get(program).deposit()

    def try_spend(
        self, upstream: str, program: identity.ProgramKey, code: str
    ) -> bool:
        """Charge one retry and return whether the budget allows it."""
        is_overload = code == errors.ErrorCode.OVERLOADED
        buckets = self._overload if is_overload else self._loss
        charged = [buckets.get(upstream), self._programs.get(program)]
        if any(bucket.tokens < 1 for bucket in charged):
            return False
        for bucket in charged:
            bucket.tokens -= 1
        return True


class UnlimitedRetries:
    """Baseline: no budget; only the attempts of each call are limited."""

    def record_success(
        self, upstream: str, program: identity.ProgramKey
    ) -> None:
        """Ignore the success."""

    def try_spend(
        self, upstream: str, program: identity.ProgramKey, code: str
    ) -> bool:
        """Allow every retry."""
        return True
