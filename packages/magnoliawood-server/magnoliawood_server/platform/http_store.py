"""The platform's object API over HTTP."""

import datetime
import json
import typing
import urllib.parse
import uuid

import curio

from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.http import client as http_client

CALL_TIMEOUT = datetime.timedelta(seconds=1)
RETRY_AFTER = datetime.timedelta(seconds=2)
_CONFLICT_STATUS = 412
_NOT_FOUND_STATUS = 404


class HttpObjectStore:
    """Client of the object API.

    Explanation
    ===========

    Each write carries an id of its own. If the reply is lost, the object is
    read back: its write id tells whether the write took effect.

    :param address: IP number and port of the API
    """

    def __init__(self, address: str) -> None:
        self._client = http_client.HttpClient(address, CALL_TIMEOUT)

    async def get(self, name: str) -> store.StoredObject | None:
        """Return an object, or nothing if it is absent."""
        found = await self._read(name)
        return None if found is None else _stored(found)

    async def scan(self, prefix: str) -> store.Listing:
        """Return the objects whose names start with ``prefix``."""
        query = urllib.parse.urlencode({'prefix': prefix})
        reply = await self._call('GET', f'/v1/objects?{query}')
        return store.Listing(
            reply['version'], [_stored(item) for item in reply['items']]
        )

    async def put(
        self, name: str, value: str, expected: int
    ) -> store.StoredObject:
        """Write an object if it is at version ``expected``.

        :raises VersionConflict: if it is not
        """
        write_id = uuid.uuid4().hex
        body = {'value': value, 'write_id': write_id}
        try:
            reply = await self._call(
                'PUT', _path(name), body, if_match=str(expected)
            )
        except _ReplyLost:
            reply = await self._read_back(name, write_id)
        if reply.get('write_id') != write_id:
            raise store.VersionConflict(name, _stored_or_none(reply))
        return _stored(reply)

    async def delete(self, name: str, expected: int) -> None:
        """Remove an object if it is at version ``expected``.

        :raises VersionConflict: if it is not
        """
        try:
            reply = await self._call(
                'DELETE', _path(name), if_match=str(expected)
            )
        except _ReplyLost:
            if await self._read(name) is None:
                return
            raise
        # A conflict shows the object that is there, or nothing at all.
        if 'value' in reply or not reply:
            raise store.VersionConflict(name, _stored_or_none(reply))

    async def watch(
        self, prefix: str, after: int, wait: datetime.timedelta
    ) -> int:
        """Wait for a change of an object under ``prefix``.

        :returns: the newest version, ``after`` if nothing changed
        """
        query = urllib.parse.urlencode(
            {
                'prefix': prefix,
                'after': after,
                'wait_seconds': wait.total_seconds(),
            }
        )
        reply = await self._call(
            'GET', f'/v1/watch?{query}', timeout=CALL_TIMEOUT + wait
        )
        return reply['version']

    async def hosts(self) -> list[store.Host]:
        """Return the platform's host list."""
        reply = await self._call('GET', '/v1/hosts')
        return [store.Host(**item) for item in reply['hosts']]

    async def _read(self, name: str) -> dict[str, typing.Any] | None:
        reply = await self._call('GET', _path(name))
        return reply if reply.get('version') else None

    async def _read_back(
        self, name: str, write_id: str
    ) -> dict[str, typing.Any]:
        found = await self._read(name)
        if found is not None and found['write_id'] == write_id:
            return found
        # The write may still be on its way and take effect later.
        raise _ReplyLost('the reply to a write was lost')

    async def _call(
        self,
        method: str,
        target: str,
        body: typing.Any = None,
        timeout: datetime.timedelta = CALL_TIMEOUT,
        **headers: str,
    ) -> dict[str, typing.Any]:
        request = http_client.json_request(method, target, body, **headers)
        try:
            reply, data = await self._client.fetch(request, timeout)
        except http_client.ConnectFailed as error:
            raise _unavailable(str(error)) from error
        except (OSError, curio.TaskTimeout) as error:
            raise _ReplyLost(str(error)) from error
        if reply.status not in (200, 201, _CONFLICT_STATUS, _NOT_FOUND_STATUS):
            raise _unavailable(f'the platform answered {reply.status}')
        return _parse(data)


class _ReplyLost(errors.MagnoliawoodError):
    """A request was sent and no reply came."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            errors.ErrorCode.STORE_UNAVAILABLE,
            detail or 'no reply from the platform',
            errors.verdicts.Verdict.MAY_HAVE_RUN,
            RETRY_AFTER,
        )


def _unavailable(detail: str) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.STORE_UNAVAILABLE, detail, retry_after=RETRY_AFTER
    )


def _parse(data: bytes) -> dict[str, typing.Any]:
    try:
        return json.loads(data)
    except ValueError as error:
        raise _unavailable('the platform sent no JSON') from error


def _path(name: str) -> str:
    return f'/v1/objects/{urllib.parse.quote(name)}'


def _stored(item: dict[str, typing.Any]) -> store.StoredObject:
    return store.StoredObject(item['name'], item['version'], item['value'])


def _stored_or_none(
    item: dict[str, typing.Any],
) -> store.StoredObject | None:
    return _stored(item) if item.get('version') else None
