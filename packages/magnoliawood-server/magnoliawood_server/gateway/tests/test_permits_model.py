"""Model of gateways that share rate limits while all kinds of things change.

Time is simulated; permits, limits and buckets are the real ones.
"""

import bisect
import dataclasses
import datetime
import heapq
import itertools
import random

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood_server.gateway import gossip as gossips
from magnoliawood_server.gateway.tests import permits_support

TRAFFIC_SECONDS = 40.0
CLEAN_UP_SECONDS = 2.0
RESPONSE_SECONDS = (0.01, 0.4)
# From this time after an upstream first named a limit, it holds.
GRACE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


@dataclasses.dataclass
class Upstream:
    """An upstream with the times at which its limit changed."""

    number: int
    started_at: datetime.datetime = START
    limits: list = dataclasses.field(default_factory=list)
    arrivals: list = dataclasses.field(default_factory=list)

    @property
    def limit(self):
        return self.limits[-1][1] if self.limits else None

    @property
    def entry(self):
        return directories.Upstream(
            f'i-{self.number}',
            'llm',
            f'10.0.0.{self.number}:80',
            'dc-1',
            8,
            started_at=self.started_at,
        )

    def allowed(self, start):
        """Return the requests allowed in a window; ``None`` if any number."""
        total = 0.0
        ends = [*(at for at, _ in self.limits[1:]), float('inf')]
        for (since, rate), end in zip(self.limits, ends, strict=True):
            overlap = min(end, start + WINDOW_SECONDS) - max(since, start)
            if overlap > 0 and rate is None:
                return None
            total += max(0.0, overlap) * (rate or 0.0)
        return 1.5 * total + 5

    def excesses(self):
        """Return by how much each window exceeds what is allowed."""
        first_named = next((at for at, rate in self.limits if rate), None)
        if first_named is None:
            return
        for start in self.arrivals:
            allowed = self.allowed(start)
            if start < first_named + GRACE_SECONDS or allowed is None:
                continue
            first = bisect.bisect_left(self.arrivals, start)
            end = bisect.bisect_left(self.arrivals, start + WINDOW_SECONDS)
            yield end - first - allowed


class World:
    """Gateways, upstreams and callers on a simulated clock."""

    def __init__(self, seed, gateways=5, upstreams=3, demand=120.0):
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.network = permits_support.Network(self.random)
        self.upstreams = [Upstream(number) for number in range(upstreams)]
        self.sent = []
        self._demand = demand
        self._events = []
        self._order = itertools.count()
        self._names = itertools.count()
        self.at(0.0, self._clean_up)
        for _ in range(gateways):
            self.add_gateway()

    @property
    def now(self):
        return self.clock.monotonic().total_seconds()

    def at(self, second, action, *arguments):
        event = (second, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds=TRAFFIC_SECONDS):
        second = 0.0
        while second < seconds:
            self.at(second, self._arrive)
            second += self.random.expovariate(self._demand)
        while self._events and self._events[0][0] < seconds:
            second, _, action, arguments = heapq.heappop(self._events)
            step = datetime.timedelta(seconds=second) - self.clock.monotonic()
            self.clock.advance(max(step, datetime.timedelta()))
            action(*arguments)

    def add_gateway(self):
        name = f'gateway-{next(self._names)}'
        self.start_gateway(name)
        phase = self.random.uniform(0, self._report_seconds())
        self.at(self.now + phase, self._gossip, name)
        return name

    def start_gateway(self, name):
        permits_support.Gateway(self.network, name, self.clock)

    def stop_gateway(self, name):
        del self.network.gateways[name]

    def name_limit(self, upstream, rate):
        upstream.limits.append((self.now, rate))

    def restart_upstream(self, number):
        """Start an upstream again under its id; what it named is gone."""
        old = self.upstreams[number]
        new = Upstream(
            old.number, old.started_at + datetime.timedelta(seconds=1)
        )
        self.upstreams[number] = new
        return new

    def cut_off(self, name):
        self.network.cuts |= {
            pair
            for other in list(self.network.gateways)
            for pair in ((name, other), (other, name))
        }

    def heal(self):
        self.network.cuts.clear()

    def _clean_up(self):
        known = [upstream.entry for upstream in self.upstreams]
        for gateway in self.network.gateways.values():
            gateway.permits.clean_up(known)
        self.at(self.now + CLEAN_UP_SECONDS, self._clean_up)

    def _gossip(self, name):
        gateway = self.network.gateways.get(name)
        if gateway is not None:
            for other in list(self.network.gateways):
                if other != name:
                    gateway.exchange_with(other)
        self.at(self.now + self._report_seconds(), self._gossip, name)

    def _report_seconds(self):
        """Return the time between two reports to the same peer."""
        peers = len(self.network.gateways) - 1
        return gossips.report_interval(peers).total_seconds()

    def _arrive(self):
        name = self.random.choice(list(self.network.gateways))
        gateway = self.network.gateways[name]
        rank = self.random.choice([0, 2, 4, 4])
        order = self.random.sample(self.upstreams, len(self.upstreams))
        for upstream in order:
            if gateway.take(upstream.entry, rank):
                self.sent.append((self.now, rank))
                self._send(gateway, upstream)
                return

    def _send(self, gateway, upstream):
        upstream.arrivals.append(self.now)
        gateway.load_tracker.begin(upstream.entry.id)
        delay = self.random.uniform(*RESPONSE_SECONDS)
        self.at(
            self.now + delay,
            self._respond,
            gateway,
            upstream,
            self.clock.monotonic(),
        )

    def _respond(self, gateway, upstream, sent_at):
        gateway.load_tracker.end(upstream.entry.id)
        if upstream not in self.upstreams:
            return
        if upstream.limit is None:
            gateway.limits.record_none(upstream.entry, sent_at)
        else:
            gateway.limits.record(upstream.entry, upstream.limit)

    def worst_excess(self):
        return max(
            itertools.chain.from_iterable(
                upstream.excesses() for upstream in self.upstreams
            ),
            default=float('-inf'),
        )


