"""Tests of the limit on the memory of programs."""

import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import footprint
from magnoliawood.programs import identity
from magnoliawood.programs import message as messages
from magnoliawood.programs import records
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import program_memory
from magnoliawood_server.entry import retention

TEXT = 'x' * 100_000
LIMIT = 1_000_000
LARGE = 200_000


class Entry:
    """Programs of an entry and what limits their memory."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.programs = tables.ProgramTable()
        self.memory = program_memory.ProgramMemory(
            self.programs,
            retention.EndedProgramRetention(self.programs, self.clock),
            LIMIT,
            self.clock,
            registries.Registry(),
        )

    def run(self, name, end_reason=''):
        """Run a program with one long call; a reason ends it."""
        key = identity.ProgramKey('caller', name)
        call = identity.CallId(key, 1)
        request = calls.ModelRequest(
            'model-a', [messages.Message('user', TEXT)], 8
        )
        budget = budgets.Budget(1000, 10, 600)
        outcome = calls.CallOutcome(verdicts.Verdict.RAN, 'answer', 1)
        applied = [
            records.Opened(key, 'chat', budget, self.clock.now()),
            records.Intended(call, 'key', request, 8, 'side', 'one', 1),
            records.Settled(call, outcome),
        ]
        if end_reason:
            applied.append(records.Ended(key, end_reason))
        for record in applied:
            self.programs.apply(record)
        return key

    def is_refused(self, size):
        """Whether a call of some size is refused."""
        self.clock.advance(datetime.timedelta(seconds=1))
        try:
            self.memory.check_room(size)
        except errors.MagnoliawoodError as error:
            assert error.code is errors.ErrorCode.HOST_OVERLOADED
            assert error.verdict is verdicts.Verdict.NOT_RUN
            assert error.retry_after is not None
            return True
        return False


def test_programs_that_are_open_are_kept_and_others_refused():
    entry = Entry()
    keys = [entry.run(f'p-{number}') for number in range(7)]
    assert entry.is_refused(LARGE)
    assert not entry.is_refused(1000)
    assert all(map(entry.programs.find, keys))


def test_ended_programs_that_no_client_can_name_give_way_at_once():
    entry = Entry()
    for number in range(9):
        entry.run(f'p-{number}', retention.SINGLE_REQUEST)
    assert not entry.is_refused(LARGE)
    assert 0 < len(entry.programs) < 9


def test_other_ended_programs_stay_readable_for_a_while():
    entry = Entry()
    for number in range(9):
        entry.run(f'p-{number}', 'ended by the caller')
    assert entry.is_refused(LARGE)
    assert len(entry.programs) == 9
    entry.clock.advance(retention.MIN_RETENTION)
    assert not entry.is_refused(LARGE)


def test_memory_of_dropped_programs_is_given_back():
    entry = Entry()
    key = entry.run('p-1', 'ended by the caller')
    assert entry.programs.held_bytes > len(TEXT)
    entry.programs.drop(key)
    assert entry.programs.held_bytes == 0
    entry.run('p-2')
    entry.programs.drop_shard(identity.ProgramKey('caller', 'p-2').shard)
    assert entry.programs.held_bytes == 0


@pytest.mark.parametrize('times', [1, 2])
def test_call_that_is_withdrawn_and_repeated_counts_once(times):
    entry = Entry()
    key = identity.ProgramKey('caller', 'p')
    call = identity.CallId(key, 1)
    request = calls.ServiceRequest('pours', 'list', TEXT, True)
    budget = budgets.Budget(1000, 10, 600)
    entry.programs.apply(
        records.Opened(key, 'chat', budget, entry.clock.now())
    )
    for attempt in range(1, times + 1):
        entry.programs.apply(
            records.Intended(call, 'key', request, 0, 'side', 'one', attempt)
        )
        entry.programs.apply(records.Withdrawn(call, attempt))
    expected = footprint.PROGRAM_BYTES + footprint.of_request(request)
    assert entry.programs.held_bytes == expected


def test_response_without_room_is_dropped_but_not_that_it_ran():
    entry = Entry()
    for number in range(7):
        entry.run(f'p-{number}')
    ran = calls.CallOutcome(verdicts.Verdict.RAN, 'x' * LARGE, 5)
    dropped = entry.memory.fit_outcome(ran)
    assert dropped.verdict is verdicts.Verdict.RAN
    assert (dropped.content, dropped.tokens) == ('', 5)
    assert dropped.code == errors.ErrorCode.HOST_OVERLOADED
    assert dropped.to_error().verdict is verdicts.Verdict.RAN


def test_response_that_fits_and_a_short_one_are_kept():
    entry = Entry()
    long = calls.CallOutcome(verdicts.Verdict.RAN, 'x' * LARGE)
    assert entry.memory.fit_outcome(long) is long
    for number in range(9):
        entry.run(f'p-{number}')
    short = calls.CallOutcome(verdicts.Verdict.RAN, 'x' * 1000)
    assert entry.memory.fit_outcome(short) is short
