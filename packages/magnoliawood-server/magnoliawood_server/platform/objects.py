"""Client of the platform's metadata store."""

import collections.abc
import dataclasses
import datetime
import json
import typing
import urllib.parse

import curio

from magnoliawood_server.http import connection as connections
from magnoliawood_server.platform import store_replies

CALL_TIMEOUT = datetime.timedelta(seconds=1.5)
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=700)
# A watch is repeated after this time, to detect dead connections.
WATCH_PERIOD = datetime.timedelta(seconds=10)
NOT_APPLIED = store_replies.NOT_APPLIED
MAY_BE_APPLIED = store_replies.MAY_BE_APPLIED
_HOST = b'store'
_STALE_READ = {'serializable': '1'}

StoreUnavailable = store_replies.StoreUnavailable
RevisionConflict = store_replies.RevisionConflict
StoredObject = store_replies.StoredObject


class HistoryCompacted(Exception):  # noqa: N818
    """The store has dropped changes after the given revision."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects of one kind at a revision."""

    objects: tuple[StoredObject, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one object."""

    stored: StoredObject
    is_deleted: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes up to a revision."""

    changes: tuple[Change, ...]
    revision: int


class StoreClient:
    """Client that makes its calls on one persistent connection.

    Explanation
    ===========

    Calls run one after the other, so a watch needs a client of its own. If a
    call gets no response, the connection is closed, because no further
    response can be expected on it.

    :param address: IP address and port
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection: connections.ClientConnection | None = None
        self._lock = curio.Lock()

    async def list(
        self, kind: str, allow_stale: bool = False, prefix: str = ''
    ) -> Listing:
        """Return all objects of a kind.

        :param allow_stale: whether the result may be some seconds old; such
            a read costs a tenth of a current one
        :param prefix: return only objects whose names start with this and
            are longer; they are ordered by name
        :raises StoreUnavailable: if the store does not respond
        """
        matching: list[StoredObject] = []
        query = dict(_STALE_READ) if allow_stale else {}
        if prefix:
            query['after'] = prefix
        while True:
            _, reply = await self._call('GET', _target(kind, '', query))
            items = store_replies.list_in(reply, 'items')
            page = [store_replies.decode_object(item) for item in items]
            matching += [
                stored
                for stored in page
                if stored is not None and stored.name.startswith(prefix)
            ]
            if not reply.get('more') or not items:
                return Listing(
                    tuple(matching), store_replies.revision_in(reply)
                )
            last_name = store_replies.last_name(items)
            if not last_name.startswith(prefix):
                return Listing(
                    tuple(matching), store_replies.revision_in(reply)
                )
            query['after'] = last_name

    async def revision(self, kind: str, last_name: str) -> int:
        """Return the store's revision, which may be some seconds old.

        It is read from a list of the objects after a name, which costs a
        tenth of a current read.

        :param last_name: last name that objects of this kind have
        :raises StoreUnavailable: if the store does not respond
        """
        query = {**_STALE_READ, 'after': last_name}
        _, reply = await self._call('GET', _target(kind, '', query))
        return store_replies.revision_in(reply)

    async def get(
        self, kind: str, name: str, allow_stale: bool = False
    ) -> StoredObject | None:
        """Return an object, or ``None`` if it is absent.

        :param allow_stale: whether the result may be some seconds old
        :raises StoreUnavailable: if the store does not respond
        """
        query = _STALE_READ if allow_stale else None
        status, reply = await self._call('GET', _target(kind, name, query))
        return (
            None
            if status == store_replies.NOT_FOUND
            else store_replies.decode_object(reply)
        )

    async def watch(
        self,
        kind: str,
        revision: int,
        wait: datetime.timedelta = WATCH_PERIOD,
    ) -> Changes:
        """Wait for changes after a revision.

        :returns: an empty set of changes if none occurred within ``wait``
        :raises HistoryCompacted: if the store has dropped these changes
        :raises StoreUnavailable: if the store does not respond
        """
        milliseconds = wait // datetime.timedelta(milliseconds=1)
        query = {'watch': str(revision), 'wait_ms': str(milliseconds)}
        status, reply = await self._call(
            'GET',
            _target(kind, '', query),
            timeout=wait + CALL_TIMEOUT,
        )
        if status == store_replies.GONE:
            raise HistoryCompacted
        changes = tuple(
            Change(stored, bool(event.get('deleted')))
            for event in store_replies.list_in(reply, 'events')
            if isinstance(event, dict)
            and (stored := store_replies.decode_object(event.get('object')))
            is not None
        )
        return Changes(changes, store_replies.revision_in(reply))

    async def create(
        self, kind: str, name: str, spec: object
    ) -> StoredObject | None:
        """Create an object.

        :returns: the object; ``None`` if the store's response is malformed
        :raises RevisionConflict: if the object exists
        :raises StoreUnavailable: if the store does not respond
        """
        body = {'metadata': {'name': name}, 'spec': spec}
        _, reply = await self._call('POST', _target(kind, ''), body)
        return store_replies.decode_object(reply)

    async def replace(
        self, kind: str, stored: StoredObject
    ) -> StoredObject | None:
        """Replace the spec of an object at the given revision.

        :returns: the object; ``None`` if the store's response is malformed
        :raises RevisionConflict: if it is absent or at another revision
        :raises StoreUnavailable: if the store does not respond
        """
        metadata = {'name': stored.name, 'revision': stored.revision}
        body = {'metadata': metadata, 'spec': stored.spec}
        target = _target(kind, stored.name)
        status, reply = await self._call('PUT', target, body)
        if status == store_replies.NOT_FOUND:
            raise RevisionConflict(None)
        return store_replies.decode_object(reply)

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Remove an object at the given revision.

        :raises RevisionConflict: if it is absent or at another revision
        :raises StoreUnavailable: if the store does not respond
        """
        query = {'revision': str(revision)}
        status, _ = await self._call('DELETE', _target(kind, name, query))
        if status == store_replies.NOT_FOUND:
            raise RevisionConflict(None)

    async def put_status(self, kind: str, stored: StoredObject) -> None:
        """Replace the status of an object at any revision.

        :raises StoreUnavailable: if the store does not respond
        """
        target = _target(kind, f'{stored.name}/status')
        body = {'metadata': {'name': stored.name}, 'status': stored.status}
        await self._call('PUT', target, body)

    async def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    def interrupt(self) -> bool:
        """Make the call that is under way fail.

        :returns: whether there was a connection
        """
        if self._connection is None:
            return False
        self._connection.interrupt()
        return True

    async def _call(
        self,
        method: str,
        target: str,
        body: object = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
    ) -> tuple[int, typing.Any]:
        async with self._lock:
            try:
                async with curio.timeout_after(timeout.total_seconds()):
                    status, data = await self._exchange(method, target, body)
            except curio.TaskTimeout:
                await self.close()
                raise StoreUnavailable(
                    'store did not respond in time'
                ) from None
            except OSError as error:
                await self.close()
                raise StoreUnavailable(str(error)) from error
            except curio.CancelledError:
                await self.close()
                raise
        if method == 'GET' and status == store_replies.CONFLICT:
            raise StoreUnavailable('store responded to a read with a conflict')
        return status, store_replies.parse(status, data)

    async def _exchange(
        self, method: str, target: str, body: object
    ) -> tuple[int, bytes]:
        if self._connection is None or not self._connection.is_open_and_idle():
            await self.close()
            self._connection = await self._connect()
        data = b'' if body is None else json.dumps(body).encode()
        headers = [(b'host', _HOST), (b'content-type', b'application/json')]
        await self._connection.send(method, target, headers, data)
        head = await self._connection.read_head()
        reply = await self._connection.read_full_body()
        if not self._connection.can_be_reused:
            await self.close()
        return head.status_code, reply

    async def _connect(self) -> connections.ClientConnection:
        try:
            return await connections.ClientConnection.open(
                self._address, CONNECT_TIMEOUT
            )
        except OSError as error:
            raise StoreUnavailable(str(error), NOT_APPLIED) from error


def _target(
    kind: str,
    name: str,
    query: collections.abc.Mapping[str, str] | None = None,
) -> str:
    quoted = urllib.parse.quote(name)
    path = f'/objects/{kind}/{quoted}' if name else f'/objects/{kind}'
    return f'{path}?{urllib.parse.urlencode(query)}' if query else path
