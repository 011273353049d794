import datetime

from magnoliawood.core import verdict as verdicts
from magnoliawood.ownership import takeover
from magnoliawood.ownership import witness as witnesses
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import records
from magnoliawood.programs import table as tables

PARENT = identity.ProgramKey('red-clay', 'pour')
CHILD = identity.ProgramKey('red-clay', 'pour:pump')
BOOKING = calls.ServiceRequest('pours', 'book', '{}', False)


def make_witness_record(program, sequence, attempt=1, outcome=None):
    opened = records.Opened(
        program,
        'booking',
        budgets.Budget(100, 10, 60.0),
        datetime.datetime(2026, 5, 1, tzinfo=datetime.UTC),
    )
    intended = records.Intended(
        identity.CallId(program, sequence),
        f'key-{sequence}',
        BOOKING,
        0,
        f'service-{attempt}',
        'run-1',
        attempt,
    )
    return witnesses.WitnessRecord(opened, intended, outcome)


def rebuild_table(*witness_records):
    table = tables.ProgramTable()
    for record in takeover.journal_records_from_witnesses(
        list(witness_records)
    ):
        table.apply(record)
    return table


def outcome(verdict, code=''):
    return calls.CallOutcome(verdict, 'booked', code=code)


def test_parents_come_before_children():
    ran = outcome(verdicts.Verdict.RAN)
    table = rebuild_table(
        make_witness_record(CHILD, 1, outcome=ran),
        make_witness_record(PARENT, 1, outcome=ran),
    )
    assert table.get(PARENT).ledger.calls_made == 2


def test_outcome_of_an_earlier_attempt_does_not_settle_a_later_one():
    failed = outcome(verdicts.Verdict.NOT_RUN, 'upstream_unavailable')
    table = rebuild_table(
        make_witness_record(PARENT, 1, attempt=2),
        make_witness_record(PARENT, 1, attempt=1, outcome=failed),
    )
    pending = table.get(PARENT).pending
    assert pending.attempt == 2


def test_unknown_outcome_of_a_booking_is_final():
    lost = outcome(verdicts.Verdict.MAY_HAVE_RUN, 'outcome_unknown')
    table = rebuild_table(make_witness_record(PARENT, 1, outcome=lost))
    assert table.get(PARENT).call(1).outcome == lost


def test_call_whose_attempt_did_not_run_stays_pending():
    failed = outcome(verdicts.Verdict.NOT_RUN, 'overloaded')
    table = rebuild_table(make_witness_record(PARENT, 1, outcome=failed))
    assert table.get(PARENT).pending is not None
