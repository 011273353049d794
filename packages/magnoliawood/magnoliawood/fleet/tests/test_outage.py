"""Removed entries are retained only after an outage for all hosts."""

import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory
from magnoliawood.fleet import outage as outages

SECOND = datetime.timedelta(seconds=1)
ENGINE = directory.Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
REMOVAL = directory.UpstreamChange('i-1', None)


@pytest.fixture
def clock():
    return clocks.ManualClock()


def _fail(clock, outage, seconds, do_peers_reach_store):
    for _ in range(seconds):
        outage.record_failure(do_peers_reach_store)
        clock.advance(SECOND)
    outage.record_response()


def test_store_rejecting_only_this_host_retains_no_removed_entry(clock):
    """The upstream terminated while the store rejected only this host."""
    outage = outages.StoreOutage(clock)
    _fail(clock, outage, 9, do_peers_reach_store=True)
    assert outage.retain_until is None


def test_removed_entry_is_retained_for_the_reregistration_period(clock):
    outage = outages.StoreOutage(clock)
    upstreams = directory.UpstreamDirectory(clock)
    upstreams.replace([ENGINE], 5, None)
    _fail(clock, outage, 4, do_peers_reach_store=False)
    upstreams.apply([REMOVAL], 6, outage.retain_until)
    assert upstreams.usable('llm')
    clock.advance(directory.REREGISTRATION_PERIOD * 1.01)
    assert not upstreams.usable('llm')


def test_upstream_that_registers_again_stays_usable(clock):
    outage = outages.StoreOutage(clock)
    upstreams = directory.UpstreamDirectory(clock)
    upstreams.replace([ENGINE], 5, None)
    _fail(clock, outage, 4, do_peers_reach_store=False)
    upstreams.replace([], 6, outage.retain_until)
    clock.advance(SECOND)
    upstreams.apply([directory.UpstreamChange('i-1', ENGINE)], 7, None)
    clock.advance(directory.REREGISTRATION_PERIOD * 2)
    assert upstreams.usable('llm')


def test_removal_after_the_reregistration_period_applies_at_once(clock):
    outage = outages.StoreOutage(clock)
    upstreams = directory.UpstreamDirectory(clock)
    upstreams.replace([ENGINE], 5, None)
    _fail(clock, outage, 4, do_peers_reach_store=False)
    clock.advance(directory.REREGISTRATION_PERIOD)
    upstreams.apply([REMOVAL], 6, outage.retain_until)
    assert not upstreams.usable('llm')


def test_peers_that_detect_an_outage_later_do_not_hide_it(clock):
    outage = outages.StoreOutage(clock)
    outage.record_failure(do_peers_reach_store=True)
    clock.advance(SECOND * 3)
    outage.record_failure(do_peers_reach_store=False)
    clock.advance(SECOND)
    # The store has recovered, and peers have detected it first.
    outage.record_failure(do_peers_reach_store=True)
    outage.record_response()
    assert outage.retain_until is not None


def test_expired_entry_is_not_reported_to_peers(clock):
    """A peer that has removed the upstream would otherwise add it again."""
    upstreams = directory.UpstreamDirectory(clock)
    upstreams.replace([ENGINE], 5, None)
    upstreams.apply([REMOVAL], 6, clock.monotonic() + SECOND)
    assert upstreams.usable('llm')
    assert upstreams.registered() == []
