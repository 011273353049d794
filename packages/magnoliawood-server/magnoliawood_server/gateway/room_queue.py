"""Requests that wait at this gateway until an upstream has room for them."""

import collections
import collections.abc
import dataclasses
import datetime
import random

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import engine_memory
from magnoliawood.fleet import output_lengths
from magnoliawood.fleet import prompt_cache
from magnoliawood.routes import configuration as configurations
from magnoliawood.scheduling import room as rooms
from magnoliawood.scheduling import urgency
from magnoliawood.scheduling import waiting_line
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import attempts as attempt_records
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.gateway import request_log
from magnoliawood_server.gateway import service_rooms

# Upstreams that are compared where gateways with old word choose at once.
SMALLEST_SAMPLE = 2

# Time after which a program has ended, as a factor of the time it should take.
PROGRAM_TIME_FACTOR = 2

# Returns the best of some upstreams for a request, if it may get any.
Choose = collections.abc.Callable[
    [collections.abc.Container[str]], directories.Upstream | None
]


@dataclasses.dataclass(slots=True)
class _Place:
    """Place of a request at an upstream.

    :param is_sent: whether its attempt has begun, so that the load tracker
        counts it
    """

    service: str
    upstream: directories.Upstream
    account: str
    tokens: int
    is_sent: bool = False


