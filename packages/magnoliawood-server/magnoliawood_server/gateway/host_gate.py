"""Refuses new programs at a host that is full."""

import collections.abc
import datetime
import logging
import time

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import host_load
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import job as jobs

# Latency target while the configuration is not known.
_DEFAULT_TARGET = datetime.timedelta(seconds=1)
_MILLISECOND = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class HostGate:
    """Gate that programs in progress always pass.

    :param processor_time: returns the processor time of the process, in
        seconds
    """

    def __init__(
        self,
        load: host_load.HostLoad,
        cluster_view: cluster_views.ClusterView,
        clock: clocks.Clock,
        registry: registries.Registry,
        processor_time: collections.abc.Callable[[], float],
    ) -> None:
        self._load = load
        self._cluster_view = cluster_view
        self._clock = clock
        self._registry = registry
        self._processor_time = processor_time

    def admit(self, job: jobs.Job) -> None:
        """Admit a request.

        :raises MagnoliawoodError: with ``host_overloaded`` if it begins a
            program and the host is full
        """
        if job.is_new_program and self._load.refuses_new_program():
            raise errors.MagnoliawoodError(
                errors.ErrorCode.HOST_OVERLOADED,
                'this host is full; the program was not begun',
                retry_after=self._load.retry_after(),
            )
        self._load.begin()

    def end(self, job: jobs.Job) -> None:
        """Record the end of a request that was admitted."""
        self._load.end()

    async def run(self) -> None:
        """Measure the load at each tick until cancelled."""
        while True:
            due = self._clock.monotonic() + host_load.TICK
            await curio.sleep(host_load.TICK.total_seconds())
            self.tick(max(datetime.timedelta(), self._clock.monotonic() - due))

    def tick(self, lag: datetime.timedelta) -> None:
        """Take one measurement.

        :param lag: time by which the loop was late for it
        """
        before = self._load.state
        used = datetime.timedelta(seconds=self._processor_time())
        state = self._load.tick(lag, used, self._latency_target())
        if state.refused_part == before.refused_part:
            return
        self._registry.set_gauge('host_refused_part', state.refused_part)
        if not (before.refused_part and state.refused_part):
            _log.warning(
                'host is full'
                if state.refused_part
                else 'host has room again',
                extra={
                    'lag_ms': state.lag // _MILLISECOND,
                    'lag_limit_ms': state.lag_limit // _MILLISECOND,
                    'processor_part': round(state.processor_part, 2),
                    'requests': state.requests,
                },
            )

    def _latency_target(self) -> datetime.timedelta:
        table = self._cluster_view.table
        routes = () if table is None else table.configuration.routes
        return min(
            (route.latency_target for route in routes),
            default=_DEFAULT_TARGET,
        )


def make(
    processor_share: float | None,
    cluster_view: cluster_views.ClusterView,
    clock: clocks.Clock,
    registry: registries.Registry,
) -> HostGate | None:
    """Return the gate of a host whose share of a processor is stated.

    :param processor_share: cores that the process may use
    """
    if processor_share is None:
        return None
    return HostGate(
        host_load.HostLoad(clock, processor_share),
        cluster_view,
        clock,
        registry,
        time.process_time,
    )
