"""Answers whether this gateway takes requests."""

import collections.abc
import http

from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.platform import names


class ReadinessHandler:
    """Handler of the readiness address.

    :param is_ready: whether the gateway takes requests
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
        """Answer one question."""
        status = http.HTTPStatus.NOT_FOUND
        if request.path == names.READINESS_PATH:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            if self._is_ready():
                status = http.HTTPStatus.OK
        await responder.send_complete(int(status), [], b'')
