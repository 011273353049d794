"""State of a program: dependent calls with one history and one budget."""

import dataclasses
import datetime
import itertools

from magnoliawood import charts
from magnoliawood.core import errors
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as call_models
from magnoliawood.programs import footprint
from magnoliawood.programs import identity
from magnoliawood.programs import message as messages
from magnoliawood.programs import records


class Program:
    """State of one program, changed only by applying records.

    Explanation
    ===========

    The owner validates a request, creates a record, applies it here and
    appends it to the journal. A takeover applies the same records in the
    same order and so arrives at the same state.

    :param opened: the record that opened the program
    :param parent: the parent program, whose budget limits this one too
    :param tally: sums up the memory of this program and others
    """

    def __init__(
        self,
        opened: records.Opened,
        parent: 'Program | None' = None,
        tally: footprint.Tally | None = None,
    ) -> None:
        self._tally = tally or footprint.Tally()
        self._held_bytes = 0
        self._opened = opened
        self._parent = parent
        self._ledger = budgets.BudgetLedger(
            opened.budget, parent.ledger if parent else None
        )
        self._chart = charts.load_chart('program')
        self._state = self._chart.initial
        self._end_reason = ''
        self._calls: list[call_models.Call] = []
        self._withdrawn: call_models.Call | None = None
        self._history: list[messages.Message | _ServiceReply] = []
        self._digest = ''
        self._is_damaged = False
        self._hold(footprint.PROGRAM_BYTES)

    @property
    def held_bytes(self) -> int:
        """Memory of the program with its calls and their texts."""
        return self._held_bytes

    def drop(self) -> None:
        """Take the memory of the program, which is forgotten, from the sum."""
        self._hold(-self._held_bytes)

    def _hold(self, size: int) -> None:
        self._held_bytes += size
        self._tally.add(size)

    @property
    def key(self) -> identity.ProgramKey:
        """Caller and name of the program."""
        return self._opened.program

    @property
    def work_class(self) -> str:
        """Name of the work class of the program."""
        return self._opened.work_class

    @property
    def opened(self) -> records.Opened:
        """The record that opened the program."""
        return self._opened

    @property
    def ledger(self) -> budgets.BudgetLedger:
        """Budget of the program and the amounts spent and reserved."""
        return self._ledger

    @property
    def is_ended(self) -> bool:
        """Whether the program has ended and accepts no more calls."""
        return self._state == 'ended'

    @property
    def end_reason(self) -> str:
        """Reason given when the program ended, empty while it is active."""
        return self._end_reason

    @property
    def history(self) -> list[messages.Message]:
        """Messages of all successful calls, in the order of the calls."""
        return [
            item.to_message() if isinstance(item, _ServiceReply) else item
            for item in self._history
        ]

    @property
    def digest(self) -> str:
        """Digest of the hash chain over the history."""
        return self._digest

    @property
    def is_damaged(self) -> bool:
        """Whether the history differs from the one that was recorded."""
        return self._is_damaged

    @property
    def calls(self) -> list[call_models.Call]:
        """All calls, ordered by sequence number."""
        return self._calls

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next new call, from 1."""
        return len(self._calls) + 1

    @property
    def next_attempt(self) -> int:
        """Number of the first attempt of the next new call.

        The attempt numbers of a withdrawn call are not reused. A sidecar
        would otherwise mistake a new attempt for an earlier one that it
        rejected or was instructed to reject.
        """
        return 1 if self._withdrawn is None else self._withdrawn.attempt + 1

    @property
    def pending(self) -> call_models.Call | None:
        """The last call if it has no outcome yet, otherwise None."""
        if self._calls and not self._calls[-1].is_done:
            return self._calls[-1]
        return None

    def call(self, sequence: int) -> call_models.Call:
        """Return the call with a sequence number.

        :raises MagnoliawoodError: with ``unknown_call``
        """
        if not 1 <= sequence <= len(self._calls):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UNKNOWN_CALL,
                f'program {self.key.name} has no call {sequence}',
            )
        return self._calls[sequence - 1]

    def check_time(self, now: datetime.datetime) -> None:
        """Reject a call after the wall time of the budget has expired.

        :raises MagnoliawoodError: with ``budget_exhausted``
        """
        limit = datetime.timedelta(seconds=self._opened.budget.seconds)
        if now - self._opened.opened_at > limit:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.BUDGET_EXHAUSTED,
                f'the time budget of {limit.total_seconds():g} s has expired',
            )
        if self._parent is not None:
            self._parent.check_time(now)

    def apply(self, record: records.Record) -> None:
        """Apply one journal record."""
        if isinstance(record, records.Intended):
            self._apply_intended(record)
        elif isinstance(record, records.Settled):
            self._apply_settled(record)
        elif isinstance(record, records.Withdrawn):
            self._apply_withdrawn(record)
        elif isinstance(record, records.Ended) and not self.is_ended:
            self._state = self._chart.next_state(self._state, 'end')
            self._end_reason = record.reason

    def snapshot(self) -> list[records.Record]:
        """Return records from which this state can be rebuilt."""
        return [
            self._opened,
            *itertools.chain.from_iterable(map(_call_records, self._calls)),
            *_withdrawn_records(self._withdrawn),
            *([records.Ended(self.key, self._end_reason)] * self.is_ended),
        ]

    def _apply_intended(self, record: records.Intended) -> None:
        sequence = record.call.sequence
        if sequence == self.next_sequence:
            if record.attempt < self.next_attempt:
                return
            self._add_call(record)
        if sequence > self.next_sequence:
            # Records of the calls in between are missing, so the state can no
            # longer be rebuilt correctly.
            self._is_damaged = True
            return
        call = self.call(sequence)
        if call.is_done or record.attempt <= call.attempt:
            return
        if not call.matches(record.key, record.request):
            call = self._replace_call(record)
        self._ledger.settle(call.reserved, record.wasted - call.wasted)
        self._ledger.reserve_again(record.reserved)
        call.update_reservation(record.reserved, record.wasted)
        if call.state == 'accepted':
            call.advance('record_intent')
        call.upstream = record.upstream
        call.upstream_incarnation = record.upstream_incarnation
        call.attempt = record.attempt

    def _add_call(self, record: records.Intended) -> None:
        call = call_models.Call(
            record.call, record.key, record.request, record.reserved
        )
        self._ledger.restore(record.reserved)
        self._calls.append(call)
        self._hold(footprint.of_request(record.request))
        if self._withdrawn is not None:
            self._hold(-footprint.of_request(self._withdrawn.request))
            self._withdrawn = None

    def _replace_call(self, record: records.Intended) -> call_models.Call:
        """Replace a call whose withdrawal was not stored by a new one."""
        replaced = self._calls.pop()
        self._hold(-footprint.of_request(replaced.request))
        self._ledger.withdraw(replaced.reserved)
        self._add_call(record)
        return self._calls[-1]

    def _apply_withdrawn(self, record: records.Withdrawn) -> None:
        pending = self.pending
        if pending is None or pending.id != record.call:
            return
        if record.attempt in (0, pending.attempt):
            self._withdrawn = self._calls.pop()
            self._ledger.withdraw(pending.reserved)

    def _apply_settled(self, record: records.Settled) -> None:
        if record.call.sequence >= self.next_sequence:
            return
        call = self.call(record.call.sequence)
        if call.is_done or record.attempt not in (0, call.attempt):
            return
        call.finish(record.outcome)
        self._hold(footprint.of_outcome(record.outcome))
        self._ledger.settle(call.reserved, record.outcome.tokens)
        self._extend_history(call, record.outcome)
        if record.digest and record.digest != self._digest:
            self._is_damaged = True

    def _extend_history(
        self, call: call_models.Call, outcome: call_models.CallOutcome
    ) -> None:
        if not outcome.is_success:
            return
        if isinstance(call.request, call_models.ServiceRequest):
            reply = _ServiceReply(call.request, outcome)
            self._history.append(reply)
            self._digest = reply.extend_digest(self._digest)
            return
        answer = messages.Message('assistant', outcome.content)
        added = [*call.request.messages, answer]
        self._history.extend(added)
        self._digest = messages.chain_digest(self._digest, added)


def _call_records(call: call_models.Call) -> list[records.Record]:
    intended = records.Intended(
        call.id,
        call.key,
        call.request,
        call.reserved,
        call.upstream,
        call.upstream_incarnation,
        call.attempt,
        call.wasted,
    )
    if call.outcome is None:
        return [intended]
    return [intended, records.Settled(call.id, call.outcome)]


def _withdrawn_records(
    call: call_models.Call | None,
) -> list[records.Record]:
    if call is None:
        return []
    return [*_call_records(call), records.Withdrawn(call.id, call.attempt)]


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceReply:
    """Message with the reply of a service, made only when it is read.

    Its text would be a second copy of the outcome's.
    """

    request: call_models.ServiceRequest
    outcome: call_models.CallOutcome

    @property
    def _title(self) -> str:
        return f'{self.request.service}/{self.request.operation}: '

    def to_message(self) -> messages.Message:
        return messages.Message('tool', f'{self._title}{self.outcome.content}')

    def extend_digest(self, previous: str) -> str:
        return messages.extend_digest(
            previous, 'tool', self._title, self.outcome.content
        )
