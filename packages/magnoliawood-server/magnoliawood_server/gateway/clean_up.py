"""Periodic work of a gateway: forgets what is gone and updates gauges."""

import collections.abc
import datetime

import curio

from magnoliawood.fleet import prompt_cache
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import permits as permit_clients
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.gateway import quota_gate
from magnoliawood_server.gateway import room_queue as room_queues
from magnoliawood_server.gateway import store_watch
from magnoliawood_server.gateway import upstream_learning
from magnoliawood_server.gateway import upstream_pool

CLEANUP_INTERVAL = datetime.timedelta(seconds=2)


class CleanUp:
    """Makes the parts of a gateway forget upstreams that are gone.

    :param watches: watches on the store, whose gauges are updated
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        upstreams: upstream_pool.UpstreamPool,
        prompts: prompt_cache.PromptCaches,
        permits: permit_clients.Permits,
        quarantine: quarantines.Quarantine,
        quotas: quota_gate.QuotaGate,
        learning: upstream_learning.UpstreamLearning,
        room_queue: room_queues.RoomQueue | None,
        watches: collections.abc.Sequence[store_watch.Watch],
        registry: registries.Registry,
    ) -> None:
        self._cluster_view = cluster_view
        self._upstreams = upstreams
        self._prompts = prompts
        self._permits = permits
        self._quarantine = quarantine
        self._quotas = quotas
        self._learning = learning
        self._room_queue = room_queue
        self._watches = watches
        self._registry = registry

    async def run(self) -> None:
        """Clean up at intervals until cancelled."""
        while True:
            await curio.sleep(CLEANUP_INTERVAL.total_seconds())
            await self._forget_what_is_gone()
            self._update_gauges()

    async def _forget_what_is_gone(self) -> None:
        directory = self._cluster_view.directory
        known = directory.all()
        upstream_ids = {upstream.id for upstream in known}
        await self._upstreams.close_except(upstream_ids)
        await self._upstreams.close_unusable()
        self._prompts.retain_only(upstream_ids)
        directory.rate_limits.retain_only(upstream_ids)
        self._permits.clean_up(directory.all())
        self._quarantine.retain_only(upstream_ids)
        self._quotas.clean_up()
        self._learning.clean_up(directory.all())
        if self._room_queue is not None:
            self._room_queue.clean_up()

    def _update_gauges(self) -> None:
        self._cluster_view.update_gauges(self._registry)
        for watch in self._watches:
            watch.update_gauges()
