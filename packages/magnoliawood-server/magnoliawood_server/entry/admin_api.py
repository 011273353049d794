"""Administration API."""

import json
import typing

import pydantic

from magnoliawood.config import account as accounts
from magnoliawood.config import configuration as configurations
from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.entry import bodies
from magnoliawood_server.entry import configuration_keeper
from magnoliawood_server.http import message as http_message

_KINDS: dict[str, tuple[str, type[pydantic.BaseModel]]] = {
    'classes': (configurations.CLASS_PREFIX, work_classes.WorkClass),
    'accounts': (configurations.ACCOUNT_PREFIX, accounts.Account),
}
_READERS = frozenset({accounts.Role.VIEWER, accounts.Role.OPERATOR})


class AdminApi:
    """Classes and accounts under ``/admin/v1``."""

    def __init__(
        self,
        objects: store.ObjectStore,
        configuration: configuration_keeper.ConfigurationKeeper,
    ) -> None:
        self._objects = objects
        self._configuration = configuration

    async def handle(
        self, request: http_message.Request, account: accounts.Account
    ) -> http_message.Response:
        """Serve one request of an authenticated operator."""
        _check_role(request, account)
        match (request.method, request.segments[2:]):
            case ('GET', [kind]) if kind in _KINDS:
                return await self._list(kind)
            case ('GET', [kind, name]) if kind in _KINDS:
                return await self._show(kind, name)
            case ('PUT', [kind, name]) if kind in _KINDS:
                return await self._put(kind, name, request)
            case ('DELETE', [kind, name]) if kind in _KINDS:
                return await self._delete(kind, name, request)
        raise errors.MagnoliawoodError(
            errors.ErrorCode.NOT_FOUND,
            f'no operation {request.method} {request.path}',
        )

    async def _list(self, kind: str) -> http_message.Response:
        prefix, _ = _KINDS[kind]
        listing = await self._objects.scan(prefix)
        return http_message.Response.from_json(
            {'items': [_document(item) for item in listing.objects]}
        )

    async def _show(self, kind: str, name: str) -> http_message.Response:
        return _response(await self._get(kind, name))

    async def _put(
        self, kind: str, name: str, request: http_message.Request
    ) -> http_message.Response:
        prefix, model = _KINDS[kind]
        value = bodies.parse_body(model, request)
        if value.name != name:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_BODY,
                f'name: the path says {name!r}, the body {value.name!r}',
            )
        written = await self._objects.put(
            prefix + name,
            value.model_dump_json(),
            _expected_version(request),
        )
        await self._configuration.refresh()
        return _response(written)

    async def _delete(
        self, kind: str, name: str, request: http_message.Request
    ) -> http_message.Response:
        found = await self._get(kind, name)
        await self._objects.delete(found.name, _expected_version(request))
        await self._configuration.refresh()
        return http_message.Response(204)

    async def _get(self, kind: str, name: str) -> store.StoredObject:
        prefix, _ = _KINDS[kind]
        found = await self._objects.get(prefix + name)
        if found is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, f'{kind} has no {name!r}'
            )
        return found


def _check_role(
    request: http_message.Request, account: accounts.Account
) -> None:
    allowed = _READERS if request.method == 'GET' else {accounts.Role.OPERATOR}
    if account.role not in allowed:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.FORBIDDEN,
            f'the role {account.role} may not do this',
        )


def _expected_version(request: http_message.Request) -> int:
    if request.header('if-none-match') == '*':
        return store.ABSENT
    text = request.header('if-match').strip('"')
    if not (text.isascii() and text.isdigit()):
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST,
            'a change needs If-Match with the version it is based on, or '
            'If-None-Match: * to create',
        )
    return int(text)


def _document(item: store.StoredObject) -> dict[str, typing.Any]:
    return {'version': item.version, **json.loads(item.value)}


def _response(item: store.StoredObject) -> http_message.Response:
    return http_message.Response.from_json(
        _document(item), etag=f'"{item.version}"'
    )
