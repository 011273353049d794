"""Entry process: its components, listeners, journal and drain."""

import datetime
import logging
import typing
import uuid

import curio

from magnoliawood.budgets import client_budget
from magnoliawood.config import account as accounts
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.programs import table as tables
from magnoliawood.scheduling import policies
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import admin_api
from magnoliawood_server.entry import admin_fleet
from magnoliawood_server.entry import admin_objects
from magnoliawood_server.entry import cache_reconciler
from magnoliawood_server.entry import call_executor
from magnoliawood_server.entry import call_recorder
from magnoliawood_server.entry import call_scheduler
from magnoliawood_server.entry import caller_api
from magnoliawood_server.entry import change_history
from magnoliawood_server.entry import chat_api
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.entry import fleet_view
from magnoliawood_server.entry import gateway as gateways
from magnoliawood_server.entry import journal_compactor
from magnoliawood_server.entry import journal_writer
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import owner_service
from magnoliawood_server.entry import ownership_guard
from magnoliawood_server.entry import program_memory
from magnoliawood_server.entry import quarantine_registry
from magnoliawood_server.entry import record_replicator
from magnoliawood_server.entry import retention
from magnoliawood_server.entry import routes
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.entry import shared_state
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.http import message as http_message
from magnoliawood_server.http import server as http_server
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import handshake as handshakes
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import product_store
from magnoliawood_server.runtime import listener
from magnoliawood_server.runtime import metrics_page
from magnoliawood_server.runtime import settings as settings_models
from magnoliawood_server.runtime import stop

_BEARER = 'bearer '

_log = logging.getLogger(__name__)


