"""Permits for requests to upstreams that name a rate limit.

Each limit holds for all gateways together. One of them, the owner, issues the
permits of an upstream; the others ask it for each request.
"""

import collections.abc
import dataclasses
import datetime
import logging
import typing

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import rate_limits
from magnoliawood.fleet import upstream as upstreams
from magnoliawood.limits import affinity
from magnoliawood.limits import permit_prices
from magnoliawood.limits import rate_limiter
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import messages
from magnoliawood_server.gateway import quorum_calls

# Timeout of a question to the owner, and of one that another gateway relays.
OWNER_TIMEOUT = datetime.timedelta(milliseconds=250)
RELAY_TIMEOUT = datetime.timedelta(milliseconds=100)
# An owner that did not respond is not asked again for this long.
NO_RESPONSE_PAUSE = datetime.timedelta(milliseconds=100)
# The owner is asked again after this time, though there may be no permit yet,
# since the limit may have changed.
MAX_DENIAL = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Denial:
    """Denial of a permit; the times are monotonic.

    :param ask_again_at: time until which the owner is not asked again
    :param permit_at: time at which there may be a permit
    """

    ask_again_at: datetime.timedelta
    permit_at: datetime.timedelta


class Membership(typing.Protocol):
    """Gateways that share the limits."""

    @property
    def address(self) -> str:
        """Address of this gateway for peers."""
        ...

    def responsive_peers(self) -> list[str]:
        """Return the addresses of peers that respond."""
        ...

    def known_peers(self) -> list[str]:
        """Return the addresses of peers that respond or recently did."""
        ...


