"""Server side of one HTTP connection."""

import collections.abc
import datetime
import logging

import curio
import h11

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.http import heads
from magnoliawood_server.http import message as messages
from magnoliawood_server.http import server_connection

Handler = collections.abc.Callable[
    [messages.Request],
    collections.abc.Awaitable[messages.Response],
]

IDLE_TIMEOUT = server_connection.IDLE_TIMEOUT
PROGRESS_TIMEOUT = server_connection.PROGRESS_TIMEOUT
BODY_LIMIT = server_connection.BODY_LIMIT
BODY_LIMIT_BYTES = server_connection.BODY_LIMIT_BYTES
HEAD_LIMIT_BYTES = server_connection.HEAD_LIMIT_BYTES
KEEPALIVE_INTERVAL = datetime.timedelta(seconds=1)
Activity = server_connection.Activity

_log = logging.getLogger(__name__)


async def serve_connection(
    sock: curio.io.Socket,
    handler: Handler,
    activity: Activity,
    progress_timeout: datetime.timedelta = PROGRESS_TIMEOUT,
    body_limit: datetime.timedelta = BODY_LIMIT,
    holding: client_budget.Holding | None = None,
) -> None:
    """Serve requests of one connection until either side closes it.

    :param progress_timeout: the connection is closed when a peer sends nothing
        for this time within a request, does not send a whole head in it, or
        reads nothing of a response
    :param body_limit: time within which a body has to arrive
    :param holding: what the connection holds; unlimited by default
    """
    connection = server_connection.Connection(
        sock,
        activity,
        progress_timeout,
        body_limit,
        holding or client_budget.unlimited_holding(clocks.SystemClock()),
        await curio.current_task(),
    )
    try:
        while await _serve_request(connection, handler, activity):
            pass
    except server_connection.GaveWay:
        _log.debug('connection closed for want of room')
    except (OSError, h11.LocalProtocolError):
        _log.debug('connection lost')
    finally:
        connection.end_reading()


async def _serve_request(
    connection: server_connection.Connection,
    handler: Handler,
    activity: Activity,
) -> bool:
    request = await _read_or_refuse(connection)
    if isinstance(request, errors.MagnoliawoodError):
        await _reject(connection, request)
        return False
    if request is None:
        return False
    activity.requests += 1
    connection.end_reading()
    connection.holding.begin_serving()
    try:
        if activity.is_closed:
            await _reject(connection, _leaving_error())
            return False
        response = await _handle(handler, request)
        if activity.is_closing:
            response.headers['connection'] = 'close'
        await _write_response(connection, response)
    finally:
        activity.requests -= 1
        connection.holding.end_request()
    return connection.start_next_cycle()


async def _read_or_refuse(
    connection: server_connection.Connection,
) -> messages.Request | errors.MagnoliawoodError | None:
    """Return a request, or why it is refused before it has been read."""
    try:
        return await _read_request(connection)
    except h11.RemoteProtocolError as error:
        return errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST, str(error)
        )
    except errors.MagnoliawoodError as error:
        # Without the frames that keep in memory what was read.
        return error.with_traceback(None)
    except server_connection.GaveWay:
        return server_connection.no_room_error()


def _leaving_error() -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.LEAVING, 'the process ends'
    )


async def _read_request(
    connection: server_connection.Connection,
) -> messages.Request | None:
    head = await connection.next_event()
    if not isinstance(head, h11.Request):
        return None
    await connection.take(heads.unusual_memory(head.headers))
    body = await connection.read_body(heads.content_length(head.headers))
    if body is None:
        return None
    return messages.Request(
        head.method.decode('ascii'),
        head.target.decode('ascii'),
        {
            name.decode('ascii'): value.decode('latin-1')
            for name, value in head.headers
        },
        body,
        connection.reserve,
    )


async def _reject(
    connection: server_connection.Connection, error: errors.MagnoliawoodError
) -> None:
    if connection.may_respond:
        response = messages.Response.from_error(error)
        response.headers['connection'] = 'close'
        await _write_response(connection, response)
        if not connection.holding.is_lost:
            await connection.discard_rest()


async def _handle(
    handler: Handler, request: messages.Request
) -> messages.Response:
    try:
        return await handler(request)
    except errors.MagnoliawoodError as error:
        return messages.Response.from_error(error)
    except ConnectionError:
        raise
    except Exception:
        _log.exception('request handler failed')
        return messages.Response.from_error(
            errors.MagnoliawoodError(
                errors.ErrorCode.INTERNAL,
                'the request handler failed',
                errors.verdicts.Verdict.MAY_HAVE_RUN,
            )
        )


async def _write_response(
    connection: server_connection.Connection, response: messages.Response
) -> None:
    if response.parts is None:
        await _write_complete(connection, response)
        return
    watcher = await curio.spawn(_watch_for_close, connection)
    try:
        await _write_parts(connection, response, watcher)
    finally:
        # It has to end before the socket is closed.
        async with curio.disable_cancellation():
            await watcher.cancel()


async def _write_complete(
    connection: server_connection.Connection, response: messages.Response
) -> None:
    headers = {
        **response.headers,
        'content-length': str(len(response.body)),
    }
    await connection.send(
        h11.Response(status_code=response.status, headers=[*headers.items()]),
        h11.Data(data=response.body),
        h11.EndOfMessage(),
    )


async def _write_parts(
    connection: server_connection.Connection,
    response: messages.Response,
    watcher: curio.Task,
) -> None:
    headers = {**response.headers, 'transfer-encoding': 'chunked'}
    await connection.send(
        h11.Response(status_code=response.status, headers=[*headers.items()])
    )
    parts = response.parts
    assert parts is not None  # Only called for responses with parts.
    keepalive_sender = await curio.spawn(
        _send_keepalive_comments, connection, response.keepalive_comment
    )
    try:
        async for part in parts:
            if watcher.terminated:
                raise ConnectionResetError('caller closed the connection')
            connection.is_within_event = isinstance(
                part, messages.PartialEvent
            )
            await connection.send(h11.Data(data=part))
    finally:
        # A cancelled write would leave an incomplete chunk in the stream.
        async with curio.disable_cancellation():
            async with connection.write_lock:
                await keepalive_sender.cancel()
            if hasattr(parts, 'aclose'):
                await parts.aclose()
    await connection.send(h11.EndOfMessage())


async def _send_keepalive_comments(
    connection: server_connection.Connection, comment: bytes
) -> None:
    """Send a comment after each interval in which nothing was sent."""
    try:
        while comment:
            writes = connection.writes
            await curio.sleep(KEEPALIVE_INTERVAL.total_seconds())
            # A write that waits for the client has to end first.
            may_send = not (
                connection.is_within_event or connection.write_lock.locked()
            )
            if connection.writes == writes and may_send:
                await connection.send(h11.Data(data=comment))
    except OSError:
        _log.debug('connection lost while sending a keep-alive comment')


async def _watch_for_close(connection: server_connection.Connection) -> None:
    try:
        await connection.wait_for_close()
    except OSError:
        _log.debug('connection reset while sending a streamed response')
