"""Keeps the configuration in force up to date."""

import datetime
import logging

import curio

from magnoliawood.config import account as accounts
from magnoliawood.config import configuration as configurations
from magnoliawood.core import errors
from magnoliawood.platform import store

WATCH_WAIT = datetime.timedelta(seconds=2)
# Each so many watches the store is read even if no change was reported.
WATCHES_PER_READ = 15
RETRY_AFTER = datetime.timedelta(seconds=1)
_RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
_BOOTSTRAP_ACCOUNT = 'bootstrap-operator'

_log = logging.getLogger(__name__)


class ConfigurationCache:
    """Watches the store; versions only rise.

    :param operator_token_hash: credential that is valid from the start
    """

    def __init__(
        self, objects: store.ObjectStore, operator_token_hash: str
    ) -> None:
        self._objects = objects
        self._current = configurations.Configuration()
        self._watches = 0
        self._listing: store.Listing | None = None
        self._operator = accounts.Account(
            name=_BOOTSTRAP_ACCOUNT,
            role=accounts.Role.OPERATOR,
            token_hashes=[operator_token_hash] if operator_token_hash else [],
        )

    @property
    def current(self) -> configurations.Configuration:
        """The configuration in force."""
        return self._current

    def authenticate(self, token: str) -> accounts.Account:
        """Return the account that a bearer token belongs to.

        :raises MagnoliawoodError: with ``unauthenticated``, or with
            ``store_unavailable`` before the configuration was read
        """
        if accounts.hash_token(token) in self._operator.token_hashes:
            return self._operator
        if not self.is_loaded:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                'this entry has not read the accounts yet',
                retry_after=RETRY_AFTER,
            )
        return self._current.authenticate(token)

    @property
    def is_loaded(self) -> bool:
        """Whether the configuration was read once."""
        return self._listing is not None

    @property
    def listing(self) -> store.Listing:
        """The stored objects that are in force."""
        return self._listing or store.Listing(0, [])

    async def refresh(self, changed_at: int = 0) -> None:
        """Read the configuration from the store.

        :param changed_at: version of a change that is known to be stored
        """
        listing = await self._objects.scan(configurations.PREFIX)
        if listing.version >= changed_at:
            self.apply_listing(changed_at, listing)

    def apply_listing(self, changed_at: int, listing: store.Listing) -> None:
        """Put a configuration in force unless a newer one is.

        :param changed_at: version of a change that the listing contains
        """
        if self.is_loaded and listing.version < self.listing.version:
            return
        # The store's own version also rises with writes of other objects,
        # so entries with the same configuration would show different ones.
        versions = (item.version for item in listing.objects)
        version = max(self._current.version, changed_at, *versions, 0)
        known = self._current
        self._current = configurations.Configuration.from_objects(
            version, listing.objects, known
        )
        self._listing = listing
        if self._current.malformed != known.malformed:
            _log.error(
                'configured objects malformed',
                extra={'objects': sorted(self._current.malformed)},
            )

    async def watch_forever(self) -> None:
        """Follow the store's changes."""
        while True:
            try:
                await self._watch_once()
            except errors.MagnoliawoodError:
                await curio.sleep(_RETRY_INTERVAL.total_seconds())

    async def _watch_once(self) -> None:
        self._watches += 1
        if not self.is_loaded or self._watches % WATCHES_PER_READ == 0:
            await self.refresh()
        seen = self._current.version
        newest = await self._objects.watch(
            configurations.PREFIX, seen, WATCH_WAIT
        )
        if newest > seen:
            await self.refresh(newest)
            _log.info(
                'configuration in force',
                extra={'version': self._current.version},
            )
