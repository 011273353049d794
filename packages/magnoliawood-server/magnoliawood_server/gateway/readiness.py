"""Readiness check of the gateway over HTTP."""

import collections.abc
import http

from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.platform import names


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
