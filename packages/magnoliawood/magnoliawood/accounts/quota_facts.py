"""Tells peers the use of client accounts and hears theirs."""

import collections.abc

from magnoliawood.accounts import client_account
from magnoliawood.accounts import quotas
from magnoliawood.fleet import facts as fleet_facts

# Number of values of a fact about the use of an account.
_VALUES = 4


class QuotaFacts:
    """Exchange of the facts of kind ``quota``.

    :param find: returns the account of a name, if it is declared
    """

    def __init__(
        self,
        book: quotas.QuotaBook,
        board: fleet_facts.FactBoard,
        find: collections.abc.Callable[
            [str], client_account.ClientAccount | None
        ],
    ) -> None:
        self._book = book
        self._board = board
        self._find = find
        board.subscribe(fleet_facts.FactKind.QUOTA, self)

    def before_report(self) -> None:
        """Publish the use that peers have to know."""
        for name, use in self._book.untold():
            self._board.publish(fleet_facts.FactKind.QUOTA, name, use.values())

    def record(self, source: str, fact: fleet_facts.Fact) -> None:
        """Record the use of an account at a peer."""
        account = self._find(fact.subject)
        if account is None or not account.is_limited:
            return
        if len(fact.values) >= _VALUES:
            self._book.record_peer(source, account, fact.values)

    def clean_up(self) -> None:
        """Forget accounts that are not in use."""
        for name in self._book.clean_up():
            self._board.withdraw(fleet_facts.FactKind.QUOTA, name)
