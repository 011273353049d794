"""Queueing and execution of accepted calls on the upstream."""

import collections
import dataclasses
import datetime
import functools
import random

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.limits import admission as admissions
from magnoliawood.limits import crash_list
from magnoliawood.limits import crash_record
from magnoliawood.limits import shares as caller_shares
from magnoliawood.ownership import witness as witnesses
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.scheduling import cache_admission
from magnoliawood.scheduling import speed as speeds
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.http import client as http_client
from magnoliawood_server.peer import messages
from magnoliawood_server.sidecar import cache_tracker
from magnoliawood_server.sidecar import call_memory
from magnoliawood_server.sidecar import call_queue
from magnoliawood_server.sidecar import call_run
from magnoliawood_server.sidecar import health as healths
from magnoliawood_server.sidecar import upstream as upstreams

RETRY_AFTER = datetime.timedelta(seconds=1)
_USUAL_MEMORY_BYTES = 100 * 1024 * 1024
_POSSIBLE_CRASH_CODES = frozenset(
    {errors.ErrorCode.UPSTREAM_FAILED, errors.ErrorCode.OUTCOME_UNKNOWN}
)


class CallRunner:
    """Queues accepted calls, runs them and keeps their witness records.

    Explanation
    ===========

    A witness record is the sidecar's replica of a call. It is kept until
    the outcome is durable in the owner's journal.

    :param name: name of the host
    :param concurrency: maximum number of calls that run at the same time
    :param queue_limit: maximum number of queued calls
    :param memory_bytes: memory of all calls that are kept
    :param response_limit: bytes or characters of a response at most
    """

    def __init__(
        self,
        name: str,
        upstream: upstreams.Upstream,
        clock: clocks.Clock,
        metrics: registries.Registry,
        concurrency: int,
        queue_limit: int,
        memory_bytes: int = _USUAL_MEMORY_BYTES,
        response_limit: int = http_client.BODY_LIMIT_BYTES,
    ) -> None:
        self._response_limit = response_limit
        self._memory = call_memory.CallMemory(memory_bytes)
        self._name = name
        self._upstream = upstream
        self._health = healths.UpstreamHealth(upstream, clock)
        self._crashes = crash_list.CrashList(clock)
        self._clock = clock
        self._metrics = metrics
        self._concurrency = concurrency
        self._queue_limit = queue_limit
        self._cache = cache_tracker.CacheTracker(
            clock, cache_admission.WaitForCacheSpace()
        )
        self._queue = call_queue.CallQueue(self._cache.may_start)
        self._runs: dict[identity.CallId, call_run.CallRun] = {}
        self._witness = witnesses.WitnessTable()
        self._rejected_attempts: dict[identity.CallId, int] = {}
        self._running = 0
        self._active_calls: collections.Counter[identity.ProgramKey] = (
            collections.Counter()
        )
        self._suspects_running = 0
        self._admission: admissions.Admission = admissions.NewProgramsLast()
        self._random = random.Random(name)
        self._shares: caller_shares.CallerShares = caller_shares.EqualShares(
            clock
        )
        self._running_fingerprints: collections.Counter[str] = (
            collections.Counter()
        )
        self._speed = speeds.UpstreamSpeed(concurrency)

    @property
    def waiting(self) -> int:
        """Number of queued and running calls, without held ones."""
        return len(self._queue) - self._queue.held_count + self._running

    @property
    def cache(self) -> cache_tracker.CacheTracker:
        """Estimate of the use of the upstream's cache."""
        return self._cache

    @property
    def held_count(self) -> int:
        """Number of calls held until there is cache space for them."""
        return self._queue.held_count

    @property
    def speed(self) -> speeds.UpstreamSpeed:
        """Mean durations of the upstream's calls and prefills."""
        return self._speed

    @property
    def witness(self) -> witnesses.WitnessTable:
        """Witness records of accepted calls."""
        return self._witness

    @property
    def upstream(self) -> upstreams.Upstream:
        """Upstream on which the calls run."""
        return self._upstream

    @property
    def health(self) -> healths.UpstreamHealth:
        """Health of the upstream's process."""
        return self._health

    @property
    def crashes(self) -> crash_list.CrashList:
        """Requests that were running when an upstream crashed."""
        return self._crashes

    def load(self) -> messages.UpstreamLoad:
        """Return the upstream's load, which is sent with each outcome."""
        return messages.UpstreamLoad(
            self.waiting,
            self._cache.resident_tokens,
            self._speed.seconds_per_call,
            self._speed.prefill_seconds_per_token,
        )

    def find(self, call: identity.CallId) -> call_run.CallRun | None:
        """Return an accepted call, or ``None`` if it is unknown."""
        return self._runs.get(call)

    async def accept(self, order: messages.Order) -> call_run.CallRun:
        """Queue a new call, or return the existing one for a repeated order.

        :raises MagnoliawoodError: with ``overloaded``, or ``cancelled`` if
            the attempt was rejected beforehand
        """
        call = order.intended.call
        existing = self._runs.get(call)
        if existing is not None and not _is_superseded(existing, order):
            return existing
        if order.intended.attempt <= self._rejected_attempts.get(call, 0):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CANCELLED,
                'the owner abandoned this attempt before it arrived',
            )
        self._check_admission(order)
        self._take_memory(order)
        run = call_run.CallRun(
            order,
            self._clock.monotonic(),
            functools.partial(self._memory.take_response, call),
            self._response_limit,
        )
        self._runs[call] = run
        self._active_calls[call.program] += 1
        self._witness.accept(order.opened, order.intended)
        self._queue.push(run)
        self._shares.adjust_waiting(run.caller, 1)
        await self._start_waiting()
        if not run.is_started and order.hold_until is not None:
            self._metrics.count('calls_held_total')
            await curio.spawn(self._start_after_hold, run, daemon=True)
        return run

    def _take_memory(self, order: messages.Order) -> None:
        try:
            self._memory.take(order)
        except errors.MagnoliawoodError:
            self._metrics.count('admissions_refused_total', reason='memory')
            raise

    def _check_admission(self, order: messages.Order) -> None:
        """Check that the queue admits a call.

        :raises MagnoliawoodError: with ``overloaded``
        """
        queue = admissions.QueueState(
            len(self._queue), self._queue_limit, self._speed.seconds_per_call
        )
        call = order.intended.call
        decision = self._admission.decide(
            call.sequence == 1 and call.program.parent is None,
            self._shares.is_at_waiting_share(
                call.program.caller,
                self._queue_limit * admissions.NEW_PROGRAM_SHARE,
            ),
            order.deadline - self._clock.now(),
            queue,
        )
        if decision is admissions.Decision.ADMIT:
            return
        self._metrics.count('admissions_refused_total', reason=str(decision))
        raise errors.MagnoliawoodError(
            errors.ErrorCode.OVERLOADED,
            f'the queue of the upstream rejected the call: {decision}',
            retry_after=admissions.retry_after(queue, self._random),
        )

    def reject_attempts(self, call: identity.CallId, attempt: int) -> None:
        """Reject an attempt and all earlier ones if they arrive later."""
        self._rejected_attempts[call] = max(
            attempt, self._rejected_attempts.get(call, 0)
        )

    async def cancel(self, call: identity.CallId) -> None:
        """Cancel a call; text generated so far remains readable."""
        run = self._runs.get(call)
        if run is None or run.response.outcome is not None:
            return
        run.is_cancelled = True
        if run.task is not None:
            await run.task.cancel(blocking=False)
            return
        self._queue.remove(run)
        self._shares.adjust_waiting(run.caller, -1)
        await self._settle(run, _cancelled(run, verdicts.Verdict.NOT_RUN))

    def forget(self, call: identity.CallId) -> None:
        """Drop a finished call that is durable in the owner's journal."""
        run = self._runs.get(call)
        if run is not None and run.response.outcome is not None:
            del self._runs[call]
            self._memory.forget(call)
            self._witness.forget(call)

    async def release_held_calls(self) -> None:
        """Let held calls start without waiting for cache space."""
        self._queue.release_held_calls()
        await self._start_waiting()

    def has_calls(self, program: identity.ProgramKey) -> bool:
        """Return whether calls of a program are queued or running."""
        return program in self._active_calls

    async def record_release(self, program: identity.ProgramKey) -> None:
        """Record a released cache and start calls that now have space."""
        self._cache.release(program)
        await self._start_waiting()

    async def _start_after_hold(self, run: call_run.CallRun) -> None:
        """Start a held call when its ``hold_until`` is reached."""
        remaining = run.order.hold_until - self._clock.now()
        await curio.sleep(max(0.0, remaining.total_seconds()))
        await self._start_waiting()

    async def _start_waiting(self) -> None:
        while self._running < self._concurrency:
            run = self._queue.pop(self._may_start_within_share)
            if run is None and not self._are_only_reserved_slots_free():
                run = self._queue.pop(self._may_start)
            if run is None:
                return
            self._running += 1
            self._suspects_running += run.is_suspect
            self._shares.adjust_waiting(run.caller, -1)
            self._shares.adjust_running(run.caller, 1)
            self._cache.record_start(run)
            run.task = await curio.spawn(self._run, run, daemon=True)

    def _are_only_reserved_slots_free(self) -> bool:
        reserved_slots = self._shares.reserved_slots(self._concurrency)
        return self._running + reserved_slots >= self._concurrency

    def _may_start_within_share(self, run: call_run.CallRun) -> bool:
        is_at_share = self._shares.is_at_running_share(
            run.caller, self._concurrency
        )
        return not is_at_share and self._may_start(run)

    def _may_start(self, run: call_run.CallRun) -> bool:
        # Suspected requests run one at a time, so that another crash is
        # recorded as the second crash of at most one of them.
        return not (run.is_suspect and self._suspects_running)

    async def _run(self, run: call_run.CallRun) -> None:
        started_at = self._clock.monotonic()
        try:
            outcome = await self._run_upstream(run)
        except curio.CancelledError:
            outcome = _cancelled(run, verdicts.Verdict.MAY_HAVE_RUN)
        self._running -= 1
        self._suspects_running -= run.is_suspect
        self._shares.adjust_running(run.caller, -1)
        duration = self._clock.monotonic() - started_at
        self._metrics.record('upstream_seconds', duration)
        self._metrics.record('queue_wait_seconds', started_at - run.queued_at)
        self._record_tokens(run)
        self._speed.record_call(duration)
        if run.first_token_at is not None:
            self._speed.record_prefill(
                run.new_tokens, run.first_token_at - started_at
            )
        await self._settle(run, outcome)
        await self._start_waiting()

    def _record_tokens(self, run: call_run.CallRun) -> None:
        if run.first_token_at is None:
            return
        self._metrics.record(
            'first_token_seconds', run.first_token_at - run.queued_at
        )
        later_tokens = run.response.tokens - run.order.partial_tokens - 1
        if later_tokens > 0:
            elapsed = self._clock.monotonic() - run.first_token_at
            self._metrics.record('token_gap_seconds', elapsed / later_tokens)

    async def _run_upstream(self, run: call_run.CallRun) -> calls.CallOutcome:
        if self._clock.now() > run.order.deadline:
            return calls.CallOutcome.from_error(
                errors.MagnoliawoodError(
                    errors.ErrorCode.OVERLOADED,
                    'the deadline passed while the call was queued',
                )
            )
        rejection = self._suspected_outcome(run)
        if rejection is not None:
            return rejection
        if not self._health.process_id:
            await self._health.refresh()
        run.upstream_process_id = self._health.process_id
        outcome = await self._run_and_detect_crash(run)
        if not outcome.is_success and outcome.verdict.is_safe_to_repeat:
            await self._wait_for_identical_calls(run)
            return self._suspected_outcome(run) or outcome
        return outcome

    async def _run_and_detect_crash(
        self, run: call_run.CallRun
    ) -> calls.CallOutcome:
        fingerprint = run.order.fingerprint
        self._running_fingerprints[fingerprint] += 1
        try:
            outcome = await self._upstream.run(run)
            return await self._detect_crash(run, outcome)
        finally:
            self._running_fingerprints[fingerprint] -= 1
            if not self._running_fingerprints[fingerprint]:
                del self._running_fingerprints[fingerprint]

    def _suspected_outcome(
        self, run: call_run.CallRun
    ) -> calls.CallOutcome | None:
        """Return a rejection if the owner does not know of all crashes.

        Only upstream crashes during which the same request was running
        count.
        """
        known_crashes = self._crashes.crashes(run.order.fingerprint)
        if known_crashes <= set(run.order.crashes):
            return None
        rejection = errors.MagnoliawoodError(
            errors.ErrorCode.SUSPECTED,
            'the request was running when an upstream crashed',
            retry_after=RETRY_AFTER,
        )
        return dataclasses.replace(
            calls.CallOutcome.from_error(rejection),
            crashes=tuple(sorted(known_crashes)),
        )

    async def _wait_for_identical_calls(self, run: call_run.CallRun) -> None:
        """Wait until identical calls have detected whether they crashed."""
        deadline = self._clock.monotonic() + healths.PROBE_TIMEOUT
        while (
            run.order.fingerprint in self._running_fingerprints
            and self._clock.monotonic() < deadline
        ):
            await curio.sleep(healths.PROBE_INTERVAL.total_seconds())

    async def _detect_crash(
        self, run: call_run.CallRun, outcome: calls.CallOutcome
    ) -> calls.CallOutcome:
        """Return the outcome, changed if the upstream has crashed.

        A failed call alone does not distinguish a crash from a lost
        connection.
        """
        if (
            outcome.code not in _POSSIBLE_CRASH_CODES
            or outcome.verdict is not verdicts.Verdict.MAY_HAVE_RUN
            or not await self._health.has_exited(run.upstream_process_id)
        ):
            return outcome
        crash = crash_record.Crash(self._name, run.upstream_process_id)
        record = self._crashes.record_crashes(
            run.order.fingerprint, [crash, *run.order.crashes]
        )
        self._metrics.count('upstream_crashes_seen_total')
        return dataclasses.replace(
            outcome,
            code=str(errors.ErrorCode.UPSTREAM_CRASHED),
            detail='the upstream crashed while the call was running',
            crashes=record.crashes,
        )

    async def _settle(
        self, run: call_run.CallRun, outcome: calls.CallOutcome
    ) -> None:
        if run.response_refusal:
            self._metrics.count(
                'responses_refused_total', reason=run.response_refusal
            )
        self._metrics.count('calls_total', verdict=str(outcome.verdict))
        if outcome.code:
            self._metrics.count('refusals_total', reason=outcome.code)
        self._witness.settle(run.order.intended.call, outcome)
        self._memory.settle(run.order, outcome)
        program = run.order.intended.call.program
        self._active_calls[program] -= 1
        if not self._active_calls[program]:
            del self._active_calls[program]
        await run.response.finish(outcome)


def _is_superseded(existing: call_run.CallRun, order: messages.Order) -> bool:
    """Return whether an order is a new attempt after a failed one."""
    return (
        existing.response.outcome is not None
        and not existing.response.outcome.is_success
        and existing.order.intended.attempt < order.intended.attempt
    )


def _cancelled(
    run: call_run.CallRun, verdict: verdicts.Verdict
) -> calls.CallOutcome:
    return calls.CallOutcome(
        verdict,
        run.order.partial + run.response.text,
        max(run.order.partial_tokens, run.response.tokens),
        status=409,
        finish_reason='cancelled',
        code=str(errors.ErrorCode.CANCELLED),
        detail='the call was cancelled',
    )
