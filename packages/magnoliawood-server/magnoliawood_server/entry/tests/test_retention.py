import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import identity
from magnoliawood.programs import records
from magnoliawood.programs import table as tables
from magnoliawood_server.entry import retention

ROOT = identity.ProgramKey('red-clay', 'pour')
CHILD = identity.ProgramKey('red-clay', 'pour:pump')
START = datetime.datetime(2026, 5, 1, tzinfo=datetime.UTC)


def test_family_is_dropped_together_after_its_last_program_ended():
    clock = clocks.ManualClock()
    table = tables.ProgramTable()
    for key in (ROOT, CHILD):
        budget = budgets.Budget(100, 10, 60.0)
        table.apply(records.Opened(key, 'booking', budget, START))
    program_retention = retention.EndedProgramRetention(
        table, clock, datetime.timedelta(seconds=60)
    )
    table.apply(records.Ended(ROOT, 'done'))
    program_retention.step()
    clock.advance(datetime.timedelta(seconds=90))
    program_retention.step()
    assert len(table) == 2
    table.apply(records.Ended(CHILD, 'done'))
    program_retention.step()
    clock.advance(datetime.timedelta(seconds=59))
    program_retention.step()
    assert len(table) == 2
    clock.advance(datetime.timedelta(seconds=1))
    program_retention.step()
    assert len(table) == 0
