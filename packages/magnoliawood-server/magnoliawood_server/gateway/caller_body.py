"""Reads the body of a request of a caller."""

import collections.abc
import datetime
import http

import curio
import h11

from magnoliawood.budgets import client_budget
from magnoliawood_server.http import connection as connections
from magnoliawood_server.http import heads

# Time within which a body has to arrive.
TIME_LIMIT = datetime.timedelta(seconds=30)
# A longer body is not copied.
_MAX_COPIED_BYTES = 64 * 1024
# Memory that is taken at once for a body whose length is not known.
_MIN_STEP_BYTES = 16 * 1024
_MAX_STEP_BYTES = 1024 * 1024
# Parts of one body that are parsed without a pause for other connections, and
# number from which on a body waits for its turn to have more of them parsed.
_PARTS_AT_ONCE = 64
_MAX_QUICK_PARTS = 1024

NextEvent = collections.abc.Callable[
    [], collections.abc.Awaitable[connections.Event]
]


class NoRoom(Exception):  # noqa: N818
    """There is no memory for a request, which has not been read whole."""


class ParsingTurns:
    """Turns of bodies in so many parts that parsing takes long.

    One part may have a single byte, and costs as much as a long one. Of all
    connections with such a body one at a time has some parts parsed, so that
    they delay other requests no longer than one of them does.
    """

    def __init__(self) -> None:
        self._lock = curio.Lock()

    async def pause(self, parts: int) -> None:
        """Let other connections go on, if it is time for that.

        :param parts: number of parts of the body so far
        """
        if parts % _PARTS_AT_ONCE:
            return
        if parts < _MAX_QUICK_PARTS:
            await curio.sleep(0)
            return
        async with self._lock:
            await curio.sleep(0)


async def read(
    head: h11.Request,
    next_event: NextEvent,
    holding: client_budget.Holding,
    limit: int,
    turns: ParsingTurns,
) -> bytes | bytearray | None:
    """Read a body; ``None`` if the caller closes before its end.

    Memory for the head is taken with that for the body.

    :param limit: most bytes that a body may have
    :raises RemoteProtocolError: if it is too large
    :raises NoRoom: if there is no memory for it
    """
    body = bytearray()
    taken = heads.content_length(head.headers)
    _check_length(taken, limit)
    await _take(holding, taken + heads.unusual_memory(head.headers))
    parts = 0
    while isinstance(event := await next_event(), h11.Data):
        size = len(body) + len(event.data)
        _check_length(size, limit)
        if size > taken:
            step = min(max(size, _MIN_STEP_BYTES), _MAX_STEP_BYTES)
            await _take(holding, step)
            taken += step
        body += event.data
        parts += 1
        await turns.pause(parts)
    if not isinstance(event, h11.EndOfMessage):
        return None
    return body if len(body) > _MAX_COPIED_BYTES else bytes(body)


async def _take(holding: client_budget.Holding, size: int) -> None:
    if size and not await holding.take(size):
        raise NoRoom('no memory for the body')


def _check_length(size: int, limit: int) -> None:
    if size > limit:
        raise h11.RemoteProtocolError(
            'body too large',
            error_status_hint=http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )
