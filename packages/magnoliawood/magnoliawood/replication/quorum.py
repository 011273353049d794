"""Merges the replies of several replicas."""

import collections.abc
import dataclasses

from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetDecision:
    """Whether an attempt may spend tokens, and the figures behind it.

    :param charged_tokens: upper bound of the tokens spent by all attempts
    :param attempts: number of these attempts
    """

    is_granted: bool
    charged_tokens: int
    attempts: int


def decide_budget(
    replicas: collections.abc.Iterable[
        collections.abc.Iterable[ledgers.Charge]
    ],
    budget_tokens: int,
) -> BudgetDecision:
    """Decide on an attempt whose charge a write quorum has stored.

    Explanation
    ===========

    Each attempt first writes its charge to a write quorum and only then
    reads from a read quorum. Of all granted attempts, the one that started
    its read last sees the charges of all others, so their sum is within the
    budget.

    Examples
    ========

    >>> replica = [
    ...     ledgers.Charge('a', 80, False),
    ...     ledgers.Charge('b', 80, False),
    ... ]
    >>> decide_budget([replica, replica[:1]], 160).is_granted
    True
    >>> decide_budget([replica[:1], replica], 159)
    BudgetDecision(is_granted=False, charged_tokens=160, attempts=2)

    :param replicas: charges of the program, from each disk of a read quorum
    """
    ledger = ledgers.Ledger()
    for charges in replicas:
        ledger.merge(charges)
    return BudgetDecision(
        ledger.total <= budget_tokens, ledger.total, len(ledger.charges)
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """The part of a chain of turns that has been read so far.

    :param head_id: identity of the newest turn of the chain
    :param turns: turns read so far, the newest first
    """

    head_id: str
    turns: tuple[records.TurnRecord, ...] = ()

    @property
    def missing_id(self) -> str:
        """Identity of the next turn to read; empty if complete."""
        return self.turns[-1].previous_id if self.turns else self.head_id

    @property
    def is_complete(self) -> bool:
        """Whether the chain reaches back to its start."""
        return not self.missing_id

    @property
    def body(self) -> bytes:
        """Text that the turns add to a prompt, the oldest first."""
        return b''.join(turn.body for turn in reversed(self.turns))

    def extend(
        self, replica_turns: collections.abc.Iterable[records.TurnRecord]
    ) -> 'Chain':
        """Return the chain extended by the turns of one replica."""
        by_id = {turn.turn_id: turn for turn in replica_turns}
        turns = list(self.turns)
        missing_id = self.missing_id
        while missing_id and missing_id in by_id:
            turns.append(by_id[missing_id])
            missing_id = turns[-1].previous_id
        return Chain(self.head_id, tuple(turns))
