"""Configuration as parsed from the objects of the store."""

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
    """Work classes, accounts and drains at one version of the store.

    :param drained: names of the upstreams that receive no new work
    :param malformed: names of the stored objects that cannot be parsed
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
        previous: 'Configuration | None' = None,
    ) -> 'Configuration':
        """Build the configuration from the stored objects.

        Explanation
        ===========

        An object that cannot be parsed, for example because a newer release
        wrote it, keeps its previous value if it has one. The other objects
        are updated nevertheless.

        :param previous: current configuration, to be replaced by the result
        """
        previous = previous or cls()
        malformed: set[str] = set()
        classes = _parse(
            CLASS_PREFIX,
            work_classes.WorkClass,
            objects,
            previous.classes,
            malformed,
        )
        parsed_accounts = _parse(
            ACCOUNT_PREFIX,
            account_models.Account,
            objects,
            previous.accounts,
            malformed,
        )
        # The object's name contains the upstream, so its value is not needed.
        drained = frozenset(
            item.name.removeprefix(DRAIN_PREFIX)
            for item in objects
            if item.name.startswith(DRAIN_PREFIX)
        )
        return cls(
            version, classes, parsed_accounts, drained, frozenset(malformed)
        )

    def work_class(self, name: str) -> work_classes.WorkClass:
        """Return the work class with a name.

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
    previous: dict[str, Model],
    malformed: set[str],
) -> dict[str, Model]:
    """Parse the objects under a prefix and collect the malformed names."""
    parsed: dict[str, Model] = {}
    for item in objects:
        if not item.name.startswith(prefix):
            continue
        name = item.name.removeprefix(prefix)
        try:
            parsed[name] = model.model_validate_json(item.value)
        except pydantic.ValidationError:
            malformed.add(item.name)
            if name in previous:
                parsed[name] = previous[name]
    return parsed
