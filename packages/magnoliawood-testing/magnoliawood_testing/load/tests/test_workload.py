"""Tests of the seeded workloads."""

import collections

import pytest

from magnoliawood_testing.load import capacity
from magnoliawood_testing.load import workload as workloads

SECONDS = 600.0
RATE = 5.0


@pytest.fixture(params=sorted(workloads.WORKLOADS))
def workload(request):
    return workloads.WORKLOADS[request.param]


def test_same_seed_gives_same_programs(workload):
    assert workload.plans(7, RATE, SECONDS) == workload.plans(7, RATE, SECONDS)
    assert workload.plans(7, RATE, SECONDS) != workload.plans(8, RATE, SECONDS)


def test_arrivals_match_class_shares_and_rate(workload):
    plans = workload.plans(1, RATE, SECONDS)
    counts = collections.Counter(plan.work_class for plan in plans)
    for item in workload.classes:
        expected = RATE * SECONDS * item.share
        assert counts[item.name] == pytest.approx(expected, rel=0.25)
    assert sum(item.share for item in workload.classes) == pytest.approx(1.0)


def test_reschedule_arrivals_burst_in_middle_third():
    plans = workloads.RED_CLAY.plans(1, RATE, SECONDS)
    starts = [p.starts_at for p in plans if p.work_class == 'reschedule']
    middle = sum(SECONDS / 3 <= at < SECONDS * 2 / 3 for at in starts)
    assert middle > len(starts) / 2


def test_capacity_is_proportional_to_engine_count(workload):
    one = capacity.programs_per_second(workload, capacity.EngineModel(1))
    six = capacity.programs_per_second(workload, capacity.EngineModel(6))
    assert six == pytest.approx(6 * one)
