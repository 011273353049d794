"""Assembles and runs the gateway process."""

import datetime
import logging
import random
import typing

import curio

from magnoliawood.accounts import contacts as account_contacts
from magnoliawood.accounts import quota_facts
from magnoliawood.accounts import quotas
from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.fleet import facts as fleet_facts
from magnoliawood.fleet import failure_rates
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import placement as placements
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import selection
from magnoliawood.fleet import speeds as upstream_speeds
from magnoliawood.limits import crash_list
from magnoliawood.limits import rate_limiter
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import attempts
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import clean_up
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import directory_check
from magnoliawood_server.gateway import gates
from magnoliawood_server.gateway import gossip as gossips
from magnoliawood_server.gateway import handler as handlers
from magnoliawood_server.gateway import host_gate
from magnoliawood_server.gateway import peer_service as peer_services
from magnoliawood_server.gateway import permits as permit_clients
from magnoliawood_server.gateway import planned_stop
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.gateway import quarantine_sync as quarantine_syncs
from magnoliawood_server.gateway import quota_gate
from magnoliawood_server.gateway import readiness
from magnoliawood_server.gateway import record_client as record_clients
from magnoliawood_server.gateway import relay as relays
from magnoliawood_server.gateway import room_queue as room_queues
from magnoliawood_server.gateway import service_rooms
from magnoliawood_server.gateway import store_watch
from magnoliawood_server.gateway import stream_guard
from magnoliawood_server.gateway import turn_guard
from magnoliawood_server.gateway import upstream_announcements
from magnoliawood_server.gateway import upstream_learning
from magnoliawood_server.gateway import upstream_pool
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import group_store as group_stores
from magnoliawood_server.platform import objects
from magnoliawood_server.platform import quarantine_store
from magnoliawood_server.platform import settings as settings_files
from magnoliawood_server.runtime import client_limits
from magnoliawood_server.runtime import listener as listeners
from magnoliawood_server.runtime import metrics_page
from magnoliawood_server.runtime import reload
from magnoliawood_server.runtime import stop

_WatchType = typing.TypeVar(
    '_WatchType', store_watch.ConfigurationWatch, store_watch.UpstreamWatch
)

_log = logging.getLogger(__name__)


