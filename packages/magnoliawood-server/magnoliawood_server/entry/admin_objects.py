"""Classes, accounts and drains in the administration API."""

import collections.abc
import dataclasses
import json
import logging
import typing

import pydantic

from magnoliawood.config import account as accounts
from magnoliawood.config import change as changes
from magnoliawood.config import configuration as configurations
from magnoliawood.config import drain as drains
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.entry import bodies
from magnoliawood_server.entry import change_history
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.http import message as http_message

_log = logging.getLogger(__name__)

Document = dict[str, typing.Any]
DeletionCheck = collections.abc.Callable[
    [str], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectKind:
    """A kind of configured object.

    :param prefix: prefix of their names in the store
    :param body: model of the request body
    :param unknown_field: message for fields that the model does not have
    """

    prefix: str
    body: type[pydantic.BaseModel]
    unknown_field: str = ''


CLASSES = ObjectKind(
    configurations.CLASS_PREFIX,
    work_classes.WorkClass,
    work_classes.TARGETS_ONLY_MESSAGE,
)
ACCOUNTS = ObjectKind(configurations.ACCOUNT_PREFIX, bodies.AccountBody)
DRAINS = ObjectKind(configurations.DRAIN_PREFIX, drains.Drain)


class ConfigurationObjects:
    """Reads and conditional writes of configured objects, with a history."""

    def __init__(
        self,
        objects: store.ObjectStore,
        configuration: configuration_cache.ConfigurationCache,
        history: change_history.ChangeHistory,
        clock: clocks.Clock,
    ) -> None:
        self._objects = objects
        self._configuration = configuration
        self._history = history
        self._clock = clock

    async def list(self, kind: ObjectKind) -> http_message.Response:
        """Return all objects of a kind and the names of malformed ones."""
        listing = await self._objects.scan(kind.prefix)
        readable, malformed = _split(listing.objects)
        return http_message.Response.from_json(
            {
                'items': [_document(item) for item in readable],
                'malformed': [
                    item.name.removeprefix(kind.prefix) for item in malformed
                ],
            }
        )

    async def show(self, kind: ObjectKind, name: str) -> http_message.Response:
        """Return one object, with its version as ETag."""
        stored = await self._get(kind, name)
        if not _is_readable(stored):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.INTERNAL,
                f'{stored.name} is malformed at version {stored.version}; '
                'delete it at that version or overwrite it',
            )
        return _response(stored)

    async def history(
        self, kind: ObjectKind, name: str
    ) -> http_message.Response:
        """Return the most recent changes of an object, oldest first."""
        log = await self._history.read(kind.prefix + name)
        stored = await self._objects.get(kind.prefix + name)
        if stored is None and not log.changes:
            raise _not_found(name)
        is_complete = stored is None or log.contains_version(stored.version)
        return http_message.Response.from_json(
            {
                'items': [_change_document(item) for item in log.changes],
                'is_complete': is_complete,
            }
        )

    async def put(
        self,
        kind: ObjectKind,
        name: str,
        request: http_message.Request,
        by: str,
    ) -> http_message.Response:
        """Create or change an object if its version matches the request."""
        body = bodies.parse_body(kind.body, request, kind.unknown_field)
        if body.name != name:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_BODY,
                f'name: the path has {name!r}, but the body {body.name!r}',
            )
        expected = expected_version(request)
        if isinstance(body, bodies.AccountBody):
            body = await self._with_credentials(body)
        return await self.write(kind, name, body, expected, by)

    async def write(
        self,
        kind: ObjectKind,
        name: str,
        value: pydantic.BaseModel,
        expected: int,
        by: str,
    ) -> http_message.Response:
        """Write an object if its current version is ``expected``."""
        full_name = kind.prefix + name
        try:
            written = await self._objects.put(
                full_name, value.model_dump_json(), expected
            )
        except store.VersionConflict as conflict:
            return await self._conflict(full_name, conflict)
        await self._refresh_configuration(written.version)
        action = 'changed' if expected else 'created'
        await self._record(full_name, written.version, by, action, written)
        return _response(written)

    async def delete(
        self,
        kind: ObjectKind,
        name: str,
        request: http_message.Request,
        by: str,
    ) -> http_message.Response:
        """Delete an object if its version matches the request."""
        stored = await self._get(kind, name)
        return await self.remove(stored, expected_version(request), by)

    async def remove(
        self, stored: store.StoredObject, expected: int, by: str
    ) -> http_message.Response:
        """Delete an object if its current version is ``expected``."""
        try:
            await self._objects.delete(stored.name, expected)
        except store.VersionConflict as conflict:
            return await self._conflict(stored.name, conflict)
        await self._refresh_configuration(0)
        await self._record(stored.name, expected, by, 'deleted', None)
        return http_message.Response(204)

    async def account(
        self, name: str
    ) -> tuple[store.StoredObject, accounts.Account]:
        """Return an account with the stored object that contains it."""
        stored = await self._get(ACCOUNTS, name)
        return stored, accounts.Account.model_validate_json(stored.value)

    async def find(
        self, kind: ObjectKind, name: str
    ) -> store.StoredObject | None:
        """Return an object, or `None` if it does not exist."""
        return await self._objects.get(kind.prefix + name)

    async def _refresh_configuration(self, version: int) -> None:
        """Apply a change to this entry's configuration at once.

        If the store cannot be read, the watch applies the change later.
        """
        try:
            await self._configuration.refresh(version)
        except errors.MagnoliawoodError:
            _log.debug('could not read the configuration after a change')

    async def _with_credentials(
        self, body: bodies.AccountBody
    ) -> accounts.Account:
        """Return the account, with the stored credentials if it names none."""
        hashes = body.token_hashes
        if hashes is None:
            stored = await self._objects.get(ACCOUNTS.prefix + body.name)
            hashes = (
                accounts.Account.model_validate_json(stored.value).token_hashes
                if stored
                else []
            )
        return accounts.Account(
            name=body.name, role=body.role, token_hashes=hashes
        )

    async def _get(self, kind: ObjectKind, name: str) -> store.StoredObject:
        stored = await self._objects.get(kind.prefix + name)
        if stored is None:
            raise _not_found(name)
        return stored

    async def _record(
        self,
        full_name: str,
        version: int,
        by: str,
        action: str,
        written: store.StoredObject | None,
    ) -> None:
        change = changes.Change(
            version=version,
            at=self._clock.now(),
            by=by,
            action=action,
            value=None if written is None else _redacted_document(written),
        )
        await self._history.append(full_name, change)

    async def _conflict(
        self, full_name: str, conflict: store.VersionConflict
    ) -> http_message.Response:
        """Return the conflict with the current object and its last change."""
        response = http_message.Response.from_error(conflict)
        problem = json.loads(response.body)
        current = conflict.current
        is_current_readable = current is not None and _is_readable(current)
        problem['current'] = (
            _document(current) if is_current_readable else None
        )
        change = await self._find_change(full_name, current)
        problem['change'] = _change_document(change) if change else None
        response.body = json.dumps(problem).encode()
        return response

    async def _find_change(
        self, full_name: str, current: store.StoredObject | None
    ) -> changes.Change | None:
        """Return the change that wrote the current version, if logged."""
        try:
            log = await self._history.read(full_name)
        except errors.MagnoliawoodError:
            return None
        if current is not None:
            return log.find(current.version)
        return log.changes[-1] if log.changes else None


