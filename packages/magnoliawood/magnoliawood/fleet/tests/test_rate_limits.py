import dataclasses
import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import rate_limits

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
SECOND = datetime.timedelta(seconds=1)
ENGINE = directories.Upstream(
    'i-1', 'llm', '10.0.0.1:80', 'dc-1', 8, started_at=START
)
RESTARTED = dataclasses.replace(ENGINE, started_at=START + SECOND)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def limits(clock):
    return rate_limits.RateLimits(clock)


def _merge(target, source, clock):
    target.merge(source.reports(), clock.monotonic())


def test_newest_limit_holds(limits, clock):
    limits.record(ENGINE, 5.0)
    clock.advance(SECOND)
    limits.record(ENGINE, 2.0)
    assert limits.rate(ENGINE) == 2.0


# Guards against ending a limit by a response to a request that was sent before
# the limit was named.
def test_response_to_an_earlier_request_does_not_end_a_limit(limits, clock):
    sent_at = clock.monotonic()
    clock.advance(SECOND)
    limits.record(ENGINE, 5.0)
    assert not limits.record_none(ENGINE, sent_at)
    assert limits.rate(ENGINE) == 5.0
    assert limits.record_none(ENGINE, clock.monotonic())
    assert limits.rate(ENGINE) is None


def test_limit_of_an_earlier_start_does_not_hold(limits):
    limits.record(ENGINE, 5.0)
    assert limits.rate(RESTARTED) is None
    assert limits.rate(ENGINE) == 5.0


def test_peers_learn_of_a_limit_and_of_its_end(limits, clock):
    peer = rate_limits.RateLimits(clock)
    limits.record(ENGINE, 5.0)
    _merge(peer, limits, clock)
    assert peer.rate(ENGINE) == 5.0
    clock.advance(SECOND)
    peer.record_none(ENGINE, clock.monotonic())
    _merge(limits, peer, clock)
    assert limits.rate(ENGINE) is None
    _merge(peer, limits, clock)
    assert peer.rate(ENGINE) is None


# Guards against a limit that has ended coming back with a gateway that was cut
# off and has an old word of it.
def test_outdated_word_of_a_peer_does_not_hold(limits, clock):
    cut_off = rate_limits.RateLimits(clock)
    cut_off.record(ENGINE, 5.0)
    clock.advance(SECOND)
    limits.record(ENGINE, 4.0)
    clock.advance(SECOND)
    limits.record_none(ENGINE, clock.monotonic())
    clock.advance(10 * SECOND)
    _merge(limits, cut_off, clock)
    assert limits.rate(ENGINE) is None
    _merge(cut_off, limits, clock)
    assert cut_off.rate(ENGINE) is None
    assert cut_off.reports() == []


# Guards against taking a reply that was long under way for a new word.
def test_reply_counts_from_the_time_of_the_question(limits, clock):
    peer = rate_limits.RateLimits(clock)
    peer.record(ENGINE, 5.0)
    asked_at = clock.monotonic()
    reports = peer.reports()
    clock.advance(SECOND)
    limits.record(ENGINE, 3.0)
    limits.record_none(ENGINE, clock.monotonic())
    clock.advance(SECOND)
    limits.merge(reports, asked_at)
    assert limits.rate(ENGINE) is None


def test_what_peers_reported_is_not_passed_on(limits, clock):
    second, third = (rate_limits.RateLimits(clock) for _ in range(2))
    limits.record(ENGINE, 5.0)
    _merge(second, limits, clock)
    _merge(third, second, clock)
    assert third.rate(ENGINE) is None


def test_upstreams_that_are_gone_are_forgotten(limits):
    limits.record(ENGINE, 5.0)
    limits.retain_only(set())
    assert limits.rate(ENGINE) is None
