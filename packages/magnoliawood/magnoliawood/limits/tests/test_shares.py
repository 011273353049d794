import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.limits import shares


def test_caller_alone_has_everything():
    found = shares.EqualShares(clocks.ManualClock())
    found.adjust_running('busy', 7)
    assert not found.is_at_running_share('busy', 8)
    found.adjust_running('busy', 1)
    assert found.is_at_running_share('busy', 8)


def test_arriving_caller_counts_at_once():
    found = shares.EqualShares(clocks.ManualClock())
    found.adjust_waiting('busy', 4)
    assert not found.is_at_waiting_share('calm', 8)
    found.adjust_waiting('calm', 1)
    assert found.is_at_waiting_share('busy', 8)


def test_share_is_never_less_than_one_call():
    found = shares.EqualShares(clocks.ManualClock())
    for number in range(20):
        found.adjust_waiting(f'caller-{number}', 1)
    assert not found.is_at_running_share('caller-0', 8)


def test_shares_grow_again_once_others_left():
    found = shares.EqualShares(clocks.ManualClock())
    found.adjust_running('busy', 4)
    found.adjust_waiting('calm', 1)
    assert found.is_at_running_share('busy', 8)
    found.adjust_waiting('calm', -1)
    assert not found.is_at_running_share('busy', 8)


def test_one_call_is_kept_free_while_several_callers_come():
    clock = clocks.ManualClock()
    found = shares.EqualShares(clock)
    found.adjust_waiting('busy', 1)
    assert found.reserved_slots(8) == 0
    found.adjust_waiting('calm', 1)
    assert (found.reserved_slots(8), found.reserved_slots(2)) == (1, 0)
    clock.advance(shares.RECENT_CALLER_PERIOD + datetime.timedelta(seconds=1))
    found.adjust_waiting('busy', 1)
    assert found.reserved_slots(8) == 0
