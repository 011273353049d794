"""Keeps the configuration in force up to date."""

import datetime
import logging

import curio
import pydantic

from magnoliawood.config import account as accounts
from magnoliawood.config import configuration as configurations
from magnoliawood.core import errors
from magnoliawood.platform import store

WATCH_WAIT = datetime.timedelta(seconds=2)
_RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
_BOOTSTRAP_ACCOUNT = 'bootstrap-operator'

_log = logging.getLogger(__name__)


class ConfigurationKeeper:
    """Watches the store; versions only rise.

    :param operator_token_hash: credential that is valid from the start
    """

    def __init__(
        self, objects: store.ObjectStore, operator_token_hash: str
    ) -> None:
        self._objects = objects
        self._current = configurations.Configuration()
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

        :raises MagnoliawoodError: with ``unauthenticated``
        """
        if accounts.hash_token(token) in self._operator.token_hashes:
            return self._operator
        return self._current.authenticate(token)

    async def refresh(self) -> None:
        """Read the configuration from the store."""
        listing = await self._objects.scan(configurations.PREFIX)
        if listing.version < self._current.version:
            return
        self._current = configurations.Configuration.from_objects(
            listing.version, listing.objects
        )

    async def watch_forever(self) -> None:
        """Follow the store's changes."""
        while True:
            try:
                await self._watch_once()
            except errors.MagnoliawoodError:
                await curio.sleep(_RETRY_INTERVAL.total_seconds())
            except pydantic.ValidationError as error:
                _log.error(
                    'configuration malformed', extra={'error': str(error)}
                )
                await curio.sleep(_RETRY_INTERVAL.total_seconds())

    async def _watch_once(self) -> None:
        if self._current.version == 0:
            await self.refresh()
        seen = self._current.version
        newest = await self._objects.watch(
            configurations.PREFIX, seen, WATCH_WAIT
        )
        if newest > seen:
            await self.refresh()
            _log.info(
                'configuration in force',
                extra={'version': self._current.version},
            )