class RoomQueue:
    """Lets requests wait for room in order of urgency, or refuses them.

    Explanation
    ===========

    It is an observer of attempts, which tells it when a place comes free.
    :class:`PlaceGate` takes back the place of a request that ends without an
    attempt.
    """

    def __init__(
        self,
        services: service_rooms.ServiceRooms,
        prompts: prompt_cache.PromptCaches,
        clock: clocks.Clock,
        registry: registries.Registry,
        source: random.Random,
    ) -> None:
        self._services = services
        self._prompts = prompts
        self._clock = clock
        self._registry = registry
        self._source = source
        # By identity of the job.
        self._places: dict[int, _Place] = {}
        self._claims: collections.Counter[str] = collections.Counter()
        self._events: dict[waiting_line.Waiter, curio.Event] = {}
        self._lengths = output_lengths.OutputLengths()

    async def take(
        self, job: jobs.Job, choose: Choose
    ) -> directories.Upstream | None:
        """Return an upstream with room for a request, and keep its place.

        If it is refused, ``job.room_wait`` is set to the time after which it
        finds room.
        """
        state = self._services.state(job.service, self._claims)
        name = ':'.join((job.fingerprints.content, *job.fingerprints.caller))
        request = self._describe(job, state, name)
        waiter, others = state.line.arrive(
            name, request, lambda: self._claim(job, request, state, choose)
        )
        await self._wake(others)
        if isinstance(waiter.decision, waiting_line.Wait):
            await self._wait(waiter, state, job)
        if isinstance(waiter.decision, waiting_line.Refuse):
            job.room_wait = waiter.decision.retry_after
            self._record_refusal(job, state, waiter.decision)
            return None
        return self._places[id(job)].upstream

    async def give_back(self, job: jobs.Job) -> None:
        """Give back the place of a request that is not sent."""
        self.end_job(job)
        await self.grant(job.service)

    async def grant(self, service: str) -> None:
        """Let run who waits for a service, since room may have come free."""
        state = self._services.known(service)
        if state is not None and state.line:
            await self._wake(state.line.grant())

    def clean_up(self) -> None:
        """Forget what is not configured any more."""
        self._services.clean_up()

    def end_job(self, job: jobs.Job) -> None:
        """Give back the place of a request that ends, if it has one."""
        place = self._places.pop(id(job), None)
        if place is not None:
            self._release(job, place, None)

    def begin(self, job: jobs.Job, upstream: directories.Upstream) -> None:
        """Record an attempt, which the load tracker counts from now on."""
        place = self._places.get(id(job))
        if place is not None and not place.is_sent:
            place.is_sent = True
            self._drop_claim(place)

    def end(self, attempt: attempt_records.Attempt) -> None:
        """Record the end of an attempt."""
        place = self._places.pop(id(attempt.job), None)
        if place is None:
            return
        result = attempt.result
        run_time = None
        if result and result.ending is exchanges.Ending.DELIVERED:
            run_time = attempt.ended_at - attempt.started_at
            state = self._services.known(place.service)
            if state is not None:
                state.record_run(attempt.job.route.name, _answer_time(attempt))
        self._release(attempt.job, place, run_time)

    def _record_length(self, attempt: attempt_records.Attempt) -> None:
        engine = self._services.engine(attempt.job.service)
        if engine is not None:
            self._lengths.record(
                attempt.job.metadata.expected_tokens,
                attempt.events * engine.tokens_per_event,
            )

    def _release(
        self,
        job: jobs.Job,
        place: _Place,
        run_time: datetime.timedelta | None,
    ) -> None:
        self._prompts.end_run(place.upstream.id, id(job))
        if not place.is_sent:
            self._drop_claim(place)
        state = self._services.known(place.service)
        if state is not None:
            state.line.end(
                place.account, place.tokens, place.upstream.id, run_time
            )

    def _drop_claim(self, place: _Place) -> None:
        self._claims[place.upstream.id] -= 1
        if not self._claims[place.upstream.id]:
            del self._claims[place.upstream.id]

    def _describe(
        self, job: jobs.Job, state: service_rooms.ServiceState, name: str
    ) -> urgency.WaitingRequest:
        now = self._clock.monotonic()
        arrived = job.request.arrived
        run_time = state.run_time(job.route.name)
        is_part = not job.is_new_program and (
            job.is_turn or bool(job.metadata.program_id)
        )
        due = arrived + job.route.latency_target
        if job.is_turn:
            # The target of a program does not include the runs of its turns.
            due += run_time
        program_time = job.metadata.program_time_left
        if is_part and program_time is not None:
            due = arrived + program_time
        demand = job.expected_demand
        known = state.line.known_arrival(name, now)
        return urgency.WaitingRequest(
            job.account,
            job.priority,
            arrived,
            min(arrived, known.first_arrived),
            due,
            job.deadline,
            job.route.latency_target,
            run_time,
            demand.output_tokens + sum(part.tokens for part in demand.parts),
            job.responder.is_started,
            job.is_new_program,
            is_part,
            known.has_place,
        )

    def _claim(
        self,
        job: jobs.Job,
        request: urgency.WaitingRequest,
        state: service_rooms.ServiceState,
        choose: Choose,
    ) -> str | None:
        """Claim a place at the best upstream with room for a request."""
        run = self._run(job)
        options = self._fitting(request, run, state.room.with_room())
        if not state.room.is_plentiful:
            options = self._sample(job, options, state.room.share)
        upstream = choose({load.id for load in options})
        if upstream is None:
            return None
        self._places[id(job)] = _Place(
            state.name, upstream, request.account, request.tokens
        )
        self._claims[upstream.id] += 1
        others = next(
            load.others for load in options if load.id == upstream.id
        )
        self._prompts.begin_run(upstream.id, id(job), run, others)
        return upstream.id

    def _run(self, job: jobs.Job) -> engine_memory.Run:
        """Return the memory that a request needs at an engine."""
        metadata = job.metadata
        program_end = None
        if metadata.program_time_left is not None:
            # A program that is late is carried on for a while.
            program_end = (
                job.request.arrived
                + metadata.program_time_left * PROGRAM_TIME_FACTOR
            )
        return engine_memory.Run(
            metadata.parts,
            self._lengths.likely_tokens(
                metadata.expected_tokens, metadata.output_tokens
            ),
            program_end,
        )

    def _fitting(
        self,
        request: urgency.WaitingRequest,
        run: engine_memory.Run,
        options: list[rooms.UpstreamLoad],
    ) -> list[rooms.UpstreamLoad]:
        """Return the upstreams at which a run preempts no others.

        A long one waits for that only for a part of its target, since
        shorter ones may take the memory that comes free.
        """
        if not run.parts:
            return options
        fitting = [
            load
            for load in options
            if self._prompts.fits(load.id, run, load.others)
        ]
        if not fitting and self._clock.monotonic() > request.refuse_by:
            return options
        return fitting

    def _sample(
        self,
        job: jobs.Job,
        options: list[rooms.UpstreamLoad],
        share: float,
    ) -> list[rooms.UpstreamLoad]:
        """Return some of the upstreams, with the one that reads least.

        All gateways know the same, so all would choose the same upstream.
        """
        size = max(SMALLEST_SAMPLE, int(len(options) * share))
        if size >= len(options):
            return options
        parts = job.metadata.parts
        best = min(
            options,
            key=lambda load: self._prompts.missing_tokens(load.id, parts),
        )
        return [best, *self._source.sample(options, size)]

    async def _wait(
        self,
        waiter: waiting_line.Waiter,
        state: service_rooms.ServiceState,
        job: jobs.Job,
    ) -> None:
        event = curio.Event()
        self._events[waiter] = event
        began = self._clock.monotonic()
        if not state.is_reviewed:
            state.is_reviewed = True
            await curio.spawn(self._review_while_waiting, state, daemon=True)
        try:
            await event.wait()
        except BaseException:
            # The caller has left.
            state.line.leave(waiter)
            self.end_job(job)
            raise
        finally:
            self._events.pop(waiter, None)
        waited = self._clock.monotonic() - began
        self._registry.record('room_wait_seconds', waited, service=state.name)
        if waited > waiter.request.target * urgency.EARLY_SHARE:
            request_log.log_waited(job, state, waited)

    async def _review_while_waiting(
        self, state: service_rooms.ServiceState
    ) -> None:
        """Review those who wait, as reports of peers come in."""
        interval = service_rooms.UPDATE_INTERVAL.total_seconds()
        try:
            while state.line:
                await curio.sleep(interval)
                self._services.state(state.name, self._claims)
                await self._wake(state.line.review())
        finally:
            state.is_reviewed = False

    async def _wake(self, waiters: list[waiting_line.Waiter]) -> None:
        for waiter in waiters:
            event = self._events.get(waiter)
            if event is not None:
                await event.set()

    def _record_refusal(
        self,
        job: jobs.Job,
        state: service_rooms.ServiceState,
        refusal: waiting_line.Refuse,
    ) -> None:
        self._registry.count(
            'room_refusals_total',
            service=state.name,
            reason=str(refusal.reason),
        )
        request_log.log_no_room(job, state, refusal)


class PlaceGate:
    """Takes back the places of requests that end without an attempt."""

    def __init__(self, queue: RoomQueue) -> None:
        self._queue = queue

    def admit(self, job: jobs.Job) -> None:
        """Admit each request; it is decided on when it is to be sent."""

    def end(self, job: jobs.Job) -> None:
        """Give back the place of a request, if it still has one."""
        self._queue.end_job(job)


def _answer_time(attempt: attempt_records.Attempt) -> datetime.timedelta:
    """Return the time after which the answer counts as given.

    That of a stream outside of a program counts from its first event.
    """
    is_stream = attempt.job.route.kind is configurations.RequestKind.STREAMING
    if is_stream and not attempt.job.is_turn and attempt.first_event_at:
        return attempt.first_event_at - attempt.started_at
    return attempt.ended_at - attempt.started_at
