"""What this gateway knows of the room of each service, with its age."""

import collections.abc
import datetime
import random

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import facts as fleet_facts
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import prompt_cache
from magnoliawood.routes import configuration as configurations
from magnoliawood.scheduling import room as rooms
from magnoliawood.scheduling import run_rates
from magnoliawood.scheduling import waiting_line
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import cluster_view as cluster_views

# What is known of a service is brought up to date after this time, or after
# the second while few of its slots are taken.
UPDATE_INTERVAL = datetime.timedelta(milliseconds=50)
CALM_UPDATE_INTERVAL = datetime.timedelta(milliseconds=200)
# Peers are told of the demand here while more than this share of the slots
# of a service is taken.
TELL_SHARE = 0.25
# Older word of the demand at a peer is not used.
DEMAND_MAX_AGE = datetime.timedelta(seconds=2)
# Weight of the newest demand in its moving mean.
_DEMAND_WEIGHT = 0.2


class ServiceState:
    """Room of a service, and the requests that wait for it.

    :param run_times: time that the requests of each route take
    """

    def __init__(
        self, name: str, clock: clocks.Clock, source: random.Random
    ) -> None:
        self.name = name
        self.room = rooms.ServiceRoom(clock, source)
        self.line = waiting_line.WaitingLine(self.room, clock, source)
        self.run_times: dict[str, run_rates.RunTime] = {}
        self.updated_at: datetime.timedelta | None = None
        # Age of the oldest word of the demand at a peer.
        self.word_age: datetime.timedelta | None = None
        self.demand = 0.0
        self.is_reviewed = False

    def run_time(self, route: str) -> datetime.timedelta:
        """Return the time that the requests of a route take."""
        known = self.run_times.get(route)
        return self.line.run_time if known is None else known.mean

    def record_run(self, route: str, run_time: datetime.timedelta) -> None:
        """Record the time that a request of a route took."""
        self.run_times.setdefault(route, run_rates.RunTime()).record(run_time)


class ServiceRooms:
    """The state of each service, brought up to date when it is used.

    :param facts: tells peers of the demand here, and the demand at peers
    :param gateways: returns the number of known gateways, with this one
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        load_tracker: loads.LoadTracker,
        prompts: prompt_cache.PromptCaches,
        facts: fleet_facts.FactBoard,
        gateways: collections.abc.Callable[[], int],
        clock: clocks.Clock,
        registry: registries.Registry,
        source: random.Random,
    ) -> None:
        self._cluster_view = cluster_view
        self._load_tracker = load_tracker
        self._prompts = prompts
        self._facts = facts
        self._gateways = gateways
        self._clock = clock
        self._registry = registry
        self._source = source
        self._states: dict[str, ServiceState] = {}

    def state(
        self, service: str, claims: collections.abc.Mapping[str, int]
    ) -> ServiceState:
        """Return the state of a service, not older than the interval.

        :param claims: requests about to be sent, by upstream
        """
        state = self._states.get(service)
        if state is None:
            state = ServiceState(service, self._clock, self._source)
            self._states[service] = state
        now = self._clock.monotonic()
        interval = UPDATE_INTERVAL
        if self._is_calm(state):
            interval = CALM_UPDATE_INTERVAL
        if state.updated_at is None or now - state.updated_at >= interval:
            self._update(state, claims)
            state.updated_at = now
        return state

    def engine(self, service: str) -> configurations.Engine | None:
        """Return the capacity of the engines of a service, if it has any."""
        table = self._cluster_view.table
        configured = table.service(service) if table else None
        return configured.engine if configured else None

    def known(self, service: str) -> ServiceState | None:
        """Return the state of a service as it is, if there is one."""
        return self._states.get(service)

    def clean_up(self) -> None:
        """Forget services that are not configured any more."""
        table = self._cluster_view.table
        if table is None:
            return
        gone = {
            name
            for name, state in self._states.items()
            if table.service(name) is None and not state.line
        }
        for name in gone:
            del self._states[name]
        self._facts.retain_only(fleet_facts.FactKind.ROOM, self._states.keys())

    def _update(
        self,
        state: ServiceState,
        claims: collections.abc.Mapping[str, int],
    ) -> None:
        own = self._load_tracker.local_requests()
        usable = self._cluster_view.directory.usable(state.name)
        tracked = [
            rooms.UpstreamLoad(
                upstream.id,
                upstream.slots,
                self._load_tracker.requests(upstream.id)
                + claims.get(upstream.id, 0),
                own.get(upstream.id, 0) + claims.get(upstream.id, 0),
            )
            for upstream in usable
        ]
        engine = self.engine(state.name)
        if engine is not None:
            now = self._clock.monotonic()
            for upstream in usable:
                self._prompts.configure(
                    upstream.id, engine.cache_tokens, upstream.started_at, now
                )
        state.room.update(tracked, self._share(state))
        self._tell_demand(state)
        self._registry.set_gauge(
            'room_requests', state.room.requests, service=state.name
        )
        self._registry.set_gauge(
            'room_slots', state.room.slots, service=state.name
        )
        self._registry.set_gauge(
            'room_share', round(state.room.share, 3), service=state.name
        )
        self._registry.set_gauge(
            'room_waiting', len(state.line), service=state.name
        )

    def _share(self, state: ServiceState) -> float:
        demand = state.line.demand(max(1, state.room.slots))
        state.demand += (demand - state.demand) * _DEMAND_WEIGHT
        heard = self._facts.heard(
            fleet_facts.FactKind.ROOM, state.name, DEMAND_MAX_AGE
        )
        now = self._clock.monotonic()
        state.word_age = max(
            (now - fact.learned_at for fact in heard), default=None
        )
        return rooms.share_of(
            state.demand,
            [fact.values[0] for fact in heard if fact.values],
            self._gateways(),
        )

    def _is_calm(self, state: ServiceState) -> bool:
        """Return whether few slots are taken."""
        return state.room.requests < state.room.slots * TELL_SHARE

    def _tell_demand(self, state: ServiceState) -> None:
        if self._is_calm(state):
            return
        self._facts.publish(
            fleet_facts.FactKind.ROOM,
            state.name,
            (float(round(state.demand)),),
        )
