import datetime
import itertools

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood_server.gateway.tests import permits_support

ENGINE = directories.Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
RATE = 4.0
NAMES = ('one', 'two', 'three')
SECOND = datetime.timedelta(seconds=1)


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def network(clock):
    network = permits_support.Network()
    for name in NAMES:
        permits_support.Gateway(network, name, clock)
    _exchange(network)
    return network


def _exchange(network):
    for one, other in itertools.permutations(NAMES, 2):
        if one in network.gateways:
            network.gateways[one].exchange_with(other)


def _taken(gateways, seconds, clock, rank=0):
    """Return how many requests get permits if all gateways press."""
    taken = 0
    for _ in range(int(seconds * 20)):
        clock.advance(SECOND / 20)
        taken += sum(gateway.take(ENGINE, rank) for gateway in gateways)
    return taken


def _name_limit(network, rate=RATE):
    for gateway in network.gateways.values():
        gateway.limits.record(ENGINE, rate)
    _exchange(network)


def test_upstreams_without_a_limit_need_no_permits(network, clock):
    assert _taken(network.gateways.values(), 1, clock) == 60
    assert network.questions == 0


# Guards against gateways that each send as much as an upstream allows all of
# them together.
def test_gateways_share_one_limit(network, clock):
    _name_limit(network)
    assert _taken(network.gateways.values(), 10, clock) <= RATE * 10 + 2
    assert _taken(network.gateways.values(), 10, clock) >= RATE * 9


# Guards against two owners of an upstream because one link is broken.
@pytest.mark.parametrize('pair', list(itertools.combinations(NAMES, 2)))
def test_gateways_with_a_broken_link_share_one_limit(network, clock, pair):
    network.cut(*pair)
    _name_limit(network)
    _exchange(network)
    assert _taken(network.gateways.values(), 10, clock) <= RATE * 10 + 2


# Guards against a gateway that is cut off from its peers and sends as much as
# all of them may.
@pytest.mark.parametrize('lost', NAMES)
def test_gateway_that_is_cut_off_sends_its_part(network, clock, lost):
    _name_limit(network)
    for name in NAMES:
        network.cut(lost, name)
    _exchange(network)
    assert _taken(network.gateways.values(), 10, clock) <= RATE * 10 + 2


# Guards against gateways that send nothing because the owner is gone.
@pytest.mark.parametrize('lost', NAMES)
def test_another_gateway_issues_the_permits_of_a_lost_one(
    network, clock, lost
):
    _name_limit(network)
    del network.gateways[lost]
    assert _taken(network.gateways.values(), 10, clock) <= RATE * 10 + 2
    _exchange(network)
    assert _taken(network.gateways.values(), 10, clock) >= RATE * 6


# Guards against a gateway that asks again and again for what it was denied.
def test_owner_is_not_asked_before_it_may_have_a_permit(network, clock):
    _name_limit(network)
    _taken(network.gateways.values(), 10, clock)
    network.questions = 0
    _taken(network.gateways.values(), 10, clock)
    assert network.questions <= 10 * RATE * len(NAMES) * 2


# Guards against less urgent requests that take what urgent ones need.
def test_urgent_requests_get_permits_before_others(network, clock):
    _name_limit(network)
    one, two, _ = network.gateways.values()
    _taken([one], 5, clock, rank=4)
    for _ in range(20):
        clock.advance(SECOND / 2)
        two.take(ENGINE, rank=4)
        assert one.take(ENGINE, rank=0)


# Guards against keeping to a limit that an upstream named before it started
# again with the same id.
def test_limit_ends_with_the_process_that_named_it(network, clock):
    start = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    first = directories.Upstream(
        'i-1', 'llm', '10.0.0.1:80', 'dc-1', 8, started_at=start
    )
    second = directories.Upstream(
        'i-1', 'llm', '10.0.0.1:80', 'dc-1', 8, started_at=start + SECOND
    )
    one = network.gateways['one']
    one.limits.record(first, RATE)
    assert not all(one.take(first) for _ in range(20))
    assert all(one.take(second) for _ in range(20))


# Guards against telling callers to come back long before there is a permit.
def test_expected_wait_is_the_time_until_there_is_a_permit(network, clock):
    _name_limit(network, 0.25)
    one = network.gateways['one']
    one.take(ENGINE, 4)
    wait = one.permits.expected_wait(ENGINE, 4)
    clock.advance(wait - SECOND / 10)
    assert not one.take(ENGINE, 4)
    clock.advance(SECOND / 5)
    assert one.take(ENGINE, 4)
