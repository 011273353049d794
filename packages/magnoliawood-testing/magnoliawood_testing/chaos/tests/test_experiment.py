import pytest

from magnoliawood_testing.chaos import experiment as experiments
from magnoliawood_testing.chaos import schedule as schedules


@pytest.mark.parametrize('seed', [2, 6])
def test_guarantees_hold_under_random_faults(seed):
    report = experiments.Experiment(
        seed, fault_count=8, programs=4, calls=40
    ).run()
    assert report.problems == []


def test_schedule_has_simultaneous_faults_of_all_kinds():
    faults = schedules.make_schedule(3, 40)
    starts = [fault.start_seconds for fault in faults]
    assert len(set(starts)) < len(starts)
    assert {fault.kind for fault in faults} == set(schedules.FaultKind)
