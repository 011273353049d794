"""Token charges of the attempts of one program."""

import collections.abc
import dataclasses
import typing


class ChargeLike(typing.Protocol):
    """The fields that decide which of two charges of an attempt applies."""

    @property
    def tokens(self) -> int:
        """Tokens generated; while the attempt runs, the upper bound."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether the attempt has ended."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens charged for one attempt.

    :param tokens: tokens generated; while the attempt runs, the upper bound
    :param is_settled: whether the attempt has ended
    """

    attempt_id: str
    tokens: int
    is_settled: bool


class Ledger:
    """Charges of one program by attempt.

    Explanation
    ===========

    An open charge is the upper bound of what an attempt can spend. A settled
    charge replaces it for good, in whichever order the two arrive, so
    replicas of a ledger can be merged.

    Examples
    ========

    >>> ledger = Ledger([Charge('a', 80, False), Charge('b', 80, False)])
    >>> ledger.merge([Charge('a', 16, True)])
    >>> ledger.merge([Charge('a', 80, False)])
    >>> ledger.total
    96
    """

    def __init__(self, charges: collections.abc.Iterable[Charge] = ()) -> None:
        self._charges: dict[str, Charge] = {}
        self.merge(charges)

    @property
    def total(self) -> int:
        """Tokens spent, including the upper bounds of open charges."""
        return sum(charge.tokens for charge in self._charges.values())

    @property
    def charges(self) -> list[Charge]:
        """The current charge of each attempt."""
        return list(self._charges.values())

    def merge(self, charges: collections.abc.Iterable[Charge]) -> None:
        """Merge the charges of another replica."""
        for charge in charges:
            existing = self._charges.get(charge.attempt_id)
            if existing is None or supersedes(charge, existing):
                self._charges[charge.attempt_id] = charge


def supersedes(charge: ChargeLike, existing: ChargeLike) -> bool:
    """Return whether a charge replaces an existing one of its attempt.

    Examples
    ========

    >>> settled = Charge('a', 16, True)
    >>> supersedes(settled, Charge('a', 80, False))
    True
    >>> supersedes(Charge('a', 80, False), settled)
    False
    """
    if charge.is_settled != existing.is_settled:
        return charge.is_settled
    return charge.tokens > existing.tokens
