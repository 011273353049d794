"""Runs accepted calls on the upstream, a bounded number at a time."""

import collections
import dataclasses
import datetime
import random

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.limits import admission as admissions
from magnoliawood.limits import crash_list
from magnoliawood.limits import shares as caller_shares
from magnoliawood.ownership import witness as witnesses
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.scheduling import cache_admission
from magnoliawood.scheduling import speed as speeds
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.peer import messages
from magnoliawood_server.sidecar import cache_tracker
from magnoliawood_server.sidecar import call_queue
from magnoliawood_server.sidecar import call_run
from magnoliawood_server.sidecar import health as healths
from magnoliawood_server.sidecar import upstream as upstreams

RETRY_AFTER = datetime.timedelta(seconds=1)
_MAY_BE_CRASHES = frozenset(
    {errors.ErrorCode.UPSTREAM_FAILED, errors.ErrorCode.OUTCOME_UNKNOWN}
)


class CallRunner:
    """Queue, running calls and their witness records.

    :param name: name of the host
    :param concurrency: calls that run at the same time
    :param queue_limit: calls that may wait
    """

    def __init__(
        self,
        name: str,
        upstream: upstreams.Upstream,
        clock: clocks.Clock,
        metrics: registries.Registry,
        concurrency: int,
        queue_limit: int,
    ) -> None:
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
        self._under_way: collections.Counter[identity.ProgramKey] = (
            collections.Counter()
        )
        self._suspects_running = 0
        self._admission: admissions.Admission = admissions.NewProgramsLast()
        self._random = random.Random(name)
        self._shares: caller_shares.CallerShares = caller_shares.EqualShares(
            clock
        )
        self._at_upstream: collections.Counter[str] = collections.Counter()
        self._speed = speeds.UpstreamSpeed(concurrency)

    @property
    def waiting(self) -> int:
        """Calls that wait or run, without those held for room."""
        return len(self._queue) - self._queue.held + self._running

    @property
    def cache(self) -> cache_tracker.CacheTracker:
        """What is known of the upstream's cache."""
        return self._cache

    @property
    def held(self) -> int:
        """Calls held back until the cache has room."""
        return self._queue.held

    @property
    def speed(self) -> speeds.UpstreamSpeed:
        """How fast the upstream works."""
        return self._speed

    @property
    def witness(self) -> witnesses.WitnessTable:
        """Records of accepted calls."""
        return self._witness

    @property
    def upstream(self) -> upstreams.Upstream:
        """What the calls run on."""
        return self._upstream

    @property
    def health(self) -> healths.UpstreamHealth:
        """Whether the upstream's process lives."""
        return self._health

    @property
    def crashes(self) -> crash_list.CrashList:
        """Requests that were running when an upstream crashed."""
        return self._crashes

    def load(self) -> messages.UpstreamLoad:
        """Return the load to state with an answer."""
        return messages.UpstreamLoad(
            self.waiting,
            self._cache.resident_tokens,
            self._speed.seconds_per_call,
            self._speed.prefill_seconds_per_token,
        )

    def find(self, call: identity.CallId) -> call_run.CallRun | None:
        """Return an accepted call, if it is known."""
        return self._runs.get(call)

    async def accept(self, order: messages.Order) -> call_run.CallRun:
        """Queue a new call, or return the known one on a repeat.

        :raises MagnoliawoodError: with ``overloaded``
        """
        call = order.intended.call
        known = self._runs.get(call)
        if known is not None and not _is_superseded(known, order):
            return known
        if order.intended.attempt <= self._rejected_attempts.get(call, 0):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CANCELLED,
                'the owner gave this order up before it arrived',
            )
        self._check_admission(order)
        run = call_run.CallRun(order, self._clock.monotonic())
        self._runs[call] = run
        self._under_way[call.program] += 1
        self._witness.accept(order.opened, order.intended)
        self._queue.push(run)
        self._shares.adjust_waiting(run.caller, 1)
        await self._start_waiting()
        if not run.is_started and order.hold_until is not None:
            self._metrics.count('calls_held_total')
            await curio.spawn(self._end_hold, run, daemon=True)
        return run

    def _check_admission(self, order: messages.Order) -> None:
        """Refuse a call that should not wait here.

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
            f'the queue of the upstream takes no such call: {decision}',
            retry_after=admissions.retry_after(queue, self._random),
        )

    def reject_attempts(self, call: identity.CallId, attempt: int) -> None:
        """Refuse an order and its earlier attempts should they arrive."""
        self._rejected_attempts[call] = max(
            attempt, self._rejected_attempts.get(call, 0)
        )

    async def cancel(self, call: identity.CallId) -> None:
        """Stop a call; what it generated so far stays readable."""
        run = self._runs.get(call)
        if run is None or run.answer.outcome is not None:
            return
        run.is_cancelled = True
        if run.task is not None:
            await run.task.cancel(blocking=False)
            return
        self._queue.remove(run)
        self._shares.adjust_waiting(run.caller, -1)
        await self._settle(run, _cancelled(run, verdicts.Verdict.NOT_RUN))

    def forget(self, call: identity.CallId) -> None:
        """Drop a finished call that the owner's journal covers."""
        run = self._runs.get(call)
        if run is not None and run.answer.outcome is not None:
            del self._runs[call]
            self._witness.forget(call)

    async def release_held_calls(self) -> None:
        """Start the calls held back as soon as others make way."""
        self._queue.release_held_calls()
        await self._start_waiting()

    def has_calls(self, program: identity.ProgramKey) -> bool:
        """Whether calls of a program wait or run."""
        return program in self._under_way

    async def record_release(self, program: identity.ProgramKey) -> None:
        """Forget a program's cache and start calls that find room now."""
        self._cache.release(program)
        await self._start_waiting()

    async def _end_hold(self, run: call_run.CallRun) -> None:
        """Start a held call when its time is over."""
        wait = run.order.hold_until - self._clock.now()
        await curio.sleep(max(0.0, wait.total_seconds()))
        await self._start_waiting()

    async def _start_waiting(self) -> None:
        while self._running < self._concurrency:
            run = self._queue.pop(self._may_start_in_share)
            if run is None and not self._is_last_free():
                run = self._queue.pop(self._may_start)
            if run is None:
                return
            self._running += 1
            self._suspects_running += run.is_suspect
            self._shares.adjust_waiting(run.caller, -1)
            self._shares.adjust_running(run.caller, 1)
            self._cache.record_start(run)
            run.task = await curio.spawn(self._run, run, daemon=True)

    def _is_last_free(self) -> bool:
        reserved_slots = self._shares.reserved_slots(self._concurrency)
        return self._running + reserved_slots >= self._concurrency

    def _may_start_in_share(self, run: call_run.CallRun) -> bool:
        is_over = self._shares.is_at_running_share(
            run.caller, self._concurrency
        )
        return not is_over and self._may_start(run)

    def _may_start(self, run: call_run.CallRun) -> bool:
        # A crash then adds a second crash to at most one suspect.
        return not (run.is_suspect and self._suspects_running)

    async def _run(self, run: call_run.CallRun) -> None:
        started = self._clock.monotonic()
        try:
            outcome = await self._run_upstream(run)
        except curio.CancelledError:
            outcome = _cancelled(run, verdicts.Verdict.MAY_HAVE_RUN)
        self._running -= 1
        self._suspects_running -= run.is_suspect
        self._shares.adjust_running(run.caller, -1)
        duration = self._clock.monotonic() - started
        self._metrics.record('upstream_seconds', duration)
        self._metrics.record('queue_wait_seconds', started - run.queued_at)
        self._record_tokens(run)
        self._speed.record_call(duration)
        if run.first_token_at is not None:
            self._speed.record_prefill(
                run.new_tokens, run.first_token_at - started
            )
        await self._settle(run, outcome)
        await self._start_waiting()

    def _record_tokens(self, run: call_run.CallRun) -> None:
        if run.first_token_at is None:
            return
        self._metrics.record(
            'first_token_seconds', run.first_token_at - run.queued_at
        )
        later_tokens = run.answer.tokens - run.order.partial_tokens - 1
        if later_tokens > 0:
            elapsed = self._clock.monotonic() - run.first_token_at
            self._metrics.record('token_gap_seconds', elapsed / later_tokens)

    async def _run_upstream(self, run: call_run.CallRun) -> calls.CallOutcome:
        if self._clock.now() > run.order.deadline:
            return calls.CallOutcome.from_error(
                errors.MagnoliawoodError(
                    errors.ErrorCode.OVERLOADED,
                    'the deadline passed while the call waited',
                )
            )
        suspicion = self._suspicion(run)
        if suspicion is not None:
            return suspicion
        if not self._health.run:
            await self._health.refresh()
        run.upstream_process_id = self._health.run
        outcome = await self._run_and_judge(run)
        if not outcome.is_success and outcome.verdict.is_safe_to_repeat:
            await self._wait_for_equal_runs(run)
            return self._suspicion(run) or outcome
        return outcome

    async def _run_and_judge(self, run: call_run.CallRun) -> calls.CallOutcome:
        fingerprint = run.order.fingerprint
        self._at_upstream[fingerprint] += 1
        try:
            outcome = await self._upstream.run(run)
            return await self._judge_crash(run, outcome)
        finally:
            self._at_upstream[fingerprint] -= 1
            if not self._at_upstream[fingerprint]:
                del self._at_upstream[fingerprint]

    def _suspicion(self, run: call_run.CallRun) -> calls.CallOutcome | None:
        """Refuse a call if its owner does not know all its crashes."""
        known = self._crashes.crashes(run.order.fingerprint)
        if known <= set(run.order.crashes):
            return None
        refusal = errors.MagnoliawoodError(
            errors.ErrorCode.SUSPECTED,
            'the request was running when an upstream crashed',
            retry_after=RETRY_AFTER,
        )
        return dataclasses.replace(
            calls.CallOutcome.from_error(refusal),
            crashes=tuple(sorted(known)),
        )

    async def _wait_for_equal_runs(self, run: call_run.CallRun) -> None:
        """Let runs of the same content learn whether they crashed."""
        limit = self._clock.monotonic() + healths.PROBE_TIMEOUT
        while (
            run.order.fingerprint in self._at_upstream
            and self._clock.monotonic() < limit
        ):
            await curio.sleep(healths.PROBE_INTERVAL.total_seconds())

    async def _judge_crash(
        self, run: call_run.CallRun, outcome: calls.CallOutcome
    ) -> calls.CallOutcome:
        """Tell a crash of the upstream from a lost connection."""
        if (
            outcome.code not in _MAY_BE_CRASHES
            or outcome.verdict is not verdicts.Verdict.MAY_HAVE_RUN
            or not await self._health.has_exited(run.upstream_process_id)
        ):
            return outcome
        crash = crash_list.Crash(self._name, run.upstream_process_id)
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
        self._metrics.count('calls_total', verdict=str(outcome.verdict))
        if outcome.code:
            self._metrics.count('refusals_total', reason=outcome.code)
        self._witness.settle(run.order.intended.call, outcome)
        program = run.order.intended.call.program
        self._under_way[program] -= 1
        if not self._under_way[program]:
            del self._under_way[program]
        await run.answer.finish(outcome)


def _is_superseded(known: call_run.CallRun, order: messages.Order) -> bool:
    """Whether an order is a new attempt after one that has ended."""
    return (
        known.answer.outcome is not None
        and not known.answer.outcome.is_success
        and known.order.intended.attempt < order.intended.attempt
    )


def _cancelled(
    run: call_run.CallRun, verdict: verdicts.Verdict
) -> calls.CallOutcome:
    return calls.CallOutcome(
        verdict,
        run.order.partial + run.answer.text,
        max(run.order.partial_tokens, run.answer.tokens),
        status=409,
        finish_reason='cancelled',
        code=str(errors.ErrorCode.CANCELLED),
        detail='the call was cancelled',
    )
