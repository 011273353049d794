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


class UpstreamChoice:
    """Chooses an upstream and takes a permit if it has a rate limit.

    :param quarantine: requests that may run on some upstreams only
    :param permits: permits for requests to upstreams with a rate limit
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        selector: selection.Selector,
        quarantine: quarantines.Quarantine,
        permits: permit_clients.Permits,
        clock: clocks.Clock,
    ) -> None:
        self._cluster_view = cluster_view
        self._selector = selector
        self._quarantine = quarantine
        self._permits = permits
        self._clock = clock

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

    async def _choose(
        self, job: jobs.Job, candidates: list[directories.Upstream]
    ) -> directories.Upstream | None:
        """Return the best upstream that may get the request now, if any."""
        while True:
            permitted = [
                upstream
                for upstream in candidates
                if self._permits.known_wait(upstream, job.rank) is None
            ]
            prices = self._permits.prices(permitted)
            demand = job.expected_demand if prices else job.demand
            upstream = self._selector.choose(permitted, demand, prices)
            if upstream is None:
                return None
            if await self._permits.take(upstream, job.rank) is None:
                return upstream


def _shortest(
    waits: collections.abc.Iterable[datetime.timedelta | None],
) -> datetime.timedelta:
    """Return the shortest wait; ``None`` stands for no wait."""
    return min(wait or datetime.timedelta() for wait in waits)
