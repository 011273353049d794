"""Execution of the calls of owned programs on upstreams."""

import collections.abc
import dataclasses
import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.limits import retry_budget as retry_budgets
from magnoliawood.ownership import takeover
from magnoliawood.programs import call as calls
from magnoliawood.programs import program as programs
from magnoliawood.programs import records
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import call_recorder
from magnoliawood_server.entry import call_scheduler
from magnoliawood_server.entry import quarantine_registry
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.runtime import response_buffer as response_buffers

MAX_ATTEMPTS = 3
SETTLE_TIMEOUT = datetime.timedelta(seconds=4)
SETTLE_INTERVAL = datetime.timedelta(milliseconds=200)
RETRY_AFTER = datetime.timedelta(seconds=1)

_FINAL_CODES = frozenset(
    {errors.ErrorCode.CANCELLED, errors.ErrorCode.QUARANTINED}
)

_log = logging.getLogger(__name__)

RecordIntent = collections.abc.Callable[
    [records.Intended, int], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(slots=True)
class Execution:
    """A call in progress at its owner.

    :param target: target duration of the program's work class
    :param epoch: epoch of the shard, used as the fencing token of the call
    :param attempts: number of attempts that this owner dispatched
    :param response: output received so far, and the outcome
    :param excluded: names of sidecars that get no further attempt
    """

    program: programs.Program
    call: calls.Call
    target: datetime.timedelta
    epoch: int
    attempts: int = 0
    response: response_buffers.ResponseBuffer = dataclasses.field(
        default_factory=response_buffers.ResponseBuffer
    )
    excluded: set[str] = dataclasses.field(default_factory=set)

    @property
    def fingerprint(self) -> str:
        """Digest of the history and the request of the call."""
        return calls.content_fingerprint(
            self.program.digest, self.call.request
        )


class CallExecutor:
    """Dispatches calls to sidecars and settles those whose connection is lost.

    :param record_intent: records an attempt and its epoch before it is
        dispatched
    """

    def __init__(
        self,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        metrics: registries.Registry,
        scheduler: call_scheduler.CallScheduler,
        record_intent: RecordIntent,
        quarantine: quarantine_registry.QuarantineRegistry,
    ) -> None:
        self._sidecars = sidecars
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._scheduler = scheduler
        self._record_intent = record_intent
        self._quarantine = quarantine
        self._retry_budget: retry_budgets.RetryBudget = (
            retry_budgets.TokenBucketBudget()
        )

    def choose(
        self,
        program: programs.Program,
        request: calls.Request,
        excluded: set[str],
    ) -> sidecar_directory.Sidecar:
        """Choose the upstream for a request.

        :raises MagnoliawoodError: if none is available
        """
        return self._scheduler.choose(program, request, excluded)

    async def run(
        self, execution: Execution, sidecar: sidecar_directory.Sidecar
    ) -> calls.CallOutcome:
        """Run a call whose intent for ``sidecar`` was applied, with retries.

        :raises OwnershipLost: if another entry settles the call
        """
        while True:
            await self._record_intent(
                _current_intent(execution.call), execution.epoch
            )
            execution.attempts += 1
            outcome = await self._dispatch(execution, sidecar)
            outcome = await self._apply_quarantine(execution, outcome)
            if outcome.is_success:
                self._retry_budget.record_success(
                    sidecar.name, execution.program.key
                )
            if not self._may_retry(execution, outcome):
                return outcome
            if not self._retry_budget.try_spend(
                sidecar.name, execution.program.key, outcome.code
            ):
                self._metrics.count(
                    'retries_refused_total', reason=outcome.code
                )
                return outcome
            self._metrics.count('retries_total', reason=outcome.code)
            # A sidecar that only reported crashes can run the next attempt.
            if outcome.code != errors.ErrorCode.SUSPECTED:
                execution.excluded.add(sidecar.name)
            try:
                sidecar = self._prepare_retry(execution)
            except errors.MagnoliawoodError:
                return outcome

    async def resume(
        self, execution: Execution, unresponsive_sidecars: set[str]
    ) -> calls.CallOutcome:
        """Settle a call that a previous owner started.

        :param unresponsive_sidecars: sidecars that did not respond to the
            fence
        :raises OwnershipLost: if another entry settles the call
        """
        call = execution.call
        sidecar = self._sidecars.find(call.upstream)
        outcome = unknown_outcome(execution)
        if sidecar is not None and call.upstream not in unresponsive_sidecars:
            outcome = await self._settle_lost_attempt(execution, sidecar)
            outcome = await self._apply_quarantine(execution, outcome)
        if not self._may_retry(execution, outcome):
            return outcome
        if not call.request.is_idempotent:
            # The call never ran. The error makes a waiting caller send it
            # again.
            return calls.CallOutcome.from_error(_withdrawn_error())
        self._metrics.count('retries_total', reason='takeover')
        lost_tokens = 0
        if outcome.code == errors.ErrorCode.OUTCOME_UNKNOWN:
            lost_tokens = call.reserved
            self._metrics.count('tokens_charged_lost_total', lost_tokens)
        try:
            sidecar = self._prepare_retry(execution, lost_tokens)
        except errors.MagnoliawoodError as error:
            return dataclasses.replace(
                calls.CallOutcome.from_error(error),
                verdict=outcome.verdict,
                tokens=lost_tokens,
            )
        return await self.run(execution, sidecar)

    async def cancel(self, execution: Execution) -> None:
        """Request that the sidecar of a call stops it."""
        call = execution.call
        sidecar = self._sidecars.find(call.upstream)
        if sidecar is not None:
            await self._pool.request(
                sidecar.host.address,
                messages.Cancel(call.id, execution.epoch),
                sidecar_directory.RESPONSE_TIMEOUT,
            )

    async def _apply_quarantine(
        self, execution: Execution, outcome: calls.CallOutcome
    ) -> calls.CallOutcome:
        return await self._quarantine.apply_outcome(
            execution.fingerprint, outcome
        )

    def _may_retry(
        self, execution: Execution, outcome: calls.CallOutcome
    ) -> bool:
        if execution.attempts >= MAX_ATTEMPTS:
            return False
        if outcome.code in _FINAL_CODES:
            return False
        return takeover.may_retry(execution.call.request, outcome)

    def _prepare_retry(
        self, execution: Execution, lost_tokens: int = 0
    ) -> sidecar_directory.Sidecar:
        call = execution.call
        # The lost attempt may have spent its reservation, which stays
        # charged to the budget. The next attempt therefore reserves at most
        # what is left besides it.
        reserved = call.reserved
        if lost_tokens:
            reserved = min(reserved, execution.program.ledger.tokens_left)
            execution.program.ledger.check(max(1, reserved), calls=0)
        sidecar = self.choose(
            execution.program, call.request, execution.excluded
        )
        execution.program.apply(
            make_intent(
                call.id,
                call.key,
                call.request,
                reserved,
                sidecar,
                call.attempt + 1,
                call.wasted + lost_tokens,
            )
        )
        return sidecar

    async def _dispatch(
        self, execution: Execution, sidecar: sidecar_directory.Sidecar
    ) -> calls.CallOutcome:
        sidecar.dispatched_calls += 1
        try:
            return await self._send_order(execution, sidecar)
        finally:
            sidecar.dispatched_calls -= 1

    async def _send_order(
        self, execution: Execution, sidecar: sidecar_directory.Sidecar
    ) -> calls.CallOutcome:
        try:
            stream = await self._pool.open_stream(sidecar.host.address)
        except connections.PeerLost as error:
            return calls.CallOutcome.from_error(
                errors.MagnoliawoodError(
                    errors.ErrorCode.UPSTREAM_UNAVAILABLE,
                    error.detail,
                    retry_after=RETRY_AFTER,
                )
            )
        try:
            await stream.send(self._make_order(execution))
            return await self._receive_response(execution, stream, sidecar)
        except connections.PeerLost:
            return await self._settle_lost_attempt(execution, sidecar)
        except errors.MagnoliawoodError as error:
            return _outcome_of_rejection(error)
        finally:
            stream.close()

    async def _receive_response(
        self,
        execution: Execution,
        stream: connections.Stream,
        sidecar: sidecar_directory.Sidecar,
    ) -> calls.CallOutcome:
        while True:
            message = await stream.receive()
            if isinstance(message, messages.Finished):
                if message.load is not None:
                    sidecar.update_load(message.load)
                return message.outcome
            await execution.response.append(message.text, message.tokens)

    async def _settle_lost_attempt(
        self, execution: Execution, sidecar: sidecar_directory.Sidecar
    ) -> calls.CallOutcome:
        """Request the outcome of a call from its sidecar until a time-out."""
        self._metrics.count('settlements_total')
        deadline = self._clock.monotonic() + SETTLE_TIMEOUT
        while self._clock.monotonic() < deadline:
            try:
                return await self._attach(execution, sidecar)
            except connections.PeerLost:
                await curio.sleep(SETTLE_INTERVAL.total_seconds())
            except errors.MagnoliawoodError as error:
                return _outcome_of_rejection(error)
        return unknown_outcome(execution)

    async def _attach(
        self, execution: Execution, sidecar: sidecar_directory.Sidecar
    ) -> calls.CallOutcome:
        call = execution.call
        await self._sidecars.poll(sidecar)
        if not sidecar.is_reachable:
            raise connections.PeerLost('the sidecar did not respond')
        if sidecar.reply.incarnation != call.upstream_incarnation:
            return unknown_outcome(execution)
        stream = await self._pool.open_stream(sidecar.host.address)
        try:
            await stream.send(
                messages.Attach(
                    call.id,
                    call.attempt,
                    execution.epoch,
                    len(execution.response.text),
                )
            )
            return await self._receive_response(execution, stream, sidecar)
        finally:
            stream.close()

    def _make_order(self, execution: Execution) -> messages.Order:
        program = execution.program
        request = execution.call.request
        is_turn = isinstance(request, calls.ModelRequest)
        lifetime = datetime.timedelta(seconds=program.opened.budget.seconds)
        return messages.Order(
            program.opened,
            _current_intent(execution.call),
            execution.epoch,
            program.history if is_turn else [],
            execution.response.text,
            execution.response.tokens,
            self._scheduler.rank(program, execution.target),
            program.opened.opened_at + lifetime,
            self._scheduler.cache_wait_deadline(
                program, request, execution.target
            ),
            execution.fingerprint,
            self._quarantine.crashes_of(execution.fingerprint),
        )


def _withdrawn_error() -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.NOT_OWNER,
        'the previous owner never dispatched the call',
    )


