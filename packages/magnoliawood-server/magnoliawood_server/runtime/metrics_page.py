"""HTTP endpoint for the metrics of a process, on a separate address."""

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.http import message as messages
from magnoliawood_server.runtime import client_limits
from magnoliawood_server.runtime import listener as listeners

METRICS_PATH = '/metrics'
_TEXT_TYPE = 'text/plain; version=0.0.4'


def metrics_response(registry: registries.Registry) -> messages.Response:
    """Return a response with all metrics in the Prometheus text format."""
    return messages.Response(
        200,
        {'content-type': _TEXT_TYPE},
        registry.exposition().encode(),
    )


class MetricsPage:
    """HTTP handler that serves the metrics of a registry."""

    def __init__(self, registry: registries.Registry) -> None:
        self._registry = registry

    async def handle(self, request: messages.Request) -> messages.Response:
        """Handle one request.

        :raises MagnoliawoodError: with ``not_found`` for any path except
            ``METRICS_PATH``
        """
        if request.path != METRICS_PATH:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, f'no resource at {request.path}'
            )
        return metrics_response(self._registry)


def metrics_listener(
    address: str, registry: registries.Registry
) -> listeners.Listener:
    """Return an HTTP listener that serves the metrics of a registry."""
    budget = client_budget.ClientBudget(
        client_limits.PAGE_LIMITS, clocks.SystemClock(), registry
    )
    return listeners.http_listener(
        address, MetricsPage(registry).handle, budget=budget
    )
