"""Decisions from the replies of several copies."""

import collections.abc
import dataclasses

from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetDecision:
    """Whether an attempt may spend tokens, and why.

    :param charged_tokens: what all attempts together may have spent
    :param attempts: how many attempts that are
    """

    is_granted: bool
    charged_tokens: int
    attempts: int


def decide_budget(
    copies: collections.abc.Iterable[collections.abc.Iterable[ledgers.Charge]],
    budget_tokens: int,
) -> BudgetDecision:
    """Decide on an attempt that has its charge on a write quorum.

    Explanation
    ===========

    Each attempt first writes its charge to a write quorum and only then
    reads a read quorum. Of all that are granted, the one that began to read
    last sees the charges of all others, so their sum is within the budget.

    Examples
    ========

    >>> copy = [ledgers.Charge('a', 80, False), ledgers.Charge('b', 80, False)]
    >>> decide_budget([copy, copy[:1]], 160).is_granted
    True
    >>> decide_budget([copy[:1], copy], 159)
    BudgetDecision(is_granted=False, charged_tokens=160, attempts=2)

    :param copies: charges of the program as a read quorum knows them
    """
    ledger = ledgers.Ledger()
    for charges in copies:
        ledger.merge(charges)
    return BudgetDecision(
        ledger.total <= budget_tokens, ledger.total, len(ledger.charges)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A chain of turns as far as it has been found.

    :param turns: the newest first
    """

    head_id: str
    turns: tuple[records.TurnRecord, ...] = ()

    @property
    def missing_id(self) -> str:
        """The next turn to look for; empty if the chain is complete."""
        return self.turns[-1].previous_id if self.turns else self.head_id

    @property
    def is_complete(self) -> bool:
        """Whether the chain reaches back to its start."""
        return not self.missing_id

    @property
    def body(self) -> bytes:
        """What the turns add to a prompt, the oldest first."""
        return b''.join(turn.body for turn in reversed(self.turns))

    def extend(
        self, found: collections.abc.Iterable[records.TurnRecord]
    ) -> 'Chain':
        """Return the chain with the turns of one copy."""
        by_id = {turn.turn_id: turn for turn in found}
        turns = list(self.turns)
        missing_id = self.missing_id
        while missing_id and missing_id in by_id:
            turns.append(by_id[missing_id])
            missing_id = turns[-1].previous_id
        return Chain(self.head_id, tuple(turns))
