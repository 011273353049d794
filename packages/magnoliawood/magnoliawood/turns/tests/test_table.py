"""Expiry of records in the table of a replica."""

import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.turns import records
from magnoliawood.turns import table as tables


def _turn(name, previous, expires_at):
    return records.TurnRecord(name, previous, b'in', b'out', expires_at)


def test_turn_is_kept_as_long_as_one_that_follows_it():
    clock = clocks.ManualClock()
    now = clock.now().timestamp()
    table = tables.RecordTable(clock)
    # Two turns continue the first one; one of them expires later.
    for record in (
        _turn('t1', '', now + 1),
        _turn('t2', 't1', now + 1),
        _turn('t3', 't1', now + 9),
        _turn('t4', 't3', now + 9),
    ):
        table.apply(record)
    clock.advance(datetime.timedelta(seconds=5))
    assert table.expire() == 1
    assert [t.turn_id for t in table.chain('t4')] == ['t4', 't3', 't1']
    assert table.chain('t2') == []
    clock.advance(datetime.timedelta(seconds=5))
    assert table.expire() == 3


def test_turns_that_continue_each_other_are_no_whole_chain():
    """Guards against a chain without a start, which has no end to read.

    A caller that uses an id again may name it as its own previous turn.
    """
    table = tables.RecordTable(clocks.ManualClock())
    assert not table.has_chains_of([_turn('t1', 't1', 4e9)])
    assert not table.has_chains_of(
        [_turn('t1', 't2', 4e9), _turn('t2', 't1', 4e9)]
    )


def test_stored_turns_that_continue_each_other_are_read_once():
    """Guards against reading without an end what earlier releases stored."""
    table = tables.RecordTable(clocks.ManualClock())
    for record in (_turn('t1', 't2', 4e9), _turn('t2', 't1', 4e9)):
        table.apply(record)
    assert [turn.turn_id for turn in table.chain('t1')] == ['t1', 't2']
    assert not table.has_chains_of([_turn('t3', 't1', 4e9)])