class GatewayApp:
    """Gateway process: serves callers until a stop signal arrives."""

    def __init__(
        self, settings: settings_files.HostSettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._activity = callers.CallerActivity()
        self._registry = registries.Registry()
        self._client_limits = client_limits.load(client_limits.ClientLimits)
        self._budget = self._client_limits.make_budget(
            settings.memory_bytes,
            settings.max_descriptors,
            clock,
            self._registry,
        )
        self._caller_listener = listeners.Listener(
            settings.caller_listen,
            self._serve_caller,
            self._budget,
        )
        self._parsing_turns = callers.ParsingTurns()
        self._cluster_view = cluster_views.ClusterView(
            clock, settings.revocation_limit
        )
        self._load_tracker = loads.LoadTracker(clock)
        self._prompts = prompt_cache.PromptCaches()
        self._facts = fleet_facts.FactBoard(clock)
        self._speeds = upstream_speeds.UpstreamSpeeds(clock, self._facts)
        self._failures = failure_rates.FailureRates(
            clock,
            self._facts,
            settings.host,
            lambda: 1 + len(self._gossip.responsive_peers()),
        )
        self._placement = placements.Placement()
        self._selector = selection.Selector(
            self._load_tracker,
            self._prompts,
            settings.data_centre,
            *self._learned_parts(),
        )
        self._learning = upstream_learning.UpstreamLearning(
            self._cluster_view,
            self._prompts,
            self._speeds,
            self._failures,
            self._placement,
            clock,
            self._registry,
            datetime.timedelta()
            if settings.is_first_start
            else upstream_learning.WARM_UP,
        )
        self._upstreams = upstream_pool.UpstreamPool(clock, self._registry)
        self._peers = pools.PeerPool(clock, None)
        self._crashes = crash_list.CrashList(clock)
        self._quarantine = quarantines.Quarantine(
            self._crashes, clock, self._registry
        )
        self._quarantine_sync = quarantine_syncs.QuarantineSync(
            quarantine_store.QuarantineStore(
                objects.StoreClient(settings.store)
            ),
            self._crashes,
            self._quarantine,
            clock,
            self._registry,
        )
        self._records = record_clients.RecordClient(
            group_stores.GroupStore(objects.StoreClient(settings.store)),
            relays.RelayingRequester(
                self._peers, lambda: self._gossip.reachable_peers(), clock
            ),
            clock,
            self._registry,
        )
        self._gossip = gossips.Gossip(
            settings.host,
            settings.peer_address,
            settings.seeds,
            self._cluster_view,
            self._load_tracker,
            self._prompts,
            self._facts,
            self._crashes,
            self._quarantine,
            self._records,
            self._peers,
            clock,
            self._registry,
        )
        self._upstream_watch = self._make_watch(store_watch.UpstreamWatch)
        self._watches = (
            self._make_watch(store_watch.ConfigurationWatch),
            self._upstream_watch,
        )
        self._permits = permit_clients.Permits(
            self._gossip,
            self._cluster_view.directory.rate_limits,
            rate_limiter.RateLimiter(clock),
            self._load_tracker,
            self._peers,
            clock,
            self._registry,
        )
        self._peer_service = peer_services.PeerService(
            self._gossip, self._permits, self._peers
        )
        self._guard = turn_guard.TurnGuard(
            self._records,
            clock,
            client_limits.turn_cache_bytes(settings.memory_bytes),
        )
        self._stop = planned_stop.PlannedStop(
            settings.stop_limit,
            self._activity,
            self._caller_listener.stop,
            self._guard.flush,
            clock,
        )
        self._host_gate = host_gate.make(
            settings.processor_share, self._cluster_view, clock, self._registry
        )
        self._quotas = self._make_quota_gate()
        self._room_queue = (
            self._make_room_queue() if settings.orders_requests else None
        )
        self._handler = handlers.RequestHandler(
            self._cluster_view,
            self._load_tracker,
            self._selector,
            self._prompts,
            self._upstreams,
            self._guard,
            stream_guard.StreamGuard(
                self._records,
                self._cluster_view.directory,
                clock,
                self._registry,
                directory_check.DirectoryCheck(
                    objects.StoreClient(settings.store),
                    self._upstream_watch,
                    clock,
                ),
            ),
            self._quarantine,
            upstream_announcements.UpstreamAnnouncements(
                self._cluster_view.directory, self._registry
            ),
            self._permits,
            clock,
            self._registry,
            self._make_gates(),
            self._make_observers(),
            self._room_queue,
        )
        self._clean_up = clean_up.CleanUp(
            self._cluster_view,
            self._upstreams,
            self._prompts,
            self._permits,
            self._quarantine,
            self._quotas,
            self._learning,
            self._room_queue,
            self._watches,
            self._registry,
        )

    def _make_watch(self, watch_type: type[_WatchType]) -> _WatchType:
        return watch_type(
            self._settings.store,
            self._cluster_view,
            self._gossip,
            self._registry,
            self._clock,
        )

    def _make_gates(self) -> gates.Gates:
        listed: list[gates.Gate] = [self._stop]
        if self._host_gate is not None:
            listed.append(self._host_gate)
        listed.append(self._quotas)
        if self._room_queue is not None:
            listed.append(room_queues.PlaceGate(self._room_queue))
        return gates.Gates(tuple(listed))

    def _learned_parts(
        self,
    ) -> tuple[
        upstream_speeds.Speeds,
        failure_rates.FailureRates | None,
        placements.Placement | None,
    ]:
        """Return what upstreams are chosen by besides load and caches."""
        if not self._settings.learns_upstreams:
            return upstream_speeds.UNKNOWN, None, None
        return self._speeds, self._failures, self._placement

    def _make_observers(self) -> tuple[attempts.AttemptObserver, ...]:
        listed: list[attempts.AttemptObserver] = []
        if self._settings.learns_upstreams:
            listed.append(self._learning)
        if self._room_queue is not None:
            listed.append(self._room_queue)
        return tuple(listed)

    def _make_quota_gate(self) -> quota_gate.QuotaGate:
        seeds = set(self._settings.seeds) - {self._settings.peer_address}
        book = quotas.QuotaBook(
            self._settings.quota_window,
            self._clock.now().timestamp(),
            self._clock,
            account_contacts.Contacts(len(seeds)),
        )
        return quota_gate.QuotaGate(
            book,
            quota_facts.QuotaFacts(
                book, self._facts, self._cluster_view.find_account
            ),
            self._gossip.contacts,
            self._gossip.max_contact_age,
            self._clock,
            self._registry,
        )

    def _make_room_queue(self) -> room_queues.RoomQueue:
        """Return the queue of requests that wait for room."""
        source = random.Random()
        return room_queues.RoomQueue(
            service_rooms.ServiceRooms(
                self._cluster_view,
                self._load_tracker,
                self._prompts,
                self._facts,
                lambda: 1 + len(self._gossip.known_peers()),
                self._clock,
                self._registry,
                source,
            ),
            self._prompts,
            self._clock,
            self._registry,
            source,
        )

    async def run(self) -> int:
        """Serve until a stop signal arrives.

        :returns: exit code of the process
        """
        signals = stop.StopSignals()
        reloads = reload.ReloadSignals(settings_files.load, self._reload)
        _log.info('started')
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._listen_for_readiness)
            await tasks.spawn(self._caller_listener.run)
            await tasks.spawn(
                listeners.peer_listener(
                    self._settings.peer_listen,
                    self._clock,
                    self._peer_service.serve,
                    None,
                ).run
            )
            for watch in self._watches:
                await tasks.spawn(watch.run)
            await tasks.spawn(
                store_watch.StoreProbe(
                    self._settings.store,
                    self._cluster_view,
                    self._gossip,
                    self._watches,
                ).run
            )
            await curio.spawn(self._records.refresh, daemon=True)
            await tasks.spawn(self._records.probe_forever)
            await tasks.spawn(self._gossip.run)
            await tasks.spawn(self._quarantine_sync.run)
            await tasks.spawn(
                metrics_page.metrics_listener(
                    self._settings.metrics_listen, self._registry
                ).run
            )
            await tasks.spawn(self._clean_up.run)
            if self._host_gate is not None:
                await tasks.spawn(self._host_gate.run)
            await tasks.spawn(self._learning.run)
            await tasks.spawn(reloads.run)
            stopping = await tasks.spawn(self._stop.run, signals)
        return int(stopping.result)

    def _reload(self, settings: settings_files.HostSettings) -> None:
        """Apply the settings that may change while the process runs."""
        self._gossip.add_peers(settings.seeds)

    async def _serve_caller(
        self, sock: curio.io.Socket, holding: client_budget.Holding
    ) -> None:
        await callers.CallerConnection(
            sock,
            self._handler.handle,
            lambda: self._cluster_view.limits,
            self._activity,
            self._clock,
            self._registry,
            holding,
            self._client_limits.body_limit,
            self._parsing_turns,
        ).run()

    async def _listen_for_readiness(self) -> None:
        await readiness.listen(
            self._settings.readiness_listen,
            lambda: (
                self._handler.is_ready
                and self._gossip.has_asked_peers
                and self._records.is_reachable
                and not self._activity.is_closing
            ),
            lambda: self._cluster_view.limits,
            self._clock,
            self._registry,
        )
