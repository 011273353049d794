"""The configuration in force in one process."""

import dataclasses

from magnoliawood.config import account as account_models
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.platform import store

PREFIX = 'config/'
CLASS_PREFIX = 'config/class/'
ACCOUNT_PREFIX = 'config/account/'


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Classes and accounts at one version of the store."""

    version: int = 0
    classes: dict[str, work_classes.WorkClass] = dataclasses.field(
        default_factory=dict
    )
    accounts: dict[str, account_models.Account] = dataclasses.field(
        default_factory=dict
    )

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
        return cls(
            version,
            {item.name: item for item in found_classes},
            {item.name: item for item in found_accounts},
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
        digest = account_models.hash_token(token)
        for account in self.accounts.values():
            if digest in account.token_hashes:
                return account
        raise errors.MagnoliawoodError(
            errors.ErrorCode.UNAUTHENTICATED, 'unknown bearer token'
        )
