"""Chooses the upstream of each attempt, within the rate limits."""

import collections.abc
import datetime

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import selection
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.gateway import permits as permit_clients
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.gateway import room_queue as room_queues

# Time for which a request that waits for room keeps to the same upstreams.
CANDIDATES_MAX_AGE = datetime.timedelta(milliseconds=5)


class UpstreamChoice:
    """Chooses an upstream and takes a permit if it has a rate limit.

    :param quarantine: requests that may run on some upstreams only
    :param permits: permits for requests to upstreams with a rate limit
    :param room_queue: lets requests wait for room; ``None`` if they are sent
        at once, also to full upstreams
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        selector: selection.Selector,
        quarantine: quarantines.Quarantine,
        permits: permit_clients.Permits,
        clock: clocks.Clock,
        room_queue: room_queues.RoomQueue | None = None,
    ) -> None:
        self._cluster_view = cluster_view
        self._selector = selector
        self._quarantine = quarantine
        self._permits = permits
        self._clock = clock
        self._room_queue = room_queue

    async def take(self, job: jobs.Job) -> directories.Upstream | None:
        """Return the upstream of the next attempt, if there is one.

        A stream that has been started waits for a permit; other requests are
        to be rejected at once.
        """
        while True:
            candidates = self._candidates(job)
            upstream = await self._choose(job, candidates)
            if upstream is not None or not candidates:
                return upstream
            if job.room_wait is not None:
                return None
            job.permit_wait = _shortest(
                self._permits.expected_wait(upstream, job.rank)
                for upstream in candidates
            )
            time_left = job.deadline - self._clock.monotonic()
            if not job.responder.is_started or job.permit_wait > time_left:
                return None
            pause = _shortest(
                self._permits.known_wait(upstream, job.rank)
                for upstream in candidates
            )
            await curio.sleep(pause.total_seconds())

    def _candidates(self, job: jobs.Job) -> list[directories.Upstream]:
        usable = self._cluster_view.directory.usable(job.service)
        untried = [
            upstream
            for upstream in usable
            if upstream.id not in job.tried
            and (job.stream is None or job.stream.allows(upstream))
        ]
        return self._quarantine.isolate(job.fingerprints, untried)

    async def settle(self, service: str) -> None:
        """Let those run who wait for the place of a request that ended."""
        if self._room_queue is not None:
            await self._room_queue.grant(service)

    async def _choose(
        self, job: jobs.Job, candidates: list[directories.Upstream]
    ) -> directories.Upstream | None:
        """Return the best upstream that may get the request now, if any."""
        while True:
            permitted = self._permitted(job, candidates)
            upstream = await self._choose_permitted(job, permitted)
            if upstream is None:
                return None
            if await self._permits.take(upstream, job.rank) is None:
                return upstream
            if self._room_queue is not None:
                await self._room_queue.give_back(job)

    def _permitted(
        self, job: jobs.Job, candidates: list[directories.Upstream]
    ) -> list[directories.Upstream]:
        """Return the upstreams that may have a permit for the request."""
        return [
            upstream
            for upstream in candidates
            if self._permits.known_wait(upstream, job.rank) is None
        ]

    async def _choose_permitted(
        self, job: jobs.Job, permitted: list[directories.Upstream]
    ) -> directories.Upstream | None:
        if self._room_queue is None or not permitted:
            return self._best(job, permitted)

        asked_at = self._clock.monotonic()

        def choose(
            with_room: collections.abc.Container[str],
        ) -> directories.Upstream | None:
            usable = permitted
            if self._clock.monotonic() - asked_at > CANDIDATES_MAX_AGE:
                # Upstreams may have come or gone while the request waited.
                usable = self._permitted(job, self._candidates(job))
            return self._best(
                job, [each for each in usable if each.id in with_room]
            )

        return await self._room_queue.take(job, choose)

    def _best(
        self, job: jobs.Job, permitted: list[directories.Upstream]
    ) -> directories.Upstream | None:
        prices = self._permits.prices(permitted)
        demand = job.expected_demand if prices else job.demand
        return self._selector.choose(permitted, demand, prices)


def _shortest(
    waits: collections.abc.Iterable[datetime.timedelta | None],
) -> datetime.timedelta:
    """Return the shortest wait; ``None`` stands for no wait."""
    return min(wait or datetime.timedelta() for wait in waits)