def make_intent(
    call: calls.identity.CallId,
    key: str,
    request: calls.Request,
    reserved: int,
    sidecar: sidecar_directory.Sidecar,
    attempt: int,
    wasted: int = 0,
) -> records.Intended:
    """Return the record of an attempt that is to be sent to a sidecar."""
    return records.Intended(
        call,
        key,
        request,
        reserved,
        sidecar.name,
        sidecar.reply.incarnation,
        attempt,
        wasted,
    )


def _current_intent(call: calls.Call) -> records.Intended:
    return records.Intended(
        call.id,
        call.key,
        call.request,
        call.reserved,
        call.upstream,
        call.upstream_incarnation,
        call.attempt,
        call.wasted,
    )


def _outcome_of_rejection(
    error: errors.MagnoliawoodError,
) -> calls.CallOutcome:
    if error.code == errors.ErrorCode.STALE_EPOCH:
        raise call_recorder.OwnershipLost
    if error.code == errors.ErrorCode.UNKNOWN_CALL:
        error = errors.MagnoliawoodError(
            errors.ErrorCode.UPSTREAM_UNAVAILABLE,
            'the call never arrived at the sidecar',
            retry_after=RETRY_AFTER,
        )
    return calls.CallOutcome.from_error(error)


def unknown_outcome(execution: Execution) -> calls.CallOutcome:
    """Return the outcome of a call that may have run with its result lost."""
    return calls.CallOutcome(
        verdicts.Verdict.MAY_HAVE_RUN,
        execution.response.text,
        execution.response.tokens,
        status=502,
        finish_reason='error',
        code=str(errors.ErrorCode.OUTCOME_UNKNOWN),
        detail='the process that ran the call was lost',
    )
