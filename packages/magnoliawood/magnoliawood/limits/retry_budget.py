"""How many retries the system may add to the load."""

import collections
import dataclasses
import typing

from magnoliawood.core import errors
from magnoliawood.programs import identity

DEPOSIT_PER_SUCCESS = 0.2
OVERLOAD_BURST = 10.0
LOSS_BURST = 100.0
PROGRAM_BURST = 6.0
BUCKET_LIMIT = 10_000


class RetryBudget(typing.Protocol):
    """Decides whether a failed order may be sent again."""

    def record_success(
        self, upstream: str, program: identity.ProgramKey
    ) -> None:
        """Note an order that ended well."""
        ...

    def try_spend(
        self, upstream: str, program: identity.ProgramKey, code: str
    ) -> bool:
        """Take one retry out of the budget, if it has one left.

        :param upstream: where the order failed
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
    """Buckets by key; the least recently used one goes first."""

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
    """A share of the recent successes, for each upstream and program.

    Explanation
    ===========

    Each success deposits a fifth of a token, each retry takes a whole one,
    so in the long run retries add at most a fifth to the load. Overload has
    a small bucket of its own: there a retry makes things worse, while calls
    of a lost upstream have to move.

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
        """Note an order that ended well."""
        self._overload.get(upstream).deposit()
        self._loss.get(upstream).deposit()
        self._programs.get(program).deposit()

    def try_spend(
        self, upstream: str, program: identity.ProgramKey, code: str
    ) -> bool:
        """Take one retry out of the budget, if it has one left."""
        is_overload = code == errors.ErrorCode.OVERLOADED
        buckets = self._overload if is_overload else self._loss
        found = [buckets.get(upstream), self._programs.get(program)]
        if any(bucket.tokens < 1 for bucket in found):
            return False
        for bucket in found:
            bucket.tokens -= 1
        return True


class UnlimitedRetries:
    """Baseline: only the attempts of each call are limited."""

    def record_success(
        self, upstream: str, program: identity.ProgramKey
    ) -> None:
        """Do nothing."""

    def try_spend(
        self, upstream: str, program: identity.ProgramKey, code: str
    ) -> bool:
        """Allow every retry."""
        return True
