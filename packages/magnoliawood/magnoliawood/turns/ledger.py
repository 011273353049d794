"""What the attempts of one program may spend or have spent."""

import collections.abc
import dataclasses
import typing


class Charged(typing.Protocol):
    """What tells which of two charges of one attempt holds."""

    @property
    def tokens(self) -> int:
        """The most it may generate, or what it did generate."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether the attempt has ended."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class Charge:
    """Tokens of one attempt.

    :param tokens: the most it may generate, or what it did generate
    :param is_settled: whether the attempt has ended
    """

    attempt_id: str
    tokens: int
    is_settled: bool


class Ledger:
    """Charges of one program by attempt.

    Explanation
    ===========

    An open charge is the most that an attempt can spend. A settled charge
    replaces it and never opens again, in whatever order the two arrive, so
    copies of a ledger can be merged.

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
        """Tokens that are spent or may still be."""
        return sum(charge.tokens for charge in self._charges.values())

    @property
    def charges(self) -> list[Charge]:
        """All charges."""
        return list(self._charges.values())

    def merge(self, charges: collections.abc.Iterable[Charge]) -> None:
        """Take over charges of another copy."""
        for charge in charges:
            known = self._charges.get(charge.attempt_id)
            if known is None or supersedes(charge, known):
                self._charges[charge.attempt_id] = charge


def supersedes(charge: Charged, known: Charged) -> bool:
    """Whether a charge replaces a known one of the same attempt.

    Examples
    ========

    >>> settled = Charge('a', 16, True)
    >>> supersedes(settled, Charge('a', 80, False))
    True
    >>> supersedes(Charge('a', 80, False), settled)
    False
    """
    if charge.is_settled != known.is_settled:
        return charge.is_settled
    return charge.tokens > known.tokens
