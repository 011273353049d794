"""Answers whether this gateway takes requests, and with its metrics."""

import collections.abc
import http

from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.platform import names

METRICS_PATH = '/metrics'


class ReadinessHandler:
    """Handler of the readiness address.

    :param is_ready: whether the gateway takes requests
    """

    def __init__(
        self,
        is_ready: collections.abc.Callable[[], bool],
        registry: registries.Registry,
    ) -> None:
        self._is_ready = is_ready
        self._registry = registry

    async def handle(
        self,
        request: callers.CallerRequest,
        responder: callers.Responder,
    ) -> None:
        """Answer one question."""
        status, body = http.HTTPStatus.NOT_FOUND, b''
        if request.path == names.READINESS_PATH:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            if self._is_ready():
                status = http.HTTPStatus.OK
        elif request.path == METRICS_PATH:
            status = http.HTTPStatus.OK
            body = self._registry.exposition().encode()
        await responder.send_whole(int(status), [], body)
