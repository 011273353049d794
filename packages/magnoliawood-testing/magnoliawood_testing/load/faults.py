"""Faults that can be injected during an experiment."""

import collections.abc

from magnoliawood_testing.cluster import deployment as deployments

_LOAD_LAG_SECONDS = 3_600.0
_SLOW_FACTOR = 3.0
_SERVICE_DELAY_SECONDS = 3_600.0

# Called with the deployment and the decoding step of the engines in scaled
# seconds.
CauseFault = collections.abc.Callable[[deployments.Deployment, float], None]


def kill_engine(
    deployment: deployments.Deployment, step_seconds: float
) -> None:
    """Kill one engine and its sidecar to simulate the loss of a host."""
    deployment.upstreams['engine-1'].process.kill()
    deployment.sidecars['engine-1-sidecar'].process.kill()


def slow_engine(
    deployment: deployments.Deployment, step_seconds: float
) -> None:
    """Slow one engine down to a third of its speed."""
    node = deployment.upstreams['engine-1']
    deployment.set_faults(node, step_seconds=step_seconds * _SLOW_FACTOR)


def freeze_load_reports(
    deployment: deployments.Deployment, step_seconds: float
) -> None:
    """Make all engines report stale load for the rest of the run."""
    for node in _engines(deployment):
        deployment.set_faults(node, load_lag_seconds=_LOAD_LAG_SECONDS)


def lose_cache_events(
    deployment: deployments.Deployment, step_seconds: float
) -> None:
    """Make all engines report each of their cache events as lost."""
    for node in _engines(deployment):
        deployment.set_faults(node, lost_event_period=1)


def stop_store(
    deployment: deployments.Deployment, step_seconds: float
) -> None:
    """Make the platform's store close connections without a response."""
    deployment.set_faults(deployment.platform, outage=True)


def kill_entry(
    deployment: deployments.Deployment, step_seconds: float
) -> None:
    """Kill the first entry process."""
    deployment.entries['entry-1'].process.kill()


def hang_service(
    deployment: deployments.Deployment, step_seconds: float
) -> None:
    """Make the first service that is not an engine never respond."""
    node = next(
        node
        for name, node in deployment.upstreams.items()
        if not name.startswith('engine-')
    )
    deployment.set_faults(node, delay_seconds=_SERVICE_DELAY_SECONDS)


def _engines(
    deployment: deployments.Deployment,
) -> list[deployments.Node]:
    return [
        node
        for name, node in deployment.upstreams.items()
        if name.startswith('engine-')
    ]


FAULTS: dict[str, CauseFault] = {
    'engine-killed': kill_engine,
    'engine-slow': slow_engine,
    'load-frozen': freeze_load_reports,
    'events-lost': lose_cache_events,
    'store-outage': stop_store,
    'entry-killed': kill_entry,
    'service-hangs': hang_service,
}
