"""Storage of quarantined requests."""

import dataclasses
import datetime
import logging

import pydantic

from magnoliawood.limits import crash_record
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

_RECORD = pydantic.TypeAdapter(crash_record.CrashRecord)

_log = logging.getLogger(__name__)


class QuarantineStore:
    """Reads and writes quarantined requests in the platform's store.

    :param client: client without watches, which would delay other calls
    """

    def __init__(self, client: objects.StoreClient) -> None:
        self._client = client

    async def load(
        self, now: datetime.datetime
    ) -> list[crash_record.CrashRecord]:
        """Return the records that have not expired and remove the others.

        :raises StoreUnavailable: if the store does not respond
        """
        listing = await self._client.list(names.KIND_QUARANTINE)
        records = []
        for stored in listing.objects:
            record = _decode(stored)
            if record is not None and record.expires_at > now:
                records.append(record)
            else:
                await self._remove(stored)
        return records

    async def save(
        self, record: crash_record.CrashRecord, now: datetime.datetime
    ) -> None:
        """Store a record, with the crashes that the store has already.

        :raises StoreUnavailable: if the store does not respond
        :raises RevisionConflict: if the stored record changed meanwhile
        """
        spec = _encode(record)
        try:
            await self._client.create(
                names.KIND_QUARANTINE, record.fingerprint, spec
            )
        except objects.RevisionConflict as conflict:
            if conflict.current is not None:
                await self._update(conflict.current, record, now)

    async def _update(
        self,
        stored: objects.StoredObject,
        record: crash_record.CrashRecord,
        now: datetime.datetime,
    ) -> None:
        """Replace a stored record that has expired or lacks a crash."""
        known = _decode(stored)
        if known is not None and known.expires_at > now:
            record = known.merged_with(record)
            if record.crashes == known.crashes:
                return
        await self._client.replace(
            names.KIND_QUARANTINE,
            dataclasses.replace(stored, spec=_encode(record)),
        )

    async def remove(self, fingerprint: str) -> None:
        """Remove the record of a request, if there is one.

        :raises StoreUnavailable: if the store does not respond
        """
        stored = await self._client.get(names.KIND_QUARANTINE, fingerprint)
        if stored is not None:
            await self._remove(stored)

    async def _remove(self, stored: objects.StoredObject) -> None:
        try:
            await self._client.delete(
                names.KIND_QUARANTINE, stored.name, stored.revision
            )
        except objects.RevisionConflict:
            _log.info(
                'quarantined request was changed or removed meanwhile',
                extra={'fingerprint': stored.name},
            )


def _encode(record: crash_record.CrashRecord) -> object:
    return _RECORD.dump_python(record, mode='json')


def _decode(stored: objects.StoredObject) -> crash_record.CrashRecord | None:
    try:
        return _RECORD.validate_python(stored.spec)
    except pydantic.ValidationError as error:
        _log.error(
            'stored quarantine is malformed',
            extra={'fingerprint': stored.name, 'error': str(error)},
        )
        return None