def _limit_all(world, rates=(1.5, 5.0, 8.0)):
    for upstream, rate in zip(world.upstreams, rates, strict=False):
        world.at(2.0, world.name_limit, upstream, rate)


# Guards against more requests than upstreams allow all gateways together, and
# against fewer than they would take.
@pytest.mark.parametrize('gateways', [1, 5, 20])
@pytest.mark.parametrize('seed', range(2))
def test_gateways_together_send_what_upstreams_allow(seed, gateways):
    world = World(seed, gateways)
    _limit_all(world)
    world.run()
    assert world.worst_excess() <= 0
    for upstream in world.upstreams:
        steady = sum(at > 10.0 for at in upstream.arrivals)
        assert steady >= 0.9 * upstream.limit * (TRAFFIC_SECONDS - 10.0)


# Guards against a hundred gateways that each take a small limit for their own
# until they hear of it.
@pytest.mark.parametrize('rate', [0.5, 2.0])
def test_hundred_gateways_share_a_small_limit(rate):
    world = World(1, gateways=100, upstreams=2, demand=200.0)
    _limit_all(world, (rate, rate))
    world.run(20.0)
    assert world.worst_excess() <= 0
    for upstream in world.upstreams:
        steady = sum(at > 10.0 for at in upstream.arrivals)
        assert steady >= 0.8 * rate * 10.0


# Guards against a limit that is exceeded while gateways start again, come and
# go.
@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_while_gateways_come_and_go(seed):
    world = World(seed)
    _limit_all(world)
    for number in range(5):
        second = 6.0 + 3 * number
        name = f'gateway-{number}'
        world.at(second, world.stop_gateway, name)
        world.at(
            second + world.random.uniform(1, 4), world.start_gateway, name
        )
        world.at(second + world.random.uniform(0, 3), world.add_gateway)
    world.run()
    assert world.worst_excess() <= 0


# Guards against a gateway that is cut off from its peers, or comes back with
# an old word, and sends as if it were alone.
@pytest.mark.parametrize('seed', range(4))
def test_limit_holds_while_gateways_are_cut_off(seed):
    world = World(seed)
    _limit_all(world)
    for second in (7.0, 17.0, 27.0):
        name = f'gateway-{world.random.randrange(5)}'
        world.at(second, world.cut_off, name)
        world.at(second + world.random.uniform(1, 8), world.heal)
    world.run()
    assert world.worst_excess() <= 0


# Guards against gateways that change the owner back and forth because one of
# them is so slow that messages to it time out.
@pytest.mark.parametrize('slow', [1, 2])
@pytest.mark.parametrize('seed', range(3))
def test_limit_holds_while_gateways_are_slow(seed, slow):
    world = World(seed)
    _limit_all(world)
    names = world.random.sample(list(world.network.gateways), slow)
    world.at(8.0, world.network.slow.update, names)
    world.run()
    assert world.worst_excess() <= 0


# Guards against keeping to a limit that has changed or ended.
@pytest.mark.parametrize('seed', range(4))
def test_limit_that_changes_or_ends_is_followed(seed):
    world = World(seed)
    _limit_all(world)
    changing, ending, _ = world.upstreams
    for second, rate in ((9.0, 12.0), (15.0, 0.5), (21.0, 6.0)):
        world.at(second, world.name_limit, changing, rate)
    for second, rate in ((12.0, None), (22.0, 3.0)):
        world.at(second, world.name_limit, ending, rate)
    world.run()
    assert world.worst_excess() <= 0
    freed = sum(14.0 < at < 20.0 for at in ending.arrivals)
    assert freed > 100


# Guards against a burst when an upstream names a limit again: it has done so
# before, so it need not wait until all gateways have heard.
@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('rate', [1.0, 3.0, 8.0])
@pytest.mark.parametrize('gateways', [5, 20])
def test_limit_that_comes_again_holds_at_once(seed, rate, gateways):
    world = World(seed, gateways, demand=60.0)
    for second, named in ((2.0, rate), (10.0, None), (20.0, rate)):
        for upstream in world.upstreams:
            world.at(second, world.name_limit, upstream, named)
    world.run(30.0)
    assert world.worst_excess() <= 0


# Guards against keeping to the limit of an upstream that has started again
# under its id, and against ignoring the limit that it names then.
@pytest.mark.parametrize('seed', range(4))
def test_upstream_that_started_again_is_not_limited_until_it_says_so(seed):
    world = World(seed)
    _limit_all(world)
    started = []
    world.at(12.0, lambda: started.append(world.restart_upstream(1)))
    world.at(20.0, lambda: world.name_limit(started[0], 4.0))
    world.run()
    assert world.worst_excess() <= 0
    assert sum(14.0 < at < 20.0 for at in started[0].arrivals) > 100


# Guards against serving what comes first rather than what is urgent where all
# upstreams are limited.
@pytest.mark.parametrize('seed', range(3))
def test_urgent_requests_are_served_first(seed):
    world = World(seed, demand=40.0)
    _limit_all(world)
    world.run()
    served = {
        rank: sum(at > 6.0 and rank == served for at, served in world.sent)
        for rank in (0, 2, 4)
    }
    arrived = 40.0 * (TRAFFIC_SECONDS - 6.0)
    assert served[0] >= 0.9 * arrived / 4
    assert served[4] <= 0.2 * arrived / 2
