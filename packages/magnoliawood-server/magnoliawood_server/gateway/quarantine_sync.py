"""Keeps quarantined requests in the store over restarts of gateways."""

import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.limits import crash_list
from magnoliawood.limits import crash_record
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.platform import objects
from magnoliawood_server.platform import quarantine_store

# Time between two checks for requests that were quarantined.
CHECK_INTERVAL = datetime.timedelta(milliseconds=200)
RETRY_DELAY = datetime.timedelta(milliseconds=500)

_STORE_ERRORS = (objects.StoreUnavailable, objects.RevisionConflict)

_log = logging.getLogger(__name__)


class QuarantineSync:
    """Loads quarantined requests at the start and stores new ones.

    Explanation
    ===========

    Gateways tell each other of crashes, but that is lost if all of them
    restart at the same time. Each gateway stores the requests whose
    quarantine began with a crash that it recorded or merged; what a peer has
    quarantined is stored by the peer.
    """

    def __init__(
        self,
        store: quarantine_store.QuarantineStore,
        crashes: crash_list.CrashList,
        quarantine: quarantines.Quarantine,
        clock: clocks.Clock,
        registry: registries.Registry,
    ) -> None:
        self._store = store
        self._crashes = crashes
        self._quarantine = quarantine
        self._clock = clock
        self._registry = registry
        # A request that was released has no record.
        self._unstored: dict[str, crash_record.CrashRecord | None] = {}

    async def run(self) -> None:
        """Load all records, then follow the changes until cancelled."""
        await self._load()
        while True:
            self._collect()
            if not await self._try_store():
                await curio.sleep(RETRY_DELAY.total_seconds())
            await curio.sleep(CHECK_INTERVAL.total_seconds())

    async def _load(self) -> None:
        while True:
            try:
                records = await self._store.load(self._clock.now())
            except objects.StoreUnavailable as error:
                _log.info(
                    'quarantined requests not loaded',
                    extra={'error': str(error)},
                )
                await curio.sleep(RETRY_DELAY.total_seconds())
                continue
            for record in records:
                self._crashes.merge(record)
            self._quarantine.mark_loaded()
            _log.info(
                'quarantined requests loaded', extra={'requests': len(records)}
            )
            return

    def _collect(self) -> None:
        for record in self._crashes.take_newly_quarantined():
            self._unstored[record.fingerprint] = record
        for fingerprint in self._crashes.take_released():
            self._unstored[fingerprint] = None

    async def _try_store(self) -> bool:
        """Return whether all changes are in the store."""
        for fingerprint, record in list(self._unstored.items()):
            try:
                await self._store_change(fingerprint, record)
            except _STORE_ERRORS as error:
                self._registry.count('quarantine_writes_failed_total')
                _log.warning(
                    'quarantine not written to the store',
                    extra={'fingerprint': fingerprint, 'error': str(error)},
                )
                return False
            del self._unstored[fingerprint]
            _log.info(
                'quarantine written to the store',
                extra={
                    'fingerprint': fingerprint,
                    'is_quarantined': record is not None,
                },
            )
        return True

    async def _store_change(
        self, fingerprint: str, record: crash_record.CrashRecord | None
    ) -> None:
        if record is None:
            await self._store.remove(fingerprint)
        else:
            await self._store.save(record, self._clock.now())
