"""Authentication of callers by the keys of client accounts."""

import dataclasses
import datetime

from magnoliawood.accounts import client_account
from magnoliawood.accounts import table as tables
from magnoliawood.core import errors

# Retry delay where a newer configuration may have the key.
RETRY_AFTER = datetime.timedelta(milliseconds=500)


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who sent a request, where the configuration declares accounts.

    :param account: ``None`` for a public route without a known key
    """

    account: client_account.ClientAccount | None = None

    @property
    def name(self) -> str:
        """Name of the account; empty if there is none."""
        return '' if self.account is None else self.account.name


def authenticate(
    accounts: tables.AccountTable | None,
    is_public: bool,
    key_digest: bytes,
    may_be_outdated: bool = False,
) -> Identity | None:
    """Return who sent a request; ``None`` if no accounts are declared.

    Examples
    ========

    >>> authenticate(None, False, b'') is None
    True
    >>> authenticate(tables.AccountTable([]), True, b'').name
    ''

    :param is_public: whether the route requires no key
    :param key_digest: digest of the key; empty if there is none
    :param may_be_outdated: whether a newer configuration may be in force
    :raises MagnoliawoodError: with ``unauthenticated`` if no account holds
        the key, with ``store_unavailable`` if a newer configuration may
    """
    if accounts is None:
        return None
    account = accounts.find(key_digest) if key_digest else None
    if account is not None or is_public:
        return Identity(account)
    if key_digest and may_be_outdated:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            'the key is not known, but the configuration may be outdated',
            retry_after=RETRY_AFTER,
        )
    raise errors.MagnoliawoodError(
        errors.ErrorCode.UNAUTHENTICATED,
        'no client account has the key' if key_digest else 'no key',
    )