class Permits:
    """Takes permits for requests of this gateway, and issues them to peers.

    Explanation
    ===========

    All gateways that see the same peers agree on the owner of an upstream. A
    gateway that is asked although it sees another owner relays the question,
    and one that would own an upstream only because a peer is lost to it asks
    another peer first. So a broken link between two gateways does not give an
    upstream two owners.

    A gateway that has lost peers issues only its part of the limit, since the
    lost ones may be running and issue theirs.

    :param limits: limits that upstreams have named
    :param limiter: buckets of the upstreams that this gateway owns
    """

    def __init__(
        self,
        membership: Membership,
        limits: rate_limits.RateLimits,
        limiter: rate_limiter.RateLimiter,
        load_tracker: loads.LoadTracker,
        pool: quorum_calls.Requester,
        clock: clocks.Clock,
        registry: registries.Registry,
    ) -> None:
        self._membership = membership
        self._limits = limits
        self._limiter = limiter
        self._load_tracker = load_tracker
        self._pool = pool
        self._clock = clock
        self._registry = registry
        # By upstream and rank.
        self._denials: dict[str, dict[int, _Denial]] = {}
        self._prices = permit_prices.PermitPrices(clock)

    def known_wait(
        self, upstream: upstreams.Upstream, rank: int
    ) -> datetime.timedelta | None:
        """Return the time for which the owner is not asked again."""
        return self._time_until(
            denial.ask_again_at for denial in self._denials_of(upstream, rank)
        )

    def expected_wait(
        self, upstream: upstreams.Upstream, rank: int
    ) -> datetime.timedelta | None:
        """Return the time until there may be a permit, if it is known."""
        return self._time_until(
            denial.permit_at for denial in self._denials_of(upstream, rank)
        )

    def _denials_of(
        self, upstream: upstreams.Upstream, rank: int
    ) -> list[_Denial]:
        """Return the denials of requests that were not less urgent."""
        denials = self._denials.get(upstream.id)
        if not denials or self._limits.rate(upstream) is None:
            return []
        return [denial for denied, denial in denials.items() if denied <= rank]

    def _time_until(
        self, times: collections.abc.Iterable[datetime.timedelta]
    ) -> datetime.timedelta | None:
        now = self._clock.monotonic()
        latest = max(times, default=now)
        return latest - now if latest > now else None

    def prices(
        self, candidates: collections.abc.Iterable[upstreams.Upstream]
    ) -> dict[str, float]:
        """Return the price of a permit in ms for each that has a limit."""
        return {
            upstream.id: self._prices.price(upstream.id)
            for upstream in candidates
            if self._limits.rate(upstream) is not None
        }

    async def take(
        self, upstream: upstreams.Upstream, rank: int
    ) -> datetime.timedelta | None:
        """Take a permit; return the time until there may be one if not.

        :param rank: 0 for the most urgent requests
        """
        rate = self._limits.rate(upstream)
        if rate is None:
            return None
        wait = self.known_wait(upstream, rank)
        if wait is None:
            wait = await self._take(
                messages.TakePermit(
                    upstream.id, upstream.started_at, rate, rank
                )
            )
            self._record_decision(upstream, rank, wait)
        return wait

    async def serve(
        self, request: messages.TakePermit
    ) -> messages.PermitReply:
        """Serve the question of a peer."""
        wait = await self._take(request, is_from_peer=True)
        return messages.PermitReply(
            None if wait is None else wait.total_seconds()
        )

    def clean_up(
        self, known: collections.abc.Iterable[upstreams.Upstream]
    ) -> None:
        """Forget upstreams that have no limit or are not listed.

        If one names a limit again, that is a new one.
        """
        limited_ids = {
            upstream.id
            for upstream in known
            if self._limits.rate(upstream) is not None
        }
        self._limiter.retain_only(limited_ids)
        self._prices.retain_only(limited_ids)
        self._denials = {
            upstream_id: denials
            for upstream_id, denials in self._denials.items()
            if upstream_id in limited_ids
        }

    async def _take(
        self, request: messages.TakePermit, is_from_peer: bool = False
    ) -> datetime.timedelta | None:
        owner = self._owner(request.upstream_id, is_from_peer)
        if request.is_relayed or owner == self._membership.address:
            return self._issue(request)
        return await self._ask(owner, request, is_from_peer)

    def _owner(self, upstream_id: str, is_from_peer: bool) -> str:
        """Return the gateway that issues the permits, or knows who does."""
        own = self._membership.address
        peers = self._membership.responsive_peers()
        owner = _first(upstream_id, [own, *peers])
        if owner != own or is_from_peer or not peers:
            return owner
        everyone = [own, *self._membership.known_peers()]
        if _first(upstream_id, everyone) == own:
            return own
        return _first(upstream_id, peers)

    def _issue(
        self, request: messages.TakePermit
    ) -> datetime.timedelta | None:
        """Take a permit from the buckets of this gateway.

        The limit that the peer knows counts only where this gateway knows
        none, since the question may have been under way for long.
        """
        own_rate = self._limits.rate_of(
            request.upstream_id, request.started_at
        )
        rate = request.rate if own_rate is None else own_rate
        return self._limiter.take(
            request.upstream_id,
            rate * self._own_part(),
            request.rank,
            self._load_tracker.requests(request.upstream_id),
        )

    def _own_part(self) -> float:
        """Return the part of each limit that this gateway may issue."""
        responsive = 1 + len(self._membership.responsive_peers())
        return responsive / (1 + len(self._membership.known_peers()))

    async def _ask(
        self, owner: str, request: messages.TakePermit, is_relayed: bool
    ) -> datetime.timedelta | None:
        question = messages.TakePermit(
            request.upstream_id,
            request.started_at,
            request.rate,
            request.rank,
            is_relayed,
        )
        timeout = RELAY_TIMEOUT if is_relayed else OWNER_TIMEOUT
        try:
            reply = await self._pool.request(owner, question, timeout)
        except errors.MagnoliawoodError as error:
            self._registry.count('permit_owner_failures_total')
            _log.info(
                'no permit: the gateway that issues them did not respond',
                extra={
                    'upstream': request.upstream_id,
                    'owner': owner,
                    'error': str(error),
                },
            )
            return NO_RESPONSE_PAUSE
        if reply.wait_seconds is None:
            return None
        return datetime.timedelta(seconds=reply.wait_seconds)

    def _record_decision(
        self,
        upstream: upstreams.Upstream,
        rank: int,
        wait: datetime.timedelta | None,
    ) -> None:
        self._prices.record(upstream.id, is_issued=wait is None)
        decision = 'sent' if wait is None else 'denied'
        self._registry.count('rate_limited_requests_total', decision=decision)
        if wait is not None:
            now = self._clock.monotonic()
            self._denials.setdefault(upstream.id, {})[rank] = _Denial(
                now + min(wait, MAX_DENIAL), now + wait
            )


def _first(upstream_id: str, addresses: list[str]) -> str:
    """Return the gateway that comes first for an upstream."""
    return affinity.affinity_upstreams(upstream_id, addresses)[0]
