"""Operations on the programs that this entry owns."""

import dataclasses
import datetime
import itertools
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import call as calls
from magnoliawood.programs import footprint
from magnoliawood.programs import identity
from magnoliawood.programs import program as programs
from magnoliawood.programs import records
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import cache_releaser
from magnoliawood_server.entry import call_executor
from magnoliawood_server.entry import call_recorder
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.entry import ownership_guard
from magnoliawood_server.entry import program_checks
from magnoliawood_server.entry import program_memory
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.entry import takeover_reader
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.runtime import response_buffer as response_buffers

DEFAULT_TARGET = datetime.timedelta(seconds=60)

_log = logging.getLogger(__name__)


class OwnerService:
    """Opens programs, runs their calls in order and ends them.

    :param memory: limits the memory of the programs
    """

    def __init__(
        self,
        programs_table: tables.ProgramTable,
        configuration: configuration_cache.ConfigurationCache,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        metrics: registries.Registry,
        memory: program_memory.ProgramMemory,
    ) -> None:
        self._programs = programs_table
        self._memory = memory
        self._configuration = configuration
        self._sidecars = sidecars
        self._releaser = cache_releaser.CacheReleaser(sidecars, pool, metrics)
        self._clock = clock
        self._metrics = metrics
        self._executions: dict[identity.CallId, call_executor.Execution] = {}
        self._shard_manager: shard_manager.ShardManager | None = None
        self._guard: ownership_guard.OwnershipGuard | None = None
        self._executor: call_executor.CallExecutor | None = None
        self._next_sequence_at_takeover: dict[identity.ProgramKey, int] = {}
        self._recorder: call_recorder.CallRecorder | None = None

    def connect(
        self,
        manager: shard_manager.ShardManager,
        executor: call_executor.CallExecutor,
        recorder: call_recorder.CallRecorder,
        guard: ownership_guard.OwnershipGuard,
    ) -> None:
        """Set the components that depend on this service themselves."""
        self._shard_manager = manager
        self._guard = guard
        self._executor = executor
        self._recorder = recorder

    @property
    def calls_under_way(self) -> int:
        """Number of calls of this entry that have no outcome yet."""
        return len(self._executions)

    async def open(
        self, message: messages.OpenProgram
    ) -> messages.ProgramStatus:
        """Open a program, or return the status of one that is open already.

        Opening is idempotent, so that callers can repeat the request.
        """
        self._check_owner(message.program)
        existing = self._programs.find(message.program)
        if existing is not None:
            program_checks.check_same_program(existing, message)
            await self._recorder.wait_all_durable_or_replicated()
            return program_checks.status_of(existing)
        self._recorder.check_backlog(footprint.PROGRAM_BYTES)
        self._memory.check_room(footprint.PROGRAM_BYTES)
        opened = self._make_opened(message)
        self._programs.apply(opened)
        self._metrics.count(
            'programs_opened_total', work_class=message.work_class
        )
        program = self._programs.get(message.program)
        await self._recorder.wait_durable_or_replicated(
            await self._recorder.append(opened)
        )
        return program_checks.status_of(program)

    async def run_call(
        self, message: messages.RunCall
    ) -> response_buffers.ResponseBuffer:
        """Start a call, or return the response of the call that it repeats.

        Waits first until the pending call of the program has its outcome.
        """
        while True:
            self._check_owner(message.call.program)
            program = self._programs.get(message.call.program)
            if message.call.sequence < program.next_sequence:
                return self._repeated_response(program, message)
            pending = program.pending
            if pending is None:
                return await self._start(program, message)
            self._check_sequence(program, message.call.sequence)
            await self._execution_of(pending).response.wait()

    def read_call(
        self, call: identity.CallId
    ) -> response_buffers.ResponseBuffer:
        """Return the response of a known call."""
        self._check_owner(call.program)
        known_call = self._programs.get(call.program).call(call.sequence)
        return self._response_of(known_call)

    async def cancel_call(self, call: identity.CallId) -> None:
        """Request that a call is stopped if it is in progress."""
        self._check_owner(call.program)
        execution = self._executions.get(call)
        if execution is not None:
            await self._executor.cancel(execution)

    def status(
        self, key: identity.ProgramKey, sequence: int = 0
    ) -> messages.ProgramStatus:
        """Return the status of a program that this entry owns.

        :param sequence: call whose response's memory is stated; 0 for that
            of all of the program
        """
        self._check_owner(key)
        return program_checks.status_of(self._programs.get(key), sequence)

    def history(self, key: identity.ProgramKey) -> messages.History:
        """Return the messages of a program and their digest."""
        self._check_owner(key)
        program = self._programs.get(key)
        return messages.History(key, program.history, program.digest)

    async def end(
        self, key: identity.ProgramKey, reason: str
    ) -> messages.ProgramStatus:
        """End a program and its sub-agents and release their cache."""
        self._check_owner(key)
        program = self._programs.get(key)
        for member in self._programs.family(key):
            if not member.is_ended:
                await self._end_program(member, reason)
        await self._wait_end_durable()
        return program_checks.status_of(program)

    async def adopt(
        self, shards: list[int], state: takeover_reader.TakeoverState
    ) -> None:
        """Resume the pending calls of shards that were just loaded.

        :param state: state collected from logs, entries and sidecars
        """
        await self._recorder.adopt(state.sidecars_by_call)
        members = itertools.chain.from_iterable(
            self._programs.in_shard(shard) for shard in shards
        )
        for program in members:
            if self._shard_manager.unreconciled_sidecars(program.key.shard):
                self._next_sequence_at_takeover[program.key] = (
                    program.next_sequence
                )
            pending = program.pending
            if pending is not None and not self._is_in_progress(pending):
                execution = self._add_execution(program, pending)
                await curio.spawn(
                    self._resume,
                    execution,
                    state.unresponsive_sidecars,
                    daemon=True,
                )

    def _is_in_progress(self, call: calls.Call) -> bool:
        """Whether this entry started the call after it acquired the shard."""
        execution = self._executions.get(call.id)
        return execution is not None and execution.call is call

    def _make_opened(self, message: messages.OpenProgram) -> records.Opened:
        work_class = self._configuration.current.work_class(message.work_class)
        program_checks.check_class_limits(work_class, message)
        parent = message.program.parent
        if parent is not None and self._programs.get(parent).is_ended:
            raise _program_ended_error(parent)
        return records.Opened(
            message.program,
            message.work_class,
            message.budget,
            self._clock.now(),
        )

    def _check_owner(self, key: identity.ProgramKey) -> None:
        is_owner = self._shard_manager.serves(key.shard)
        if not (is_owner and self._guard.is_confirmed):
            raise shard_manager.not_owner_error(key.shard)

    def _repeated_response(
        self, program: programs.Program, message: messages.RunCall
    ) -> response_buffers.ResponseBuffer:
        call = program.call(message.call.sequence)
        if not call.matches(message.key, message.request):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CALL_MISMATCH,
                f'call {call.id.sequence} was issued with another '
                'idempotency key or content',
            )
        self._metrics.count('repeats_total')
        return self._response_of(call)

    def _response_of(
        self, call: calls.Call
    ) -> response_buffers.ResponseBuffer:
        if call.id in self._executions or call.outcome is None:
            return self._execution_of(call).response
        return response_buffers.finished_response(call.outcome)

    def _execution_of(self, call: calls.Call) -> call_executor.Execution:
        execution = self._executions.get(call.id)
        if execution is None:
            # A sidecar rejected the call: another entry owns the shard.
            raise shard_manager.not_owner_error(call.id.program.shard)
        return execution

    def _check_sequence(
        self, program: programs.Program, sequence: int
    ) -> None:
        if sequence != program.next_sequence:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.SEQUENCE_GAP,
                f'the next call is {program.next_sequence}, not {sequence}',
            )

    async def _start(
        self, program: programs.Program, message: messages.RunCall
    ) -> response_buffers.ResponseBuffer:
        self._check_sequence(program, message.call.sequence)
        if program.is_ended:
            raise _program_ended_error(program.key)
        program.check_time(self._clock.now())
        size = footprint.of_request(message.request)
        self._recorder.check_backlog(size)
        self._memory.check_room(size)
        if self._may_be_unrecorded(program, message):
            return await self._reject_unrecorded(program, message)
        reserved = self._reservation(program, message.request)
        sidecar = self._executor.choose(program, message.request, set())
        program.apply(
            call_executor.make_intent(
                message.call,
                message.key,
                message.request,
                reserved,
                sidecar,
                program.next_attempt,
            )
        )
        execution = self._add_execution(program, program.pending)
        await curio.spawn(self._run, execution, sidecar, daemon=True)
        return execution.response

    def _may_be_unrecorded(
        self, program: programs.Program, message: messages.RunCall
    ) -> bool:
        """Whether an unresponsive sidecar may have run this call already."""
        request = message.request
        if request.is_idempotent:
            return False
        if (
            self._next_sequence_at_takeover.get(program.key)
            != message.call.sequence
        ):
            return False
        names = self._shard_manager.unreconciled_sidecars(program.key.shard)
        return any(self._may_serve(name, request.service) for name in names)

    def _may_serve(self, name: str, service: str) -> bool:
        sidecar = self._sidecars.find(name)
        if sidecar is None:
            return False
        return sidecar.reply is None or sidecar.serves('service', service)

    async def _reject_unrecorded(
        self, program: programs.Program, message: messages.RunCall
    ) -> response_buffers.ResponseBuffer:
        """Settle a call that may have run before the takeover.

        The call gets an unknown outcome and is not run.
        """
        program.apply(
            records.Intended(
                message.call,
                message.key,
                message.request,
                0,
                '',
                '',
                program.next_attempt,
            )
        )
        execution = self._add_execution(program, program.pending)
        self._metrics.count('calls_unrecorded_total')
        await self._settle(execution, call_executor.unknown_outcome(execution))
        return execution.response

    def _reservation(
        self, program: programs.Program, request: calls.Request
    ) -> int:
        requested = request.token_limit
        ledger = program.ledger
        if requested > 0:
            # A turn that requests more than what is left of the budget is
            # not rejected: its limit is lowered, and the engine then ends
            # it with the finish reason "length".
            requested = max(1, min(requested, ledger.tokens_left))
        ledger.check(requested)
        return requested

    def _add_execution(
        self, program: programs.Program, call: calls.Call
    ) -> call_executor.Execution:
        work_class = self._configuration.current.classes.get(
            program.work_class
        )
        target = (
            datetime.timedelta(seconds=work_class.target_seconds)
            if work_class
            else DEFAULT_TARGET
        )
        execution = call_executor.Execution(
            program, call, target, self._shard_manager.epoch(program.key.shard)
        )
        self._executions[call.id] = execution
        return execution

    async def _run(
        self,
        execution: call_executor.Execution,
        sidecar: sidecar_directory.Sidecar,
    ) -> None:
        started = self._clock.monotonic()
        try:
            # Nothing else may keep a response that is dropped here.
            outcome = self._memory.fit_outcome(
                await self._executor.run(execution, sidecar)
            )
        except errors.MagnoliawoodError as error:
            outcome = calls.CallOutcome.from_error(error)
        self._metrics.record(
            'call_seconds',
            self._clock.monotonic() - started,
            work_class=execution.program.work_class,
        )
        await self._settle(execution, outcome)

    async def _resume(
        self,
        execution: call_executor.Execution,
        unresponsive_sidecars: set[str],
    ) -> None:
        try:
            outcome = self._memory.fit_outcome(
                await self._executor.resume(execution, unresponsive_sidecars)
            )
        except errors.MagnoliawoodError as error:
            outcome = calls.CallOutcome.from_error(error)
        await self._settle(execution, outcome)

    async def _settle(
        self,
        execution: call_executor.Execution,
        outcome: calls.CallOutcome,
    ) -> None:
        program = execution.program
        call = execution.call
        if self._programs.find(program.key) is not program:
            outcome = _ownership_lost_outcome()
        elif outcome.verdict is verdicts.Verdict.NOT_RUN:
            record = records.Withdrawn(call.id, call.attempt)
            program.apply(record)
            outcome = await self._record_withdrawal(record, outcome)
        elif outcome.code != errors.ErrorCode.NOT_OWNER:
            outcome = await self._record_outcome(execution, outcome)
        if self._executions.get(call.id) is execution:
            del self._executions[call.id]
        self._metrics.count('outcomes_total', verdict=str(outcome.verdict))
        if outcome.code:
            self._metrics.count('refusals_total', reason=outcome.code)
        await execution.response.finish(outcome)

    async def _record_withdrawal(
        self, record: records.Withdrawn, outcome: calls.CallOutcome
    ) -> calls.CallOutcome:
        journal_position = await self._recorder.append(record)
        try:
            await self._recorder.wait_durable_or_replicated(journal_position)
        except call_recorder.OwnershipLost:
            return _ownership_lost_outcome()
        except errors.MagnoliawoodError:
            # A new owner requests the state of the call from the sidecar
            # and learns that it never ran.
            self._metrics.count('answers_uncovered_total')
        return outcome

    async def _record_outcome(
        self,
        execution: call_executor.Execution,
        outcome: calls.CallOutcome,
    ) -> calls.CallOutcome:
        """Record an outcome and return the outcome to send to the caller."""
        call = execution.call
        program = execution.program
        settled = records.Settled(call.id, outcome, call.attempt)
        program.apply(settled)
        try:
            await self._recorder.record_outcome(
                dataclasses.replace(settled, digest=program.digest)
            )
        except call_recorder.OwnershipLost:
            return _ownership_lost_outcome()
        return outcome

    async def _wait_end_durable(self) -> None:
        """Try to make the end of a program durable before the response.

        If neither the store nor a peer accepts the record, the response is
        sent all the same, and the case is counted.

        :raises OwnershipLost: if another entry has to end the program
        """
        try:
            await self._recorder.wait_all_durable_or_replicated()
        except call_recorder.OwnershipLost:
            raise
        except errors.MagnoliawoodError:
            self._metrics.count('ends_uncovered_total')

    async def _end_program(
        self, program: programs.Program, reason: str
    ) -> None:
        record = records.Ended(program.key, reason)
        program.apply(record)
        await self._recorder.append(record)
        self._metrics.count(
            'programs_ended_total', work_class=program.work_class
        )
        self._metrics.record(
            'program_seconds',
            self._clock.now() - program.opened.opened_at,
            work_class=program.work_class,
        )
        pending = program.pending
        if pending is not None:
            await self.cancel_call(pending.id)
        await curio.spawn(self._releaser.release, program, daemon=True)


def _ownership_lost_outcome() -> calls.CallOutcome:
    return calls.CallOutcome.from_error(call_recorder.OwnershipLost())


def _program_ended_error(key: identity.ProgramKey) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.PROGRAM_ENDED, f'program {key.name} has ended'
    )
