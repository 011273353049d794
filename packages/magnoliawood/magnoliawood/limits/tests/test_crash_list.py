import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import crash_list
from magnoliawood.limits import crash_record

ONE = crash_record.Crash('engine-1', 'a')
TWO = crash_record.Crash('engine-2', 'b')


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def crashes(clock):
    return crash_list.CrashList(clock, limit=3)


def test_second_crash_quarantines_with_time_until_retry(crashes, clock):
    crashes.record_crashes('f', [ONE])
    crashes.check('f')
    crashes.record_crashes('f', [TWO])
    clock.advance(datetime.timedelta(minutes=1))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        crashes.check('f')
    assert caught.value.code == errors.ErrorCode.QUARANTINED
    left = crash_record.QUARANTINE_PERIOD - datetime.timedelta(minutes=1)
    assert caught.value.retry_after == left


def test_two_uncertain_crashes_do_not_quarantine(crashes):
    uncertain = [
        crash_record.Crash('engine-1', 'a', False),
        crash_record.Crash('engine-2', 'b', False),
    ]
    assert not crashes.record_crashes('f', uncertain).is_quarantined
    assert crashes.record_crashes('f', [ONE]).is_quarantined


def test_one_crash_reported_twice_counts_once(crashes):
    crashes.record_crashes('f', [ONE])
    assert not crashes.record_crashes('f', [ONE]).is_quarantined


def test_repeated_report_does_not_prolong_the_record(crashes, clock):
    first = crashes.record_crashes('f', [ONE])
    clock.advance(datetime.timedelta(minutes=1))
    assert crashes.record_crashes('f', [ONE]).expires_at == first.expires_at


# Guards against a crash that is not counted because many callers had the same
# request running in an earlier one.
def test_crash_under_many_callers_leaves_room_for_the_next(crashes, clock):
    for number in range(2 * crash_record.CRASH_LIMIT):
        crash = crash_record.Crash('engine-1', 'a', caller=(str(number),))
        crashes.record_crashes('f', [crash])
    assert not crashes.find('f').is_quarantined
    assert crashes.record_crashes('f', [TWO]).is_quarantined


def test_crash_that_does_not_fit_prolongs_the_record(crashes, clock):
    for number in range(crash_record.CRASH_LIMIT):
        crashes.record_crashes(
            'f', [crash_record.Crash('engine', f'{number:03}')]
        )
    clock.advance(datetime.timedelta(minutes=1))
    record = crashes.record_crashes(
        'f', [crash_record.Crash('engine', 'last')]
    )
    assert len(record.crashes) == crash_record.CRASH_LIMIT
    assert record.last_crash_at == clock.now()


def test_second_crash_of_one_upstream_counts(crashes):
    crashes.record_crashes('f', [ONE])
    again = crash_record.Crash('engine-1', 'restarted')
    assert crashes.record_crashes('f', [again]).is_quarantined


def test_records_expire(crashes, clock):
    crashes.record_crashes('f', [ONE, TWO])
    clock.advance(crash_record.QUARANTINE_PERIOD)
    crashes.check('f')
    assert not crashes.crashes('f')


def test_list_is_bounded_and_drops_the_oldest(crashes):
    for name in 'abcd':
        crashes.record_crashes(name, [ONE])
    assert len(crashes) == 3
    assert not crashes.crashes('a')


# Guards against forgetting a quarantined request because many others were
# running when upstreams crashed.
def test_suspected_requests_do_not_evict_quarantined_ones(crashes):
    crashes.record_crashes('f', [ONE, TWO])
    for name in 'abcd':
        crashes.record_crashes(name, [ONE])
    assert crashes.find('f').is_quarantined
    assert len(crashes) == 3


def test_merged_records_keep_all_crashes(crashes, clock):
    crashes.record_crashes('f', [ONE])
    other = crash_list.CrashList(clock).record_crashes('f', [TWO])
    stored = crash_record.CrashRecord.from_text(other.to_text())
    assert crashes.merge(stored).is_quarantined


def test_crashes_before_a_clear_do_not_count(crashes):
    crashes.record_crashes('f', [ONE])
    crashes.clear('f')
    assert not crashes.record_crashes('f', [TWO]).is_quarantined


def test_changed_records_are_returned_once_and_in_parts(crashes):
    for name in 'abc':
        crashes.record_crashes(name, [ONE])
    first = crashes.changed_after(0, limit=2)
    second = crashes.changed_after(first.version, limit=2)
    assert [record.fingerprint for record in first.records] == ['a', 'b']
    assert [record.fingerprint for record in second.records] == ['c']
    assert not crashes.changed_after(second.version).records
    crashes.record_crashes('a', [TWO])
    third = crashes.changed_after(second.version)
    assert [record.fingerprint for record in third.records] == ['a']


def test_quarantine_that_begins_with_a_merge_is_newly_quarantined(
    crashes, clock
):
    crashes.record_crashes('f', [ONE])
    other = crash_list.CrashList(clock)
    merged = crashes.merge(other.record_crashes('f', [TWO]))
    assert merged.expires_at == clock.now() + crash_record.QUARANTINE_PERIOD
    assert crashes.take_newly_quarantined() == [merged]
    assert not crashes.take_newly_quarantined()


# Guards against removing a request from the store that was quarantined again
# right after its release.
def test_request_quarantined_again_is_not_released(crashes):
    caller = ('caller',)
    for name in ('engine-1', 'engine-2'):
        crash = crash_record.Crash(name, 'a', caller=caller)
        crashes.record_crashes('f', [crash])
    crashes.record_completion('f', caller)
    again = crashes.record_crashes('f', [ONE, TWO])
    assert again.is_quarantined
    assert crashes.take_newly_quarantined() == [again]
    assert not crashes.take_released()


def test_quarantine_of_another_process_is_not_newly_quarantined(
    crashes, clock
):
    other = crash_list.CrashList(clock)
    crashes.merge(other.record_crashes('f', [ONE, TWO]))
    assert not crashes.take_newly_quarantined()
