"""The configuration in force in one process."""

import dataclasses
import functools

from magnoliawood.config import account as account_models
from magnoliawood.config import drain as drains
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.platform import store

PREFIX = 'config/'
CLASS_PREFIX = 'config/class/'
ACCOUNT_PREFIX = 'config/account/'
DRAIN_PREFIX = 'config/drain/'


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Classes, accounts and drains at one version of the store.

    :param drained: names of the upstreams that get no new work
    """

    version: int = 0
    classes: dict[str, work_classes.WorkClass] = dataclasses.field(
        default_factory=dict
    )
    accounts: dict[str, account_models.Account] = dataclasses.field(
        default_factory=dict
    )
    drained: frozenset[str] = frozenset()

    @classmethod
    def from_objects(
        cls, version: int, objects: list[store.StoredObject]
    ) -> 'Configuration':
        """Build the configuration from the stored objects.

        :raises pydantic.ValidationError: if an object is malformed
        """
        found_classes = [
            work_classes.WorkClass.model_validate_json(item.value)
            for item in objects
            if item.name.startswith(CLASS_PREFIX)
        ]
        found_accounts = [
            account_models.Account.model_validate_json(item.value)
            for item in objects
            if item.name.startswith(ACCOUNT_PREFIX)
        ]
        drained = frozenset(
            drains.Drain.model_validate_json(item.value).upstream
            for item in objects
            if item.name.startswith(DRAIN_PREFIX)
        )
        return cls(
            version,
            {item.name: item for item in found_classes},
            {item.name: item for item in found_accounts},
            drained,
        )

    def work_class(self, name: str) -> work_classes.WorkClass:
        """Return a class of work.

        :raises MagnoliawoodError: with ``unknown_class``
        """
        try:
            return self.classes[name]
        except KeyError:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UNKNOWN_CLASS, f'no class {name!r}'
            ) from None

    def authenticate(self, token: str) -> account_models.Account:
        """Return the account that a bearer token belongs to.

        :raises MagnoliawoodError: with ``unauthenticated``
        """
        account = self._by_digest.get(account_models.hash_token(token))
        if account is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UNAUTHENTICATED, 'unknown bearer token'
            )
        return account

    @functools.cached_property
    def _by_digest(self) -> dict[str, account_models.Account]:
        return {
            digest: account
            for account in self.accounts.values()
            for digest in account.token_hashes
        }
