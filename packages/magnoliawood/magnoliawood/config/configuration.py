"""The configuration in force in one process."""

import dataclasses
import functools
import typing

import pydantic

from magnoliawood.config import account as account_models
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.platform import store

PREFIX = 'config/'
CLASS_PREFIX = 'config/class/'
ACCOUNT_PREFIX = 'config/account/'
DRAIN_PREFIX = 'config/drain/'

Model = typing.TypeVar('Model', bound=pydantic.BaseModel)


@dataclasses.dataclass(frozen=True)
class Configuration:
    """Classes, accounts and drains at one version of the store.

    :param drained: names of the upstreams that get no new work
    :param malformed: names of the objects that can't be read
    """

    version: int = 0
    classes: dict[str, work_classes.WorkClass] = dataclasses.field(
        default_factory=dict
    )
    accounts: dict[str, account_models.Account] = dataclasses.field(
        default_factory=dict
    )
    drained: frozenset[str] = frozenset()

    malformed: frozenset[str] = frozenset()

    @classmethod
    def from_objects(
        cls,
        version: int,
        objects: list[store.StoredObject],
        known: 'Configuration | None' = None,
    ) -> 'Configuration':
        """Build the configuration from the stored objects.

        Explanation
        ===========

        An object that can't be read, such as one that a newer release
        wrote, keeps the value that is known, if any. It does not hold up
        the others.

        :param known: the configuration in force
        """
        known = known or cls()
        malformed: set[str] = set()
        classes = _parse(
            CLASS_PREFIX,
            work_classes.WorkClass,
            objects,
            known.classes,
            malformed,
        )
        found_accounts = _parse(
            ACCOUNT_PREFIX,
            account_models.Account,
            objects,
            known.accounts,
            malformed,
        )
        # The name alone says which upstream is drained.
        drained = frozenset(
            item.name.removeprefix(DRAIN_PREFIX)
            for item in objects
            if item.name.startswith(DRAIN_PREFIX)
        )
        return cls(
            version, classes, found_accounts, drained, frozenset(malformed)
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


def _parse(
    prefix: str,
    model: type[Model],
    objects: list[store.StoredObject],
    known: dict[str, Model],
    malformed: set[str],
) -> dict[str, Model]:
    """Return the objects under a prefix and note those that are malformed."""
    found: dict[str, Model] = {}
    for item in objects:
        if not item.name.startswith(prefix):
            continue
        name = item.name.removeprefix(prefix)
        try:
            found[name] = model.model_validate_json(item.value)
        except pydantic.ValidationError:
            malformed.add(item.name)
            if name in known:
                found[name] = known[name]
    return found
