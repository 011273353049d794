"""Administration API."""

from magnoliawood.config import account as accounts
from magnoliawood.config import drain as drains
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.entry import admin_fleet
from magnoliawood_server.entry import admin_objects
from magnoliawood_server.entry import bodies
from magnoliawood_server.http import message as http_message

_KINDS = {
    'classes': admin_objects.CLASSES,
    'accounts': admin_objects.ACCOUNTS,
}
_READERS = frozenset({accounts.Role.VIEWER, accounts.Role.OPERATOR})


class AdminApi:
    """Operations under ``/admin/v1``."""

    def __init__(
        self,
        objects: admin_objects.ConfigurationObjects,
        fleet: admin_fleet.AdminFleet,
        clock: clocks.Clock,
    ) -> None:
        self._objects = objects
        self._fleet = fleet
        self._clock = clock

    async def handle(
        self, request: http_message.Request, account: accounts.Account
    ) -> http_message.Response:
        """Serve one request of an authenticated operator."""
        _check_role(request, account)
        if request.method == 'GET':
            return await self._read(request)
        return await self._change(request, account.name)

    async def _read(
        self, request: http_message.Request
    ) -> http_message.Response:
        match request.segments[2:]:
            case [kind] if kind in _KINDS:
                return await self._objects.list(_KINDS[kind])
            case [kind, name] if kind in _KINDS:
                return await self._objects.show(_KINDS[kind], name)
            case [kind, name, 'history'] if kind in _KINDS:
                return await self._objects.history(_KINDS[kind], name)
            case ['programs']:
                return await self._fleet.programs(request)
            case ['programs', caller, name]:
                return await self._fleet.show_program(caller, name)
            case ['entries']:
                return await self._fleet.entries()
            case ['hosts']:
                return self._fleet.hosts()
            case ['data-centres']:
                return self._fleet.data_centres()
            case ['upstreams']:
                return self._fleet.upstreams()
            case ['counters']:
                return await self._fleet.counters(request)
        raise _no_operation(request)

    async def _change(
        self, request: http_message.Request, by: str
    ) -> http_message.Response:
        match (request.method, request.segments[2:]):
            case ('PUT', [kind, name]) if kind in _KINDS:
                return await self._objects.put(_KINDS[kind], name, request, by)
            case ('DELETE', ['classes', name]):
                await self._fleet.check_class_unused(name)
                return await self._objects.delete(
                    admin_objects.CLASSES, name, request, by
                )
            case ('DELETE', ['accounts', name]):
                return await self._objects.delete(
                    admin_objects.ACCOUNTS, name, request, by
                )
            case ('POST', ['accounts', name, 'credentials']):
                return await self._add_credential(name, request, by)
            case ('DELETE', ['accounts', name, 'credentials', credential]):
                return await self._drop_credential(name, credential, by)
            case ('PUT', ['upstreams', name, 'drain']):
                return await self._drain(name, by)
            case ('DELETE', ['upstreams', name, 'drain']):
                return await self._undrain(name, by)
            case ('DELETE', ['programs', caller, name]):
                return await self._fleet.cancel_program(caller, name, by)
        raise _no_operation(request)

    async def _add_credential(
        self, name: str, request: http_message.Request, by: str
    ) -> http_message.Response:
        body = bodies.parse_body(bodies.CredentialBody, request)
        found, account = await self._objects.account(name)
        hashes = list(dict.fromkeys([*account.token_hashes, body.token_hash]))
        if len(hashes) > accounts.CREDENTIAL_LIMIT:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST,
                f'account {name} has {accounts.CREDENTIAL_LIMIT} credentials '
                'already; drop one first',
            )
        changed = account.model_copy(update={'token_hashes': hashes})
        return await self._objects.write(
            admin_objects.ACCOUNTS, name, changed, found.version, by
        )

    async def _drop_credential(
        self, name: str, credential: str, by: str
    ) -> http_message.Response:
        found, account = await self._objects.account(name)
        kept = [
            digest
            for digest in account.token_hashes
            if accounts.credential_id(digest) != credential
        ]
        if len(kept) == len(account.token_hashes):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND,
                f'account {name} has no credential {credential!r}',
            )
        changed = account.model_copy(update={'token_hashes': kept})
        return await self._objects.write(
            admin_objects.ACCOUNTS, name, changed, found.version, by
        )

    async def _drain(self, name: str, by: str) -> http_message.Response:
        if not self._fleet.knows_upstream(name):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, f'there is no upstream {name!r}'
            )
        known = await self._objects.find(admin_objects.DRAINS, name)
        if known is not None:
            return await self._objects.show(admin_objects.DRAINS, name)
        drain = drains.Drain(upstream=name, by=by, at=self._clock.now())
        return await self._objects.write(
            admin_objects.DRAINS, name, drain, 0, by
        )

    async def _undrain(self, name: str, by: str) -> http_message.Response:
        known = await self._objects.find(admin_objects.DRAINS, name)
        if known is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, f'upstream {name} is not drained'
            )
        return await self._objects.remove(known, known.version, by)


def _check_role(
    request: http_message.Request, account: accounts.Account
) -> None:
    allowed = _READERS if request.method == 'GET' else {accounts.Role.OPERATOR}
    if account.role not in allowed:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.FORBIDDEN,
            f'the role {account.role} may not do this',
        )


def _no_operation(request: http_message.Request) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.NOT_FOUND,
        f'no operation {request.method} {request.path}',
    )
