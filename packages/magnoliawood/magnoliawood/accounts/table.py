"""Lookup of the client account that holds a key."""

import collections.abc

from magnoliawood.accounts import client_account


class AccountTable:
    """Client accounts of one configuration by the digests of their keys.

    The cost of a lookup does not depend on the number of accounts.

    Examples
    ========

    >>> digest = client_account.digest_of_key(b'key')
    >>> account = client_account.ClientAccount('studio', frozenset([digest]))
    >>> table = AccountTable([account])
    >>> table.find(digest).name
    'studio'
    >>> table.find(client_account.digest_of_key(b'other'))
    >>> table.named('studio') is account
    True
    """

    def __init__(
        self,
        accounts: collections.abc.Iterable[client_account.ClientAccount],
    ) -> None:
        self._by_name = {account.name: account for account in accounts}
        self._by_digest = {
            digest: account
            for account in self._by_name.values()
            for digest in account.key_digests
        }

    def __len__(self) -> int:
        return len(self._by_name)

    def find(self, key_digest: bytes) -> client_account.ClientAccount | None:
        """Return the account that holds a key, if any."""
        return self._by_digest.get(key_digest)

    def named(self, name: str) -> client_account.ClientAccount | None:
        """Return the account with a name, if there is one."""
        return self._by_name.get(name)
