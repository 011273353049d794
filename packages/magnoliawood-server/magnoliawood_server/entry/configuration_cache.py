"""Local copy of the configuration, kept up to date by a store watch."""

import datetime
import logging

import curio

from magnoliawood.config import account as accounts
from magnoliawood.config import configuration as configurations
from magnoliawood.core import errors
from magnoliawood.platform import store

WATCH_WAIT = datetime.timedelta(seconds=2)
# After this many watches the store is read even if no change was reported.
WATCHES_PER_READ = 15
RETRY_AFTER = datetime.timedelta(seconds=1)
_RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
_BOOTSTRAP_ACCOUNT = 'bootstrap-operator'

_log = logging.getLogger(__name__)


class ConfigurationCache:
    """Cache of the stored configuration; its version never decreases.

    :param operator_token_hash: digest of a credential that is valid before
        the configuration is read; empty for none
    """

    def __init__(
        self, objects: store.ObjectStore, operator_token_hash: str
    ) -> None:
        self._objects = objects
        self._current = configurations.Configuration()
        self._watch_count = 0
        self._listing: store.Listing | None = None
        self._operator = accounts.Account(
            name=_BOOTSTRAP_ACCOUNT,
            role=accounts.Role.OPERATOR,
            token_hashes=[operator_token_hash] if operator_token_hash else [],
        )

    @property
    def current(self) -> configurations.Configuration:
        """The newest configuration read; empty before the first read."""
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
        """Whether the configuration was read at least once."""
        return self._listing is not None

    @property
    def listing(self) -> store.Listing:
        """The stored objects of the current configuration."""
        return self._listing or store.Listing(0, [])

    async def refresh(self, changed_at: int = 0) -> None:
        """Read the configuration from the store.

        A listing that is older than the change is discarded.

        :param changed_at: version of a change that is known to be stored
        """
        listing = await self._objects.scan(configurations.PREFIX)
        if listing.version >= changed_at:
            self.apply_listing(changed_at, listing)

    def apply_listing(self, changed_at: int, listing: store.Listing) -> None:
        """Replace the configuration unless the current one is newer.

        :param changed_at: version of a change that the listing contains
        """
        if self.is_loaded and listing.version < self.listing.version:
            return
        # The store's own version also increases with writes of other objects.
        # If it were used, entries with the same configuration would report
        # different versions.
        versions = (item.version for item in listing.objects)
        version = max(self._current.version, changed_at, *versions, 0)
        previous = self._current
        self._current = configurations.Configuration.from_objects(
            version, listing.objects, previous
        )
        self._listing = listing
        if self._current.malformed != previous.malformed:
            _log.error(
                'configuration contains malformed objects',
                extra={'objects': sorted(self._current.malformed)},
            )

    async def watch_forever(self) -> None:
        """Watch the store and apply each change of the configuration."""
        while True:
            try:
                await self._watch_once()
            except errors.MagnoliawoodError:
                await curio.sleep(_RETRY_INTERVAL.total_seconds())

    async def _watch_once(self) -> None:
        self._watch_count += 1
        if not self.is_loaded or self._watch_count % WATCHES_PER_READ == 0:
            await self.refresh()
        current_version = self._current.version
        newest = await self._objects.watch(
            configurations.PREFIX, current_version, WATCH_WAIT
        )
        if newest > current_version:
            await self.refresh(newest)
            _log.info(
                'configuration updated',
                extra={'version': self._current.version},
            )
