"""Budgets of programs and the ledger that keeps them."""

import dataclasses

from magnoliawood.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Budget:
    """What a program may spend.

    :param tokens: generated tokens
    :param calls: model turns and service calls together
    :param seconds: wall time from the opening of the program
    """

    tokens: int
    calls: int
    seconds: float


class BudgetLedger:
    """Tokens and calls spent and reserved under one budget.

    Explanation
    ===========

    A call reserves the most it can spend before it starts and settles what
    it did spend afterwards. A reservation is taken from every ancestor too,
    all or none, so that sub-agents can't overdraw their parent together.

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
        """The limits."""
        return self._budget

    @property
    def tokens_spent(self) -> int:
        """Tokens settled so far, sub-agents included."""
        return self._tokens_spent

    @property
    def calls_made(self) -> int:
        """Calls reserved so far, sub-agents included."""
        return self._calls

    @property
    def tokens_left(self) -> int:
        """Tokens that a new call may reserve."""
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
        """Check that calls of at most ``tokens`` tokens fit.

        :param calls: number of calls; 0 if they are counted already
        :raises MagnoliawoodError: with ``budget_exhausted``
        """
        if self.calls_left < calls:
            raise _exhausted('calls', self._budget.calls)
        if tokens > self.tokens_left:
            raise _exhausted('tokens', self._budget.tokens)

    def restore(self, tokens: int) -> None:
        """Take over a reservation that an earlier owner granted."""
        for ledger in self._lineage():
            ledger._tokens_reserved += tokens
            ledger._calls += 1

    def settle(self, reserved: int, spent: int) -> None:
        """Replace a reservation by what was spent."""
        for ledger in self._lineage():
            ledger._tokens_reserved -= reserved
            ledger._tokens_spent += spent

    def reserve_again(self, tokens: int) -> None:
        """Reserve tokens for another order of a call already counted."""
        for ledger in self._lineage():
            ledger._tokens_reserved += tokens

    def withdraw(self, reserved: int) -> None:
        """Give back the reservation of a call that did not run."""
        for ledger in self._lineage():
            ledger._tokens_reserved -= reserved
            ledger._calls -= 1

    def _lineage(self) -> list['BudgetLedger']:
        above = [] if self._parent is None else self._parent._lineage()
        return [self, *above]


def _exhausted(what: str, limit: int) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.BUDGET_EXHAUSTED,
        f'the budget of {limit} {what} leaves no room for this call',
    )
