"""Handles a request of a caller from its arrival to its response."""

import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import selection
from magnoliawood.limits import recent_set
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import attempts as attempt_records
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import gates as request_gates
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.gateway import job_factory
from magnoliawood_server.gateway import permits as permit_clients
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.gateway import request_log
from magnoliawood_server.gateway import room_queue as room_queues
from magnoliawood_server.gateway import stream_guard
from magnoliawood_server.gateway import turn_guard
from magnoliawood_server.gateway import upstream_announcements
from magnoliawood_server.gateway import upstream_choice
from magnoliawood_server.gateway import upstream_pool
from magnoliawood_server.http import connection as connections
from magnoliawood_server.platform import requests

# Limit on the attempts of one request that upstreams refuse or that fail to
# connect.
MAX_ATTEMPTS_NOT_RUN = 4
# No attempt is started with less time left than this.
MIN_ATTEMPT_TIME = datetime.timedelta(milliseconds=20)
_GATEWAY_TIMEOUT = 504
# Endings with a complete response of the upstream itself.
_ANSWERED = (exchanges.Ending.DELIVERED, exchanges.Ending.REFUSED)

NO_GATES = request_gates.Gates()

_log = logging.getLogger(__name__)


class RequestHandler:
    """Routes each request and runs it on an upstream.

    :param streams: origins of streams
    :param quarantine: requests that crash upstreams
    :param announcements: what upstreams say about themselves
    :param permits: permits for requests to upstreams with a rate limit
    :param gates: admit requests at their arrival
    :param observers: learn from each attempt
    :param room_queue: lets requests wait for room at the upstreams
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        load_tracker: loads.LoadTracker,
        selector: selection.Selector,
        prompts: prompt_cache.PromptCaches,
        pool: upstream_pool.UpstreamPool,
        guard: turn_guard.TurnGuard,
        streams: stream_guard.StreamGuard,
        quarantine: quarantines.Quarantine,
        announcements: upstream_announcements.UpstreamAnnouncements,
        permits: permit_clients.Permits,
        clock: clocks.Clock,
        registry: registries.Registry,
        gates: request_gates.Gates = NO_GATES,
        observers: tuple[attempt_records.AttemptObserver, ...] = (),
        room_queue: room_queues.RoomQueue | None = None,
    ) -> None:
        self._cluster_view = cluster_view
        self._load_tracker = load_tracker
        self._prompts = prompts
        self._pool = pool
        self._guard = guard
        self._streams = streams
        self._quarantine = quarantine
        self._announcements = announcements
        self._choice = upstream_choice.UpstreamChoice(
            cluster_view, selector, quarantine, permits, clock, room_queue
        )
        self._jobs = job_factory.JobFactory(cluster_view, quarantine)
        # Programs of which this gateway has served a turn.
        self._programs = recent_set.RecentSet()
        self._clock = clock
        self._registry = registry
        self._gates = gates
        self._observers = observers

    @property
    def is_ready(self) -> bool:
        """Whether all is known that decides where requests may run."""
        return self._jobs.is_ready

    async def handle(
        self,
        request: callers.CallerRequest,
        responder: callers.Responder,
    ) -> None:
        """Serve a request.

        :raises ResponseAborted: if a response that has been started cannot
            be completed
        :raises OSError: if the caller disconnected
        """
        metadata = requests.decode_request_metadata(request.headers)
        try:
            is_known = metadata.program_id in self._programs
            job = self._jobs.make(request, metadata, responder, is_known)
            self._gates.admit(job)
            try:
                await self._serve(job)
            except callers.RequestCut as cut:
                is_evicted = isinstance(cut, callers.RequestEvicted)
                raise job.cut_error(is_evicted) from None
            finally:
                self._gates.end(job)
        except errors.MagnoliawoodError as error:
            await self._reject(request, metadata, responder, error)

    async def _serve(self, job: jobs.Job) -> None:
        body: connections.Body = (job.request.body,)
        if job.is_resumable_stream:
            await self._bind_stream(job)
        if job.is_turn:
            job.turn = await self._guard.admit(
                job.metadata,
                job.route,
                job.account,
                job.stream,
                job.responder.take_memory,
                len(job.request.body),
            )
            body = (*job.turn.history_parts, job.request.body)
            job.delivery.keeps_output = bool(job.turn.retention_period)
        try:
            job.admitted = self._clock.monotonic()
            await self._try_upstreams(job, body)
        finally:
            if job.turn is not None:
                await self._guard.settle(job.turn, job.tokens_spent)

    async def _bind_stream(self, job: jobs.Job) -> None:
        """Bind a stream that is taken up to where it began.

        :raises MagnoliawoodError: if it can't go on
        """
        job.stream = await self._streams.bind(
            job.metadata, job.route, job.service
        )
        if job.stream.origin is not None:
            job.service = job.stream.origin.service

    async def _try_upstreams(
        self, job: jobs.Job, body: connections.Body
    ) -> None:
        """Try upstreams until one delivers a response.

        :raises MagnoliawoodError: if the request is aborted
        """
        job.delivery.last_event_id = job.metadata.last_event_id
        exchange = exchanges.Exchange(
            self._pool,
            job.request,
            body,
            job.responder,
            job.delivery,
            lambda: self._before_start(job),
            lambda: self._before_end(job),
            self._announcements,
            job.identity,
        )
        while True:
            upstream = await self._choice.take(job)
            self._check_may_run(job)
            time_left = job.deadline - self._clock.monotonic()
            if upstream is None or time_left < MIN_ATTEMPT_TIME:
                raise job.abort_error()
            result = await self._attempt(job, exchange, upstream, time_left)
            if result is None:
                job.attempts += 1
                raise job.abort_error(is_timeout=True)
            if result.ending is exchanges.Ending.DELIVERED:
                self._record_served(job, upstream, result)
                return
            self._handle_failure(job, upstream, result)

    async def _attempt(
        self,
        job: jobs.Job,
        exchange: exchanges.Exchange,
        upstream: directories.Upstream,
        time_left: datetime.timedelta,
    ) -> exchanges.Result | None:
        if job.stream is not None:
            await self._streams.begin_attempt(
                job.stream, job.metadata.request_id, upstream
            )
        started_at = self._clock.monotonic()
        requests_there = self._load_tracker.requests(upstream.id)
        events_before = job.delivery.events
        self._load_tracker.begin(upstream.id)
        for observer in self._observers:
            observer.begin(job, upstream)
        result = None
        try:
            # On a new connection a loss can't be an idle close, so a second
            # loss of the same request is certain.
            may_reuse = not self._quarantine.is_suspected(job.fingerprints)
            result = await exchanges.run_with_timeout(
                time_left, exchange.run(upstream, time_left, may_reuse)
            )
        except curio.CancelledError:
            # The caller has left.
            self._record_unanswered(job, upstream)
            raise
        finally:
            self._load_tracker.end(upstream.id)
            if result is None or not result.ending.has_not_run:
                job.runs += 1
            self._tell_observers(
                attempt_records.Attempt(
                    job,
                    upstream,
                    requests_there,
                    started_at,
                    self._clock.monotonic(),
                    None if events_before else job.first_event_at,
                    job.delivery.events - events_before,
                    result,
                )
            )
            await self._choice.settle(job.service)
        if result is None:
            self._record_unanswered(job, upstream)
        else:
            self._record_attempt(job, upstream, result)
        return result

    def _tell_observers(self, attempt: attempt_records.Attempt) -> None:
        for observer in self._observers:
            observer.end(attempt)

    def _record_unanswered(
        self, job: jobs.Job, upstream: directories.Upstream
    ) -> None:
        if not job.responder.is_started:
            self._quarantine.record_unanswered(job.fingerprints, upstream)

    def _record_attempt(
        self,
        job: jobs.Job,
        upstream: directories.Upstream,
        result: exchanges.Result,
    ) -> None:
        """Record what an attempt shows about its upstream."""
        use = result.connection_use
        if use is not None and result.ending in _ANSWERED:
            self._quarantine.record_response(upstream, use)
        if result.ending is exchanges.Ending.UNREACHABLE:
            self._quarantine.record_unreachable(upstream)
        if not result.ending.has_not_run:
            self._prompts.record_sent_prompt(upstream.id, job.metadata.parts)

    def _check_may_run(self, job: jobs.Job) -> None:
        """Reject a request that was quarantined while it was under way.

        :raises MagnoliawoodError: with ``suspected`` if it has not run
        """
        if job.attempts and self._quarantine.is_quarantined(job.fingerprints):
            raise job.abort_error()
        self._quarantine.check(job.fingerprints)

    def _handle_failure(
        self,
        job: jobs.Job,
        upstream: directories.Upstream,
        result: exchanges.Result,
    ) -> None:
        """Record a failed attempt and decide on a retry.

        :raises MagnoliawoodError: if the request must not be retried
        """
        job.tried.add(upstream.id)
        job.last_reason = result.reason
        self._registry.count('attempts_total', ending=str(result.ending))
        request_log.log_failed_attempt(job, upstream, result)
        if result.is_malformed:
            self._registry.count('malformed_responses_total')
        if result.ending is exchanges.Ending.MISDIRECTED:
            self._cluster_view.directory.drop(upstream)
        if result.ending.is_upstream_failure:
            self._load_tracker.record_failure(upstream.id)
        if result.is_connection_lost and result.connection_use is not None:
            self._quarantine.record_loss(
                job.metadata.request_id,
                job.fingerprints,
                upstream,
                result.connection_use,
                result.ending is not exchanges.Ending.FORGOTTEN,
                result.has_started,
            )
        if result.ending.has_not_run:
            job.attempts_not_run += 1
            may_retry = job.attempts_not_run < MAX_ATTEMPTS_NOT_RUN
        else:
            job.attempts += 1
            may_retry = job.attempts < job.route.max_attempts
            may_retry &= job.route.is_idempotent
        if not may_retry:
            raise job.abort_error()

    async def _before_start(self, job: jobs.Job) -> None:
        """Store the origin of a stream before its first event is sent.

        :raises MagnoliawoodError: if it could not be stored
        """
        job.first_event_at = self._clock.monotonic()
        if job.stream is not None:
            await self._streams.confirm(job.stream)

    async def _before_end(self, job: jobs.Job) -> None:
        """Store a turn that has a retention period before its response ends.

        :raises ResponseAborted: if it could not be stored and a part of the
            response was sent
        :raises MagnoliawoodError: if it could not be stored and nothing was
        """
        if job.turn is None or not job.turn.retention_period:
            return
        try:
            await self._guard.store_turn(
                job.turn,
                job.request.body,
                job.delivery.output,
                job.tokens_spent,
                job.deadline,
            )
        except errors.MagnoliawoodError as error:
            _log.error(
                'turn not stored; response aborted',
                extra={
                    'request_id': job.metadata.request_id,
                    'error': str(error),
                },
            )
            reason = 'the turn could not be stored'
            if not job.responder.is_started:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.OUTCOME_UNKNOWN,
                    reason,
                    errors.verdicts.Verdict.MAY_HAVE_RUN,
                ) from error
            raise callers.ResponseAborted(reason) from error

    async def _reject(
        self,
        request: callers.CallerRequest,
        metadata: requests.RequestMetadata,
        responder: callers.Responder,
        error: errors.MagnoliawoodError,
    ) -> None:
        elapsed = self._clock.monotonic() - request.arrived
        self._registry.count('refusals_total', reason=str(error.code))
        request_log.log_refused(
            metadata, error, elapsed, self._cluster_view.version
        )
        if responder.is_started:
            raise callers.ResponseAborted(error.detail)
        status = error.status
        if error.code is errors.ErrorCode.OUTCOME_UNKNOWN:
            status = _GATEWAY_TIMEOUT
        headers = requests.refusal_headers(
            metadata.request_id, error.retry_after
        )
        await responder.send_complete(status, headers, b'')

    def _record_served(
        self,
        job: jobs.Job,
        upstream: directories.Upstream,
        result: exchanges.Result,
    ) -> None:
        now = self._clock.monotonic()
        self._quarantine.record_success(job.fingerprints)
        self._load_tracker.record_success(upstream.id)
        if job.is_turn and job.metadata.program_id:
            self._programs.add(job.metadata.program_id)
        self._registry.record(
            'request_seconds', now - job.request.arrived, route=job.route.name
        )
        request_log.log_served(
            job,
            upstream,
            result,
            now,
            self._cluster_view.version,
            self._load_tracker.requests(upstream.id),
        )
