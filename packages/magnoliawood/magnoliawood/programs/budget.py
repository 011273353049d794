"""Budgets of programs and the ledger of spent and reserved amounts."""

import dataclasses

from magnoliawood.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """Limits on the consumption of a program.

    :param tokens: maximum number of generated tokens
    :param calls: maximum number of model turns and service calls together
    :param seconds: maximum wall time since the program was opened
    """

    tokens: int
    calls: int
    seconds: float


class BudgetLedger:
    """Tokens and calls spent and reserved under one budget.

    Explanation
    ===========

    Before a call starts, the maximum that it can spend is reserved. When it
    has ended, the reservation is replaced by the amount spent. A reservation
    is entered in this ledger and those of all ancestors, or in none of them,
    so that sub-agents together cannot exceed the budget of their parent.

    Examples
    ========

    >>> parent = BudgetLedger(Budget(tokens=10, calls=3, seconds=60.0))
    >>> child = BudgetLedger(Budget(8, 3, 60.0), parent=parent)
    >>> child.reserve(8)
    >>> parent.tokens_left
    2
    >>> child.settle(reserved=8, spent=5)
    >>> parent.tokens_left, child.tokens_left
    (5, 3)
    """

    def __init__(
        self, budget: Budget, parent: 'BudgetLedger | None' = None
    ) -> None:
        self._budget = budget
        self._parent = parent
        self._tokens_spent = 0
        self._tokens_reserved = 0
        self._calls = 0

    @property
    def budget(self) -> Budget:
        """Limits that the ledger enforces."""
        return self._budget

    @property
    def tokens_spent(self) -> int:
        """Tokens spent by ended calls and lost attempts, with sub-agents."""
        return self._tokens_spent

    @property
    def calls_made(self) -> int:
        """Calls made so far, including those of sub-agents."""
        return self._calls

    @property
    def tokens_left(self) -> int:
        """Tokens that a new call may still reserve."""
        own = self._budget.tokens - self._tokens_spent - self._tokens_reserved
        if self._parent is None:
            return own
        return min(own, self._parent.tokens_left)

    @property
    def calls_left(self) -> int:
        """Calls that may still be made."""
        own = self._budget.calls - self._calls
        if self._parent is None:
            return own
        return min(own, self._parent.calls_left)

    def reserve(self, tokens: int) -> None:
        """Reserve one call of at most ``tokens`` tokens.

        :raises MagnoliawoodError: with ``budget_exhausted``
        """
        self.check(tokens)
        self.restore(tokens)

    def check(self, tokens: int, calls: int = 1) -> None:
        """Check that the budget allows calls of at most ``tokens`` tokens.

        :param calls: number of calls, 0 if they have been counted already
        :raises MagnoliawoodError: with ``budget_exhausted``
        """
        if self.calls_left < calls:
            raise _exhausted('calls', self._budget.calls)
        if tokens > self.tokens_left:
            raise _exhausted('tokens', self._budget.tokens)

    def restore(self, tokens: int) -> None:
        """Enter a reservation granted by a previous owner, without a check."""
        for ledger in self._lineage():
            ledger._tokens_reserved += tokens
            ledger._calls += 1

    def settle(self, reserved: int, spent: int) -> None:
        """Replace the reservation of a call by the tokens it spent."""
        for ledger in self._lineage():
            ledger._tokens_reserved -= reserved
            ledger._tokens_spent += spent

    def reserve_again(self, tokens: int) -> None:
        """Reserve tokens for another attempt of a call already counted."""
        for ledger in self._lineage():
            ledger._tokens_reserved += tokens

    def withdraw(self, reserved: int) -> None:
        """Remove a call that did not run and its reservation."""
        for ledger in self._lineage():
            ledger._tokens_reserved -= reserved
            ledger._calls -= 1

    def _lineage(self) -> list['BudgetLedger']:
        ancestors = [] if self._parent is None else self._parent._lineage()
        return [self, *ancestors]


def _exhausted(unit: str, limit: int) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.BUDGET_EXHAUSTED,
        f'too little is left of the budget of {limit} {unit} for this call',
    )
