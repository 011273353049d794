"""Readiness check of the gateway over HTTP."""

import collections.abc
import http

import curio

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import caller_reader
from magnoliawood_server.platform import names
from magnoliawood_server.runtime import client_limits
from magnoliawood_server.runtime import listener as listeners


class ReadinessHandler:
    """Handles the requests to the readiness address.

    :param is_ready: returns whether the gateway accepts requests
    """

    def __init__(
        self,
        is_ready: collections.abc.Callable[[], bool],
    ) -> None:
        self._is_ready = is_ready

    async def handle(
        self,
        request: callers.CallerRequest,
        responder: callers.Responder,
    ) -> None:
        """Send 200 if the gateway is ready, 503 if it is not."""
        status = http.HTTPStatus.NOT_FOUND
        if request.path == names.READINESS_PATH:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            if self._is_ready():
                status = http.HTTPStatus.OK
        await responder.send_complete(int(status), [], b'')


async def listen(
    address: str,
    is_ready: collections.abc.Callable[[], bool],
    limits: caller_reader.LimitsSource,
    clock: clocks.Clock,
    registry: registries.Registry,
) -> None:
    """Serve readiness checks until cancelled.

    They do not count as requests of callers: a drain does not wait for them.
    They have a budget of their own, too.

    :param is_ready: returns whether the gateway accepts requests
    :param limits: returns the current limits on callers
    """
    handler = ReadinessHandler(is_ready)
    activity = callers.CallerActivity()
    budget = client_budget.ClientBudget(
        client_limits.PAGE_LIMITS, clock, registry
    )

    async def serve(
        sock: curio.io.Socket, holding: client_budget.Holding
    ) -> None:
        await callers.CallerConnection(
            sock, handler.handle, limits, activity, clock, holding=holding
        ).run()

    await listeners.Listener(address, serve, budget).run()