class EntryApp:
    """Entry process: creates its components and serves HTTP and peers."""

    def __init__(
        self, settings: settings_models.EntrySettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = uuid.uuid4().hex[:12]
        self._log_generation = 0
        self._metrics = registries.Registry()
        self._objects = product_store.ProductStore(settings.platform)
        self._handshake = handshakes.Handshake(
            handshakes.PeerSecrets(settings.peer_secrets()), self._metrics
        )
        self._pool = pools.PeerPool(clock, self._handshake)
        self._programs = tables.ProgramTable()
        self._replicated_records = record_replicator.ReplicatedRecordService(
            lambda: self._shard_manager.map,
            settings.replica_bytes,
            self._metrics,
        )
        self._make_state()
        self._make_service()
        self._make_apis()
        self._make_listeners()

    def routes(self) -> list[routes.Route]:
        """Return the routes of all HTTP operations that need a credential."""
        apis = (self._caller_api, self._chat_api, self._admin_api)
        return [route for api in apis for route in api.router.routes]

    async def run(self) -> stop.ExitCode:
        """Serve until a stop signal arrives and the entry has drained.

        :returns: exit code of the drain
        """
        signals = stop.StopSignals()
        await self._open_journal()
        async with curio.TaskGroup(wait=any) as group:
            for background in (
                self._membership.follow_hosts_forever,
                self._membership.probe_forever,
                self._sidecars.poll_forever,
                self._configuration.watch_forever,
                self._shard_manager.follow_map_forever,
                self._shard_manager.reconcile_forever,
                self._guard.tick_forever,
                self._guard.confirm_forever,
                self._recorder.send_forgets_forever,
                self._shared_state.follow_forever,
                self._retention.run,
                self._reconciler.reconcile_forever,
                self._quarantine.watch_forever,
                self._quarantine.store_forever,
            ):
                await group.spawn(background)
            await group.spawn(self._peer_listener.run)
            await group.spawn(self._http_listener.run)
            await group.spawn(
                stop.drain,
                signals,
                self._leave,
                datetime.timedelta(seconds=self._settings.stop_limit_seconds),
            )
            _log.info('entry started')
        return group.result

    def _make_state(self) -> None:
        settings = self._settings
        self._configuration = configuration_cache.ConfigurationCache(
            self._objects, settings.operator_token_hash
        )
        self._sidecars = sidecar_directory.SidecarDirectory(
            settings.name,
            self._pool,
            self._clock,
            lambda: self._configuration.current.drained,
        )
        self._membership = memberships.Membership(
            settings.name,
            self._objects,
            self._pool,
            self._sidecars,
            self._clock,
            datetime.timedelta(seconds=settings.suspicion_seconds),
        )

        self._replicator = record_replicator.RecordReplicator(
            settings.data_centre, self._membership, self._pool, self._metrics
        )

    def _make_service(self) -> None:
        self._retention = retention.EndedProgramRetention(
            self._programs, self._clock
        )
        self._service = owner_service.OwnerService(
            self._programs,
            self._configuration,
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
            program_memory.ProgramMemory(
                self._programs,
                self._retention,
                self._settings.program_bytes,
                self._clock,
                self._metrics,
            ),
        )
        self._shard_manager = shard_manager.ShardManager(
            self._settings.name,
            self._objects,
            self._membership,
            self._sidecars,
            self._pool,
            self._programs,
            self._metrics,
            self._service.adopt,
            self._replicated_records,
            journal_compactor.JournalCompactor(
                self._settings.name,
                self._objects,
                self._metrics,
                self._next_log,
                self._settings.segments_per_log,
            ),
        )
        self._quarantine = quarantine_registry.QuarantineRegistry(
            self._objects,
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
        )
        self._recorder = call_recorder.CallRecorder(
            self._programs,
            self._shard_manager,
            self._sidecars,
            self._pool,
            self._metrics,
        )
        self._shared_state = shared_state.SharedState(
            self._configuration,
            self._membership,
            self._shard_manager,
            self._pool,
            self._metrics,
            [item for item in self._settings.entries.split(',') if item],
        )
        policy = policies.make_policy(self._settings.policy)
        executor = call_executor.CallExecutor(
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
            call_scheduler.CallScheduler(
                self._sidecars,
                self._clock,
                self._metrics,
                policy,
                self._quarantine,
            ),
            self._recorder.record_intent,
            self._quarantine,
        )
        self._guard = ownership_guard.OwnershipGuard(
            self._shard_manager,
            self._membership,
            self._pool,
            self._clock,
            self._metrics,
        )
        self._service.connect(
            self._shard_manager, executor, self._recorder, self._guard
        )
        self._reconciler = cache_reconciler.CacheReconciler(
            self._programs,
            self._shard_manager,
            self._sidecars,
            self._pool,
            self._clock,
            self._metrics,
            datetime.timedelta(seconds=self._settings.idle_cache_seconds),
        )
        self._gateway = gateways.Gateway(
            self._settings.name,
            self._service,
            self._shard_manager,
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
        self._make_admin_api()

    def _make_admin_api(self) -> None:
        settings = self._settings
        self._fleet = fleet_view.FleetView(
            settings.name,
            self._incarnation,
            settings.data_centre,
            self._objects,
            self._membership,
            self._shard_manager,
            self._service,
            self._programs,
            self._configuration,
            self._pool,
            self._metrics,
        )
        history = change_history.ChangeHistory(self._objects, self._metrics)
        self._admin_api = admin_api.AdminApi(
            admin_objects.ConfigurationObjects(
                self._objects, self._configuration, history, self._clock
            ),
            admin_fleet.AdminFleet(
                settings.name,
                settings.data_centre,
                self._fleet,
                self._gateway,
                self._membership,
                self._sidecars,
                self._configuration,
                self._pool,
            ),
            self._clock,
        )

    def _make_listeners(self) -> None:
        self._activity = http_server.Activity()
        self._peer_requests = 0
        self._peer_listener = listener.peer_listener(
            self._settings.peer_listen,
            self._clock,
            self._handle_peer,
            self._handshake,
            client_budget.ClientBudget(
                self._settings.unproved_peer_limits(),
                self._clock,
                self._metrics,
                'unproved',
            ),
        )
        self._http_listener = listener.http_listener(
            self._settings.http_listen,
            self._handle_http,
            self._activity,
            client_budget.ClientBudget(
                self._settings.client_budget_limits(),
                self._clock,
                self._metrics,
            ),
            self._settings.body_limit,
        )

    async def _leave(self) -> None:
        """Release all shards and wait until no request is in progress."""
        self._membership.is_leaving = True
        self._activity.is_closing = True
        await curio.sleep(self._settings.stop_notice_seconds)
        await self._http_listener.stop()
        while True:
            await self._shard_manager.release_all()
            if not self._is_busy():
                break
            await curio.sleep(stop.POLL_INTERVAL.total_seconds())
        self._activity.is_closed = True
        await self._flush_journal()

    def _is_busy(self) -> bool:
        # Calls of released shards continue at the new owner, so they do not
        # delay the stop.
        owns_shards = bool(
            self._shard_manager.map.owned_by(self._settings.name)
        )
        return bool(
            self._activity.is_busy
            or self._peer_requests
            or (owns_shards and self._service.calls_under_way)
        )

    async def _flush_journal(self) -> None:
        writer = self._writer
        while not (
            writer.is_sealed
            or await writer.wait_durable(writer.last_position())
        ):
            await curio.sleep(stop.POLL_INTERVAL.total_seconds())

    async def _open_journal(self) -> None:
        """Start a new journal log and direct all further writes to it."""
        writer = journal_writer.JournalWriter(
            self._objects,
            self._next_log(),
            datetime.timedelta(
                seconds=self._settings.journal_interval_seconds
            ),
            self._metrics,
            self._replace_sealed_journal,
            self._replicator,
            self._settings.replica_bytes,
        )
        self._writer = writer
        self._recorder.set_writer(writer)
        self._shard_manager.set_writer(writer)
        await curio.spawn(writer.run, daemon=True)

    def _next_log(self) -> str:
        self._log_generation += 1
        run = f'{self._incarnation}.{self._log_generation}'
        return f'{self._settings.name}~{run}'

    async def _replace_sealed_journal(self) -> None:
        self._metrics.count('journals_sealed_total')
        await self._shard_manager.drop_all_shards()
        await self._open_journal()

    async def _handle_peer(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        if isinstance(message, messages.Probe):
            await stream.send(self._probe_reply())
        elif isinstance(message, messages.GetShardMap):
            shard_map = self._shard_manager.map
            await stream.send(
                messages.ShardMapText(shard_map.version, shard_map.to_text())
            )
        elif isinstance(message, messages.SharedStateRequest):
            await stream.send(self._shared_state.reply())
        elif self._replicated_records.handles(message):
            await self._replicated_records.handle_peer(stream, message)
        elif self._fleet.handles(message):
            await stream.send(await self._fleet.reply_to(message))
        elif self._gateway.handles(message):
            self._peer_requests += 1
            try:
                await self._gateway.handle_peer(stream, message)
            finally:
                self._peer_requests -= 1
        else:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST,
                f'an entry does not serve {type(message).__name__}',
            )

    def _probe_reply(self) -> messages.ProbeReply:
        return messages.ProbeReply(
            self._settings.name,
            self._incarnation,
            self._membership.is_leaving,
            self._shard_manager.map.version,
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
                handle = self._caller_api.router.serve
            case ['v1', 'chat' | 'models', *_]:
                handle = self._chat_api.router.serve
            case ['admin', 'v1', *_]:
                handle = self._admin_api.router.serve
            case _:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.NOT_FOUND,
                    f'no resource at {request.path}',
                )
        return await handle(request, self._authenticate(request))

    def _authenticate(self, request: http_message.Request) -> accounts.Account:
        header = request.header('authorization')
        if not header.lower().startswith(_BEARER):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UNAUTHENTICATED, 'a bearer token is required'
            )
        return self._configuration.authenticate(header[len(_BEARER) :])

    def _readiness(self) -> http_message.Response:
        owners = {a.owner for a in self._shard_manager.map.assignments}
        is_ready = (
            self._membership.is_ready
            and '' not in owners
            and self._configuration.is_loaded
            and self._quarantine.is_loaded
            and not self._membership.is_leaving
        )
        return http_message.Response(
            200 if is_ready else 503,
            body=b'ready\n' if is_ready else b'not ready\n',
        )

    def _metrics_page(self) -> http_message.Response:
        gauge = self._metrics.set_gauge
        gauge(
            'records_held_for_peers', len(self._replicated_records.replicated)
        )
        gauge('programs', len(self._programs))
        gauge('calls_under_way', self._service.calls_under_way)
        gauge('entries_silent', self._membership.unresponsive_count)
        reachable = sum(s.is_reachable for s in self._sidecars.all())
        gauge('sidecars_reachable', reachable)
        usable = sum(s.is_usable for s in self._sidecars.all())
        gauge('sidecars_usable', usable)
        gauge('sidecars_leaving', self._sidecars.leaving)
        gauge('map_version', self._shard_manager.map.version)
        gauge(
            'configuration_malformed_objects',
            len(self._configuration.current.malformed),
        )
        gauge('configuration_version', self._configuration.current.version)
        return metrics_page.metrics_response(self._metrics)
