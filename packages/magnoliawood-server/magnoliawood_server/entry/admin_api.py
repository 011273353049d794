"""Routes of the administration API."""

from magnoliawood.config import account as accounts
from magnoliawood.config import drain as drains
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.entry import admin_fleet
from magnoliawood_server.entry import admin_objects
from magnoliawood_server.entry import bodies
from magnoliawood_server.entry import routes
from magnoliawood_server.http import message as http_message

_PREFIX = '/admin/v1'


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
        self._router = routes.Router(
            [
                *self._object_routes('classes', admin_objects.CLASSES),
                *self._object_routes('accounts', admin_objects.ACCOUNTS),
                *self._deletions(),
                *self._credential_routes(),
                *self._fleet_routes(),
                *self._drain_routes(),
            ],
            routes.VIEWERS,
            routes.OPERATORS,
        )

    @property
    def router(self) -> routes.Router:
        """Router of the operations."""
        return self._router

    def _object_routes(
        self, name: str, kind: admin_objects.ObjectKind
    ) -> list[routes.Route]:
        objects = self._objects
        path = f'{_PREFIX}/{name}'

        async def read_all(
            request: routes.RoutedRequest,
        ) -> http_message.Response:
            return await objects.list(kind)

        async def show(request: routes.RoutedRequest) -> http_message.Response:
            return await objects.show(kind, request.parameters[0])

        async def put(request: routes.RoutedRequest) -> http_message.Response:
            return await objects.put(
                kind, request.parameters[0], request.http, request.account.name
            )

        async def history(
            request: routes.RoutedRequest,
        ) -> http_message.Response:
            return await objects.history(kind, request.parameters[0])

        return [
            routes.Route('GET', path, read_all),
            routes.Route('GET', f'{path}/{{name}}', show),
            routes.Route('PUT', f'{path}/{{name}}', put),
            routes.Route('GET', f'{path}/{{name}}/history', history),
        ]

    def _deletions(self) -> list[routes.Route]:
        return [
            routes.Route(
                'DELETE', f'{_PREFIX}/classes/{{name}}', self._delete_class
            ),
            routes.Route(
                'DELETE', f'{_PREFIX}/accounts/{{name}}', self._delete_account
            ),
        ]

    def _credential_routes(self) -> list[routes.Route]:
        path = f'{_PREFIX}/accounts/{{name}}/credentials'
        return [
            routes.Route('POST', path, self._add_credential),
            routes.Route(
                'DELETE', f'{path}/{{credential}}', self._remove_credential
            ),
        ]

    def _fleet_routes(self) -> list[routes.Route]:
        fleet = self._fleet
        program = f'{_PREFIX}/programs/{{caller}}/{{program}}'
        return [
            routes.Route('GET', f'{_PREFIX}/programs', fleet.programs),
            routes.Route('GET', program, fleet.show_program),
            routes.Route('DELETE', program, fleet.cancel_program),
            routes.Route('GET', f'{program}/calls', fleet.calls),
            routes.Route('GET', f'{_PREFIX}/entries', fleet.entries),
            routes.Route('GET', f'{_PREFIX}/hosts', fleet.hosts),
            routes.Route('GET', f'{_PREFIX}/data-centres', fleet.data_centres),
            routes.Route('GET', f'{_PREFIX}/upstreams', fleet.upstreams),
            routes.Route('GET', f'{_PREFIX}/counters', fleet.counters),
        ]

    def _drain_routes(self) -> list[routes.Route]:
        path = f'{_PREFIX}/upstreams/{{name}}/drain'
        return [
            routes.Route('PUT', path, self._drain),
            routes.Route('DELETE', path, self._undrain),
        ]

    async def _delete_class(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        (name,) = request.parameters
        await self._fleet.check_class_unused(name)
        return await self._objects.delete(
            admin_objects.CLASSES, name, request.http, request.account.name
        )

    async def _delete_account(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        (name,) = request.parameters
        return await self._objects.delete(
            admin_objects.ACCOUNTS, name, request.http, request.account.name
        )

    async def _add_credential(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        (name,) = request.parameters
        body = bodies.parse_body(bodies.CredentialBody, request.http)
        stored, account = await self._objects.account(name)
        hashes = list(dict.fromkeys([*account.token_hashes, body.token_hash]))
        if len(hashes) > accounts.CREDENTIAL_LIMIT:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST,
                f'account {name} already has {accounts.CREDENTIAL_LIMIT} '
                'credentials; remove one first',
            )
        return await self._write_credentials(request, stored, account, hashes)

    async def _remove_credential(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        name, credential = request.parameters
        stored, account = await self._objects.account(name)
        remaining = [
            digest
            for digest in account.token_hashes
            if accounts.credential_id(digest) != credential
        ]
        if len(remaining) == len(account.token_hashes):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND,
                f'account {name} has no credential {credential!r}',
            )
        return await self._write_credentials(
            request, stored, account, remaining
        )

    async def _write_credentials(
        self,
        request: routes.RoutedRequest,
        stored: store.StoredObject,
        account: accounts.Account,
        hashes: list[str],
    ) -> http_message.Response:
        return await self._objects.write(
            admin_objects.ACCOUNTS,
            account.name,
            account.model_copy(update={'token_hashes': hashes}),
            stored.version,
            request.account.name,
        )

    async def _drain(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        (name,) = request.parameters
        by = request.account.name
        if not self._fleet.has_upstream(name):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, f'there is no upstream {name!r}'
            )
        existing = await self._objects.find(admin_objects.DRAINS, name)
        if existing is not None:
            return await self._objects.show(admin_objects.DRAINS, name)
        drain = drains.Drain(upstream=name, by=by, at=self._clock.now())
        return await self._objects.write(
            admin_objects.DRAINS, name, drain, store.ABSENT, by
        )

    async def _undrain(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        (name,) = request.parameters
        existing = await self._objects.find(admin_objects.DRAINS, name)
        if existing is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, f'upstream {name} is not drained'
            )
        return await self._objects.remove(
            existing, existing.version, request.account.name
        )
