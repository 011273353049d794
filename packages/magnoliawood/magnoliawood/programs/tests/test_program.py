import dataclasses
import datetime

import hypothesis
from hypothesis import strategies
import pytest

from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood.programs import program as programs
from magnoliawood.programs import records

KEY = identity.ProgramKey('red-clay', 'pour-1')
OPENED_AT = datetime.datetime(2026, 5, 1, tzinfo=datetime.UTC)


def open_program(tokens=100, calls_limit=10, parent=None, key=KEY):
    budget = budgets.Budget(tokens, calls_limit, 60.0)
    opened = records.Opened(key, 'booking', budget, OPENED_AT)
    return programs.Program(opened, parent)


def intended(sequence, tokens=10, attempt=1, key=KEY):
    request = calls.ModelRequest(
        'model-a', [conversation.Message('user', f'ask {sequence}')], tokens
    )
    return records.Intended(
        identity.CallId(key, sequence),
        f'key-{sequence}',
        request,
        tokens,
        'engine-1',
        'run-1',
        attempt,
    )


def settled(sequence, tokens=5, verdict=verdicts.Verdict.RAN, code=''):
    outcome = calls.CallOutcome(
        verdict, f'answer {sequence}', tokens, code=code
    )
    return records.Settled(identity.CallId(KEY, sequence), outcome)


def test_history_is_extended_by_request_and_response():
    program = open_program()
    program.apply(intended(1))
    program.apply(settled(1))
    assert [m.content for m in program.history] == ['ask 1', 'answer 1']
    assert program.digest == conversation.chain_digest('', program.history)


def test_failed_call_leaves_history_unchanged_and_charges_its_tokens():
    program = open_program()
    program.apply(intended(1))
    program.apply(
        settled(1, 5, verdicts.Verdict.MAY_HAVE_RUN, 'upstream_failed')
    )
    assert program.history == []
    assert program.ledger.tokens_spent == 5
    assert program.next_sequence == 2


def test_withdrawn_call_releases_its_budget_and_sequence_number():
    program = open_program()
    program.apply(intended(1))
    program.apply(records.Withdrawn(identity.CallId(KEY, 1)))
    assert program.next_sequence == 1
    assert program.ledger.calls_made == 0
    assert program.ledger.tokens_left == 100


def test_records_applied_twice_change_nothing():
    program = open_program()
    for record in [intended(1), settled(1), intended(1), settled(1)]:
        program.apply(record)
    assert len(program.history) == 2
    assert program.ledger.tokens_spent == 5


def test_new_attempt_sets_the_new_upstream():
    program = open_program()
    program.apply(intended(1))
    again = records.Intended(
        identity.CallId(KEY, 1), 'key-1', intended(1).request, 10,
        'engine-2', 'run-9', 2,
    )  # fmt: skip
    program.apply(again)
    assert program.call(1).upstream == 'engine-2'
    assert program.ledger.calls_made == 1


def test_ended_program_keeps_its_first_end_reason():
    program = open_program()
    program.apply(records.Ended(KEY, 'done'))
    program.apply(records.Ended(KEY, 'again'))
    assert program.is_ended
    assert program.end_reason == 'done'


def test_time_budget_of_parent_applies_to_child():
    parent = open_program()
    child_key = identity.ProgramKey('red-clay', 'pour-1:pump')
    late = OPENED_AT + datetime.timedelta(seconds=61)
    child = programs.Program(
        records.Opened(
            child_key, 'booking', budgets.Budget(10, 10, 600.0), late
        ),
        parent,
    )
    with pytest.raises(errors.MagnoliawoodError) as caught:
        child.check_time(late)
    assert caught.value.code == errors.ErrorCode.BUDGET_EXHAUSTED


