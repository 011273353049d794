"""The entry process."""

import datetime
import logging
import typing
import uuid

import curio

from magnoliawood.config import account as accounts
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.programs import table as tables
from magnoliawood.scheduling import priority as priorities
from magnoliawood.scheduling import routing
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import admin_api
from magnoliawood_server.entry import cache_reconciler
from magnoliawood_server.entry import call_executor
from magnoliawood_server.entry import caller_api
from magnoliawood_server.entry import chat_api
from magnoliawood_server.entry import configuration_keeper
from magnoliawood_server.entry import gateway as gateways
from magnoliawood_server.entry import journal_writer
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import owner_service
from magnoliawood_server.entry import quarantine_keeper
from magnoliawood_server.entry import shard_keeper
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.http import message as http_message
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import http_store
from magnoliawood_server.runtime import listener
from magnoliawood_server.runtime import settings as settings_models

_BEARER = 'bearer '

_log = logging.getLogger(__name__)


class EntryApp:
    """Wires the parts of an entry together and serves."""

    def __init__(
        self, settings: settings_models.EntrySettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = uuid.uuid4().hex[:12]
        self._log_generation = 0
        self._metrics = registries.Registry()
        self._objects = http_store.HttpObjectStore(settings.platform)
        self._pool = pools.PeerPool(clock)
        self._programs = tables.ProgramTable()
        self._make_state()
        self._make_service()
        self._make_apis()

    async def run(self) -> None:
        """Serve until the process is stopped."""
        settings = self._settings
        await self._open_journal()
        async with curio.TaskGroup(wait=any) as group:
            for background in (
                self._membership.follow_hosts_forever,
                self._membership.probe_forever,
                self._sidecars.poll_forever,
                self._configuration.watch_forever,
                self._keeper.follow_map_forever,
                self._keeper.reconcile_forever,
                self._service.forget_forever,
                self._reconciler.reconcile_forever,
                self._quarantine.watch_forever,
                self._quarantine.store_forever,
            ):
                await group.spawn(background)
            await group.spawn(
                listener.serve_peers,
                settings.peer_listen,
                self._clock,
                self._handle_peer,
            )
            await group.spawn(
                listener.serve_http, settings.http_listen, self._handle_http
            )
            _log.info('entry started')
            await group.join()

    def _make_state(self) -> None:
        settings = self._settings
        self._configuration = configuration_keeper.ConfigurationKeeper(
            self._objects, settings.operator_token_hash
        )
        self._sidecars = sidecar_directory.SidecarDirectory(
            settings.name, self._pool, self._clock
        )
        self._membership = memberships.Membership(
            settings.name,
            self._objects,
            self._pool,
            self._sidecars,
            self._clock,
            datetime.timedelta(seconds=settings.suspicion_seconds),
        )

    def _make_service(self) -> None:
        self._service = owner_service.OwnerService(
            self._programs,
            self._configuration,
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
        )
        self._keeper = shard_keeper.ShardKeeper(
            self._settings.name,
            self._objects,
            self._membership,
            self._sidecars,
            self._pool,
            self._programs,
            self._metrics,
            self._service.adopt,
        )
        self._quarantine = quarantine_keeper.QuarantineKeeper(
            self._objects,
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
        )
        executor = call_executor.CallExecutor(
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
            routing.StayOrLeastLoaded(),
            priorities.EarliestProgramDeadline(),
            self._service.journal,
            self._service.wait_durable,
            self._quarantine,
        )
        self._service.connect(self._keeper, executor)
        self._reconciler = cache_reconciler.CacheReconciler(
            self._programs,
            self._keeper,
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
            datetime.timedelta(seconds=self._settings.idle_cache_seconds),
        )
        self._gateway = gateways.Gateway(
            self._settings.name,
            self._service,
            self._keeper,
            self._membership,
            self._pool,
            self._clock,
            self._metrics,
        )

    def _make_apis(self) -> None:
        self._caller_api = caller_api.CallerApi(self._gateway)
        self._chat_api = chat_api.ChatApi(
            self._gateway,
            self._sidecars,
            self._configuration,
            self._settings.default_class,
        )
        self._admin_api = admin_api.AdminApi(
            self._objects, self._configuration
        )

    async def _open_journal(self) -> None:
        """Start a new log and write to it from now on."""
        self._log_generation += 1
        log = (
            f'{self._settings.name}~{self._incarnation}.{self._log_generation}'
        )
        writer = journal_writer.JournalWriter(
            self._objects,
            log,
            datetime.timedelta(
                seconds=self._settings.journal_interval_seconds
            ),
            self._metrics,
            self._replace_sealed_journal,
        )
        self._service.set_writer(writer)
        self._keeper.set_writer(writer)
        await curio.spawn(writer.run, daemon=True)

    async def _replace_sealed_journal(self) -> None:
        self._metrics.count('journals_sealed_total')
        await self._keeper.lose_all()
        await self._open_journal()

    async def _handle_peer(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        if isinstance(message, messages.Probe):
            await stream.send(self._probe_reply())
        elif self._gateway.handles(message):
            await self._gateway.handle_peer(stream, message)
        else:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST,
                f'an entry takes no {type(message).__name__}',
            )

    def _probe_reply(self) -> messages.ProbeReply:
        return messages.ProbeReply(
            self._settings.name,
            self._incarnation,
            self._membership.is_leaving,
            self._keeper.map.version,
            self._configuration.current.version,
        )

    async def _handle_http(
        self, request: http_message.Request
    ) -> http_message.Response:
        try:
            return await self._dispatch(request)
        except errors.MagnoliawoodError as error:
            self._metrics.count('http_errors_total', code=str(error.code))
            if request.path.startswith('/v1/chat'):
                return chat_api.openai_response(error)
            raise

    async def _dispatch(
        self, request: http_message.Request
    ) -> http_message.Response:
        match request.segments:
            case ['healthz']:
                return http_message.Response(200, body=b'ok\n')
            case ['readyz']:
                return self._readiness()
            case ['metrics']:
                return self._metrics_page()
            case ['v1', 'programs', *_]:
                handle = self._caller_api.handle
            case ['v1', 'chat' | 'models', *_]:
                handle = self._chat_api.handle
            case ['admin', 'v1', *_]:
                handle = self._admin_api.handle
            case _:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.NOT_FOUND, f'no page {request.path}'
                )
        return await handle(request, self._authenticate(request))

    def _authenticate(self, request: http_message.Request) -> accounts.Account:
        header = request.header('authorization')
        if not header.lower().startswith(_BEARER):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UNAUTHENTICATED, 'a bearer token is needed'
            )
        return self._configuration.authenticate(header[len(_BEARER) :])

    def _readiness(self) -> http_message.Response:
        owners = {a.owner for a in self._keeper.map.assignments}
        is_ready = (
            self._membership.is_ready
            and '' not in owners
            and self._configuration.current.version > 0
            and not self._membership.is_leaving
        )
        return http_message.Response(
            200 if is_ready else 503,
            body=b'ready\n' if is_ready else b'not ready\n',
        )

    def _metrics_page(self) -> http_message.Response:
        gauge = self._metrics.set_gauge
        gauge('programs', len(self._programs))
        gauge('calls_under_way', self._service.calls_under_way)
        reachable = sum(s.is_reachable for s in self._sidecars.all())
        gauge('sidecars_reachable', reachable)
        gauge('map_version', self._keeper.map.version)
        gauge('configuration_version', self._configuration.current.version)
        return http_message.Response(
            200,
            {'content-type': 'text/plain; version=0.0.4'},
            self._metrics.exposition().encode(),
        )
