"""Removed entries are kept only after an outage for everyone."""

import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory
from magnoliawood.fleet import outage as outages

SECOND = datetime.timedelta(seconds=1)
ENGINE = directory.Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
GONE = directory.UpstreamChange('i-1', None)


@pytest.fixture
def clock():
    return clocks.ManualClock()


def _fail(clock, outage, seconds, do_peers_reach_store):
    for _ in range(seconds):
        outage.record_failure(do_peers_reach_store)
        clock.advance(SECOND)
    outage.record_response()


def test_host_that_alone_was_turned_away_keeps_nothing(clock):
    """The upstream left while only this host was turned away."""
    outage = outages.StoreOutage(clock)
    _fail(clock, outage, 9, do_peers_reach_store=True)
    assert outage.retain_until is None


def test_entries_are_kept_until_upstreams_are_back(clock):
    outage = outages.StoreOutage(clock)
    known = directory.UpstreamDirectory(clock)
    known.replace([ENGINE], 5, None)
    _fail(clock, outage, 4, do_peers_reach_store=False)
    known.apply([GONE], 6, outage.retain_until)
    assert known.usable('llm')
    clock.advance(directory.REREGISTRATION_PERIOD * 1.01)
    assert not known.usable('llm')


def test_upstream_that_registers_again_stays(clock):
    outage = outages.StoreOutage(clock)
    known = directory.UpstreamDirectory(clock)
    known.replace([ENGINE], 5, None)
    _fail(clock, outage, 4, do_peers_reach_store=False)
    known.replace([], 6, outage.retain_until)
    clock.advance(SECOND)
    known.apply([directory.UpstreamChange('i-1', ENGINE)], 7, None)
    clock.advance(directory.REREGISTRATION_PERIOD * 2)
    assert known.usable('llm')


def test_later_removal_counts_at_once(clock):
    outage = outages.StoreOutage(clock)
    known = directory.UpstreamDirectory(clock)
    known.replace([ENGINE], 5, None)
    _fail(clock, outage, 4, do_peers_reach_store=False)
    clock.advance(directory.REREGISTRATION_PERIOD)
    known.apply([GONE], 6, outage.retain_until)
    assert not known.usable('llm')


def test_peers_that_notice_later_do_not_hide_an_outage(clock):
    outage = outages.StoreOutage(clock)
    outage.record_failure(do_peers_reach_store=True)
    clock.advance(SECOND * 3)
    outage.record_failure(do_peers_reach_store=False)
    clock.advance(SECOND)
    # The store is back, and peers have noticed it first.
    outage.record_failure(do_peers_reach_store=True)
    outage.record_response()
    assert outage.retain_until is not None


def test_lapsed_entry_is_not_told_to_others(clock):
    """Another host, which knows that it is gone, would take it back."""
    known = directory.UpstreamDirectory(clock)
    known.replace([ENGINE], 5, None)
    known.apply([GONE], 6, clock.monotonic() + SECOND)
    assert known.usable('llm')
    assert known.registered() == []