@hypothesis.given(
    strategies.lists(
        strategies.sampled_from(['finish', 'fail', 'withdraw', 'pending']),
        max_size=12,
    )
)
def test_snapshot_rebuilds_the_same_program(steps):
    program = open_program(tokens=1000, calls_limit=100)
    for step in steps:
        if program.pending is not None:
            break
        sequence = program.next_sequence
        program.apply(intended(sequence))
        if step == 'finish':
            program.apply(settled(sequence))
        elif step == 'fail':
            program.apply(
                settled(sequence, 3, verdicts.Verdict.MAY_HAVE_RUN, 'x')
            )
        elif step == 'withdraw':
            program.apply(records.Withdrawn(identity.CallId(KEY, sequence)))
    copy = programs.Program(program.opened)
    for record in program.snapshot()[1:]:
        copy.apply(record)
    assert copy.snapshot() == program.snapshot()
    assert copy.history == program.history
    assert copy.ledger.tokens_left == program.ledger.tokens_left
    assert copy.ledger.calls_left == program.ledger.calls_left


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.integers(0, 40),
            strategies.integers(0, 40),
        ),
        max_size=30,
    )
)
def test_family_never_exceeds_the_budget_of_its_root(steps):
    root = budgets.BudgetLedger(budgets.Budget(100, 20, 60.0))
    children = [
        budgets.BudgetLedger(budgets.Budget(100, 20, 60.0), root)
        for _ in range(3)
    ]
    for index, reserved, spent in steps:
        try:
            children[index].reserve(reserved)
        except errors.MagnoliawoodError:
            continue
        children[index].settle(reserved, min(spent, reserved))
    assert root.tokens_spent <= 100
    assert root.calls_made <= 20
    assert root.tokens_spent == sum(c.tokens_spent for c in children)


def withdrawn(sequence):
    return records.Withdrawn(identity.CallId(KEY, sequence))


def rebuilt(program):
    copy = programs.Program(program.opened)
    for record in program.snapshot():
        copy.apply(record)
    return copy


def test_attempt_numbers_continue_after_a_withdrawal():
    program = open_program()
    program.apply(intended(1, attempt=2))
    program.apply(withdrawn(1))
    assert program.next_attempt == rebuilt(program).next_attempt == 3
    program.apply(intended(1, attempt=2))
    assert program.pending is None
    program.apply(intended(1, attempt=3))
    assert program.pending.attempt == 3
    assert program.ledger.calls_made == 1


def test_new_intent_after_a_lost_withdrawal_replaces_the_call():
    program = open_program()
    program.apply(intended(1, tokens=10))
    changed = dataclasses.replace(
        intended(1, tokens=7, attempt=2), key='other'
    )
    program.apply(changed)
    assert program.pending.key == 'other'
    assert program.ledger.tokens_left == 93
    assert program.ledger.calls_made == 1


def test_tokens_of_lost_attempts_stay_charged():
    program = open_program(tokens=60)
    program.apply(intended(1, tokens=40))
    again = dataclasses.replace(
        intended(1, tokens=40, attempt=2), reserved=20, wasted=40
    )
    program.apply(again)
    assert program.ledger.tokens_spent == 40
    assert program.ledger.tokens_left == 0
    program.apply(settled(1, tokens=15))
    for state in (program, rebuilt(program)):
        assert state.ledger.tokens_spent == 55
        assert state.ledger.tokens_left == 5


def test_withdrawal_of_an_earlier_attempt_is_ignored():
    program = open_program()
    program.apply(intended(1, attempt=2))
    program.apply(dataclasses.replace(withdrawn(1), attempt=1))
    assert program.pending is not None


def test_outcome_of_another_attempt_is_ignored():
    program = open_program()
    program.apply(intended(1, attempt=2))
    program.apply(dataclasses.replace(settled(1), attempt=1))
    assert program.pending is not None
    program.apply(dataclasses.replace(settled(1), attempt=2))
    assert program.pending is None


def test_history_of_another_program_is_detected_by_its_digest():
    program = open_program()
    program.apply(intended(1))
    digest = conversation.chain_digest(
        '', [conversation.Message('user', 'of another program')]
    )
    program.apply(dataclasses.replace(settled(1), digest=digest))
    assert program.is_damaged
