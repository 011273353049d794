import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.limits import shares


def test_single_caller_may_use_all_slots():
    equal_shares = shares.EqualShares(clocks.ManualClock())
    equal_shares.adjust_running('busy', 7)
    assert not equal_shares.is_at_running_share('busy', 8)
    equal_shares.adjust_running('busy', 1)
    assert equal_shares.is_at_running_share('busy', 8)


def test_arriving_caller_reduces_shares_immediately():
    equal_shares = shares.EqualShares(clocks.ManualClock())
    equal_shares.adjust_waiting('busy', 4)
    assert not equal_shares.is_at_waiting_share('calm', 8)
    equal_shares.adjust_waiting('calm', 1)
    assert equal_shares.is_at_waiting_share('busy', 8)


def test_share_is_never_less_than_one_call():
    equal_shares = shares.EqualShares(clocks.ManualClock())
    for number in range(20):
        equal_shares.adjust_waiting(f'caller-{number}', 1)
    assert not equal_shares.is_at_running_share('caller-0', 8)


def test_shares_grow_when_other_callers_leave():
    equal_shares = shares.EqualShares(clocks.ManualClock())
    equal_shares.adjust_running('busy', 4)
    equal_shares.adjust_waiting('calm', 1)
    assert equal_shares.is_at_running_share('busy', 8)
    equal_shares.adjust_waiting('calm', -1)
    assert not equal_shares.is_at_running_share('busy', 8)


def test_one_slot_is_reserved_while_several_callers_are_recent():
    clock = clocks.ManualClock()
    equal_shares = shares.EqualShares(clock)
    equal_shares.adjust_waiting('busy', 1)
    assert equal_shares.reserved_slots(8) == 0
    equal_shares.adjust_waiting('calm', 1)
    assert (
        equal_shares.reserved_slots(8),
        equal_shares.reserved_slots(2),
    ) == (1, 0)
    clock.advance(shares.RECENT_CALLER_PERIOD + datetime.timedelta(seconds=1))
    equal_shares.adjust_waiting('busy', 1)
    assert equal_shares.reserved_slots(8) == 0
