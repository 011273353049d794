"""Runs accepted calls on the upstream, a bounded number at a time."""

import datetime

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.ownership import witness as witnesses
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.scheduling import cache_admission
from magnoliawood.scheduling import speed as speeds
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.peer import messages
from magnoliawood_server.sidecar import cache_keeper
from magnoliawood_server.sidecar import call_queue
from magnoliawood_server.sidecar import call_run
from magnoliawood_server.sidecar import upstream as upstreams

RETRY_AFTER = datetime.timedelta(seconds=1)


class CallRunner:
    """Queue, running calls and their witness records.

    :param concurrency: calls that run at the same time
    :param queue_limit: calls that may wait
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        clock: clocks.Clock,
        metrics: registries.Registry,
        concurrency: int,
        queue_limit: int,
    ) -> None:
        self._upstream = upstream
        self._clock = clock
        self._metrics = metrics
        self._concurrency = concurrency
        self._queue_limit = queue_limit
        self._cache = cache_keeper.CacheKeeper(
            clock, cache_admission.HoldForRoom()
        )
        self._queue = call_queue.CallQueue(self._cache.may_start)
        self._runs: dict[identity.CallId, call_run.CallRun] = {}
        self._witness = witnesses.WitnessTable()
        self._barred: dict[identity.CallId, int] = {}
        self._running = 0
        self._speed = speeds.UpstreamSpeed(concurrency)

    @property
    def waiting(self) -> int:
        """Calls that wait or run, without those held for room."""
        return len(self._queue) - self._queue.held + self._running

    @property
    def cache(self) -> cache_keeper.CacheKeeper:
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
        if order.intended.attempt <= self._barred.get(call, 0):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CANCELLED,
                'the owner gave this order up before it arrived',
            )
        if len(self._queue) >= self._queue_limit:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.OVERLOADED,
                'the queue of the upstream is full',
                retry_after=RETRY_AFTER,
            )
        run = call_run.CallRun(order)
        self._runs[call] = run
        self._witness.accept(order.opened, order.intended)
        self._queue.push(run)
        await self._start_waiting()
        if not run.is_started and order.hold_until is not None:
            self._metrics.count('calls_held_total')
            await curio.spawn(self._end_hold, run, daemon=True)
        return run

    def bar(self, call: identity.CallId, attempt: int) -> None:
        """Refuse an order and its earlier attempts should they arrive."""
        self._barred[call] = max(attempt, self._barred.get(call, 0))

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
        await self._settle(run, _cancelled(run, verdicts.Verdict.NOT_RUN))

    def forget(self, call: identity.CallId) -> None:
        """Drop a finished call that the owner's journal covers."""
        run = self._runs.get(call)
        if run is not None and run.answer.outcome is not None:
            del self._runs[call]
            self._witness.forget(call)

    async def end_holds(self) -> None:
        """Start the calls held back as soon as others make way."""
        self._queue.end_holds()
        await self._start_waiting()

    async def release(self, program: identity.ProgramKey) -> None:
        """Free what the upstream holds for a program."""
        self._cache.release(program)
        await self._upstream.release(program)
        await self._start_waiting()

    async def _end_hold(self, run: call_run.CallRun) -> None:
        """Start a held call when its time is over."""
        wait = run.order.hold_until - self._clock.now()
        await curio.sleep(max(0.0, wait.total_seconds()))
        await self._start_waiting()

    async def _start_waiting(self) -> None:
        while self._running < self._concurrency:
            run = self._queue.pop()
            if run is None:
                return
            self._running += 1
            self._cache.note_start(run)
            run.task = await curio.spawn(self._run, run, daemon=True)

    async def _run(self, run: call_run.CallRun) -> None:
        started = self._clock.monotonic()
        try:
            outcome = await self._run_upstream(run)
        except curio.CancelledError:
            outcome = _cancelled(run, verdicts.Verdict.MAY_HAVE_RUN)
        self._running -= 1
        duration = self._clock.monotonic() - started
        self._metrics.record('upstream_seconds', duration)
        self._speed.record_call(duration)
        if run.first_token_at is not None:
            self._speed.record_prefill(
                run.new_tokens, run.first_token_at - started
            )
        await self._settle(run, outcome)
        await self._start_waiting()

    async def _run_upstream(self, run: call_run.CallRun) -> calls.CallOutcome:
        if self._clock.now() > run.order.deadline:
            return calls.CallOutcome.from_error(
                errors.MagnoliawoodError(
                    errors.ErrorCode.OVERLOADED,
                    'the deadline passed while the call waited',
                )
            )
        return await self._upstream.run(run)

    async def _settle(
        self, run: call_run.CallRun, outcome: calls.CallOutcome
    ) -> None:
        self._metrics.count('calls_total', verdict=str(outcome.verdict))
        self._witness.settle(run.order.intended.call, outcome)
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
