import datetime

import pytest

from magnoliawood.scheduling import cache_admission

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
LATER = NOW + datetime.timedelta(seconds=10)
CAPACITY = 6_000


def admits(
    resident, now=NOW, is_first=True, expected=1_000, capacity=CAPACITY
):
    demand = cache_admission.CacheDemand(is_first, 100, expected, LATER)
    policy = cache_admission.WaitForCacheSpace()
    return policy.admits(demand, resident, capacity, now)


@pytest.mark.parametrize(
    ('resident', 'expected'), [(5_500, True), (5_501, False)]
)
def test_new_program_starts_only_if_the_cache_has_space(resident, expected):
    assert admits(resident) is expected


def test_no_program_waits_after_hold_until():
    assert not admits(CAPACITY)
    assert admits(CAPACITY, now=LATER)


def test_programs_in_progress_never_wait():
    assert admits(CAPACITY * 2, is_first=False)


def test_programs_that_hardly_grow_never_wait():
    assert admits(CAPACITY * 2, expected=200)


def test_cache_of_unknown_size_delays_no_program():
    assert admits(CAPACITY, capacity=0)


def test_baseline_delays_no_program():
    demand = cache_admission.CacheDemand(True, 100, 1_000, LATER)
    policy = cache_admission.AlwaysAdmit()
    assert policy.admits(demand, CAPACITY, CAPACITY, NOW)
