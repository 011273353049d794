"""Gateways that share rate limits, without sockets."""

import random

from magnoliawood.fleet import load as loads
from magnoliawood.fleet import rate_limits
from magnoliawood.limits import rate_limiter
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import permits as permit_clients
from magnoliawood_server.peer import connection as connections

# Share of the messages of a slow gateway that time out.
TIMEOUT_SHARE = 0.4


def result_of(coroutine):
    """Return the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stopped:
        return stopped.value
    raise AssertionError('the coroutine waits')


class Network:
    """Links between gateways, some of which may be cut.

    Messages to and from slow gateways time out now and then.
    """

    def __init__(self, source=None):
        self.gateways = {}
        self.cuts = set()
        self.slow = set()
        self.questions = 0
        self._random = source or random.Random(0)

    def cut(self, one, other):
        self.cuts |= {(one, other), (other, one)}

    def is_connected(self, one, other):
        if self.slow & {one, other} and self._random.random() < TIMEOUT_SHARE:
            return False
        return other in self.gateways and (one, other) not in self.cuts


class Gateway:
    """The part of a gateway that keeps to rate limits."""

    def __init__(self, network, address, clock):
        self.address = address
        self.limits = rate_limits.RateLimits(clock)
        self.known = set()
        self.unresponsive = set()
        self.registry = registries.Registry()
        self.load_tracker = loads.LoadTracker(clock)
        self._network = network
        self._clock = clock
        self.permits = permit_clients.Permits(
            self,
            self.limits,
            rate_limiter.RateLimiter(clock),
            self.load_tracker,
            self,
            clock,
            self.registry,
        )
        network.gateways[address] = self

    def responsive_peers(self):
        return sorted(self.known - self.unresponsive)

    def known_peers(self):
        return sorted(self.known)

    async def request(self, address, message, timeout):
        if not self._network.is_connected(self.address, address):
            raise connections.PeerLost(address)
        self._network.questions += 1
        return await self._network.gateways[address].permits.serve(message)

    def exchange_with(self, address):
        """Learn from a peer what upstreams have said to it."""
        if not self._network.is_connected(self.address, address):
            self.unresponsive.add(address)
            return
        self.known.add(address)
        self.unresponsive.discard(address)
        peer = self._network.gateways[address]
        self.limits.merge(peer.limits.reports(), self._clock.monotonic())
        self.load_tracker.record_from_peer(
            address, peer.load_tracker.local_requests()
        )

    def take(self, upstream, rank=0):
        """Return whether a request may be sent."""
        return result_of(self.permits.take(upstream, rank)) is None
