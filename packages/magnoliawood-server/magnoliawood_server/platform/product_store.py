"""The product's own objects in the platform's store."""

import collections.abc
import contextlib
import dataclasses
import datetime
import urllib.parse
import uuid

import pydantic

from magnoliawood.platform import store
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects


class _Spec(pydantic.BaseModel):
    """Content of an object; the id shows whether a write was applied."""

    value: str
    write_id: str


class _HostSpec(pydantic.BaseModel):
    role: str
    address: str
    data_centre: str
    leaving: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectKey:
    """Location of an object in the store; the name has no slashes."""

    kind: str
    name: str


def object_key_of(name: str) -> ObjectKey:
    """Return the location of one of the product's objects in the store.

    Examples
    ========

    >>> object_key_of('journal/log-1/0001')
    ObjectKey(kind='magnoliawood-journal', name='log-1%2F0001')
    """
    kind, _, rest = name.partition('/')
    return ObjectKey(
        f'{names.KIND_PREFIX}{kind}', urllib.parse.quote(rest, safe='')
    )


class ProductStore:
    """Store implementation for the product's own interface.

    Explanation
    ===========

    Each write carries a unique id. If the response is lost, the object is
    read back: its write id shows whether the write was applied. Concurrent
    calls use separate connections.

    :param address: IP address and port
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._idle_clients: list[objects.StoreClient] = []

    async def get(self, name: str) -> store.StoredObject | None:
        """Return an object, or ``None`` if it is absent."""
        stored = await self._read(name)
        return None if stored is None else _decode(name, stored)

    async def scan(self, prefix: str) -> store.Listing:
        """Return the objects whose names start with ``prefix``."""
        object_key = object_key_of(prefix)
        with self._client() as client:
            listing = await client.list(
                object_key.kind, prefix=object_key.name
            )
        matching = [
            _decode(_name_of(prefix, stored), stored)
            for stored in listing.objects
        ]
        return store.Listing(listing.revision, matching)

    async def put(
        self, name: str, value: str, expected: int
    ) -> store.StoredObject:
        """Write an object if it is at version ``expected``.

        :raises VersionConflict: if it is not at that version
        """
        spec = _Spec(value=value, write_id=uuid.uuid4().hex)
        try:
            written = await self._write(name, spec, expected)
        except objects.RevisionConflict as conflict:
            raise _conflict(name, conflict) from conflict
        except objects.StoreUnavailable as error:
            if error.verdict is objects.NOT_APPLIED:
                raise
            written = await self._read(name)
            if written is None or _spec_of(written) != spec:
                # The write may still be in transit and be applied later.
                raise
        if written is None:
            raise objects.StoreUnavailable(
                'store returned a malformed response to a write'
            )
        return store.StoredObject(name, written.revision, value)

    async def delete(self, name: str, expected: int) -> None:
        """Remove an object if it is at version ``expected``.

        :raises VersionConflict: if it is not at that version
        """
        object_key = object_key_of(name)
        try:
            with self._client() as client:
                await client.delete(object_key.kind, object_key.name, expected)
        except objects.RevisionConflict as conflict:
            raise _conflict(name, conflict) from conflict
        except objects.StoreUnavailable:
            if await self._read(name) is not None:
                raise

    async def watch(
        self, prefix: str, after: int, wait: datetime.timedelta
    ) -> int:
        """Wait for a change of an object under ``prefix``.

        :returns: the newest version; ``after`` if nothing changed
        """
        object_key = object_key_of(prefix)
        with self._client() as client:
            try:
                changes = await client.watch(object_key.kind, after, wait)
            except objects.HistoryCompacted:
                listing = await client.list(
                    object_key.kind, prefix=object_key.name
                )
                return max(after, listing.revision)
        revisions = [
            change.stored.revision
            for change in changes.changes
            if change.stored.name.startswith(object_key.name)
        ]
        return changes.revision if revisions else after

    async def hosts(self) -> list[store.Host]:
        """Return the hosts on which operators run the product."""
        with self._client() as client:
            listing = await client.list(names.KIND_HOSTS, allow_stale=True)
        return [
            store.Host(
                stored.name,
                **_HostSpec.model_validate(stored.spec).model_dump(),
            )
            for stored in listing.objects
        ]

    async def _read(self, name: str) -> objects.StoredObject | None:
        object_key = object_key_of(name)
        with self._client() as client:
            return await client.get(object_key.kind, object_key.name)

    async def _write(
        self, name: str, spec: _Spec, expected: int
    ) -> objects.StoredObject | None:
        object_key = object_key_of(name)
        fields = spec.model_dump()
        with self._client() as client:
            if expected == store.ABSENT:
                return await client.create(
                    object_key.kind, object_key.name, fields
                )
            old = objects.StoredObject(object_key.name, expected, fields)
            return await client.replace(object_key.kind, old)

    @contextlib.contextmanager
    def _client(self) -> collections.abc.Iterator[objects.StoreClient]:
        """Provide a client for the exclusive use of one call."""
        if self._idle_clients:
            client = self._idle_clients.pop()
        else:
            client = objects.StoreClient(self._address)
        try:
            yield client
        finally:
            self._idle_clients.append(client)


def _conflict(
    name: str, conflict: objects.RevisionConflict
) -> store.VersionConflict:
    current = conflict.current
    decoded = None if current is None else _decode(name, current)
    return store.VersionConflict(name, decoded)


def _decode(name: str, stored: objects.StoredObject) -> store.StoredObject:
    return store.StoredObject(name, stored.revision, _spec_of(stored).value)


def _spec_of(stored: objects.StoredObject) -> _Spec:
    """Parse the content of an object.

    :raises StoreUnavailable: if another writer stored malformed content
    """
    try:
        return _Spec.model_validate(stored.spec)
    except pydantic.ValidationError as error:
        raise objects.StoreUnavailable(
            f'content of stored object {stored.name} is malformed'
        ) from error


def _name_of(prefix: str, stored: objects.StoredObject) -> str:
    kind = prefix.partition('/')[0]
    return f'{kind}/{urllib.parse.unquote(stored.name)}'
