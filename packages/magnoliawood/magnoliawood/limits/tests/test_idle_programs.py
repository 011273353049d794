import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.limits import idle_programs
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import identity
from magnoliawood.programs import program as programs
from magnoliawood.programs import records

KEY = identity.ProgramKey('red-clay', 'pour-7')
LIMIT = datetime.timedelta(seconds=60)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def idle(clock):
    return idle_programs.IdlePrograms(clock, LIMIT)


@pytest.fixture
def program(clock):
    budget = budgets.Budget(100, 10, 3600)
    return programs.Program(records.Opened(KEY, 'chat', budget, clock.now()))


def test_active_program_keeps_its_cache_until_it_is_idle(idle, program, clock):
    assert idle.release_reason(KEY, program) == ''
    clock.advance(LIMIT)
    assert idle.release_reason(KEY, program) == ''
    clock.advance(datetime.timedelta(seconds=1))
    assert idle.release_reason(KEY, program) == 'idle'


def test_cache_is_released_after_the_time_budget(idle, program, clock):
    clock.advance(datetime.timedelta(seconds=3601))
    assert idle.release_reason(KEY, program) == 'time_over'


def test_caches_of_ended_and_unknown_programs_are_released(idle, program):
    program.apply(records.Ended(KEY, 'done'))
    assert idle.release_reason(KEY, program) == 'ended'
    assert idle.release_reason(KEY, None) == 'unknown'


def test_idle_time_of_a_discarded_program_restarts(idle, program, clock):
    idle.release_reason(KEY, program)
    idle.retain_only(set())
    clock.advance(LIMIT * 2)
    assert idle.release_reason(KEY, program) == ''