def expected_version(request: http_message.Request) -> int:
    """Return the version that a change is based on, or 0 to create.

    :raises MagnoliawoodError: with ``malformed_request``
    """
    if request.header('if-none-match') == '*':
        return store.ABSENT
    text = request.header('if-match').strip('"')
    is_version = text.isascii() and text.isdigit() and int(text) > 0
    if not is_version:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST,
            'a change needs If-Match with the version it is based on, or '
            'If-None-Match: * to create',
        )
    return int(text)


def _is_readable(item: store.StoredObject) -> bool:
    try:
        return isinstance(json.loads(item.value), dict)
    except ValueError:
        return False


def _split(
    items: typing.Iterable[store.StoredObject],
) -> tuple[list[store.StoredObject], list[store.StoredObject]]:
    """Return the readable objects and the malformed ones."""
    readable, malformed = [], []
    for item in items:
        (readable if _is_readable(item) else malformed).append(item)
    return readable, malformed


def _not_found(name: str) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.NOT_FOUND, f'there is no object named {name!r}'
    )


def _redacted_document(item: store.StoredObject) -> Document:
    """Return the fields of an object, with token hashes replaced by ids."""
    document = json.loads(item.value)
    hashes = document.pop('token_hashes', None)
    if hashes is not None:
        document['credentials'] = [
            accounts.credential_id(digest) for digest in hashes
        ]
    return document


def _document(item: store.StoredObject) -> Document:
    return {'version': item.version, **_redacted_document(item)}


def _change_document(change: changes.Change) -> Document:
    return change.model_dump(mode='json')


def _response(item: store.StoredObject) -> http_message.Response:
    return http_message.Response.from_json(
        _document(item), etag=f'"{item.version}"'
    )
