"""Server side of one HTTP connection."""

import collections.abc
import dataclasses
import datetime
import logging
import typing

import curio
import h11

from magnoliawood.core import errors
from magnoliawood_server.http import connection as connections
from magnoliawood_server.http import message as messages
from magnoliawood_server.http import server_side

IDLE_TIMEOUT = datetime.timedelta(seconds=75)
KEEPALIVE_INTERVAL = datetime.timedelta(seconds=1)
PROGRESS_TIMEOUT = datetime.timedelta(seconds=10)
BODY_LIMIT_BYTES = 8 * 1024 * 1024
HEAD_LIMIT_BYTES = 32 * 1024
_READ_SIZE_BYTES = 64 * 1024

Handler = collections.abc.Callable[
    [messages.Request],
    collections.abc.Awaitable[messages.Response],
]

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Activity:
    """Requests in progress on all connections of a listener.

    :param requests: number of requests whose response is not sent yet
    :param reading: number of requests of which only a part has been read
    :param is_closing: whether each connection closes after its next response
    :param is_closed: whether each further request is refused
    """

    requests: int = 0
    reading: int = 0
    is_closing: bool = False
    is_closed: bool = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is read or served."""
        return bool(self.reading or self.requests)


class _Connection:
    """Socket of one connection and its h11 state."""

    def __init__(
        self,
        sock: curio.io.Socket,
        activity: Activity,
        progress_timeout: datetime.timedelta,
    ) -> None:
        self._sock = sock
        self._activity = activity
        self._is_reading = False
        self._progress_timeout = progress_timeout
        self.write_lock = curio.Lock()
        self.writes = 0
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )

    async def next_event(self) -> connections.Event:
        return await server_side.next_event(
            self._h11, self._receive, self.send
        )

    async def send(self, *events: h11.Event) -> None:
        """Send events in one write.

        A second small packet could be delayed until the peer acknowledges
        the first one.
        """
        async with self.write_lock:
            self.writes += 1
            parts = [self._h11.send(event) or b'' for event in events]
            data = memoryview(b''.join(parts))
            while data:
                data = data[await self._send_some(data) :]

    async def _send_some(self, data: memoryview) -> int:
        try:
            # Without a timeout, because setting one costs more than most
            # writes do.
            return self._sock._socket.send(data)
        except BlockingIOError:
            return await _run_with_timeout(
                self._progress_timeout, self._sock.send, data
            )

    async def _receive(self) -> bytes:
        is_idle = self._h11.their_state is h11.IDLE
        timeout = IDLE_TIMEOUT if is_idle else self._progress_timeout
        data = await _run_with_timeout(
            timeout, self._sock.recv, _READ_SIZE_BYTES
        )
        if data and not self._is_reading:
            self._is_reading = True
            self._activity.reading += 1
        return data

    def end_reading(self) -> None:
        """Record that no request is being read any more."""
        if self._is_reading:
            self._is_reading = False
            self._activity.reading -= 1

    async def wait_for_close(self) -> None:
        """Buffer incoming data until the peer closes its side."""
        while data := await self._sock.recv(_READ_SIZE_BYTES):
            self._h11.receive_data(data)
        self._h11.receive_data(b'')

    @property
    def may_respond(self) -> bool:
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next_cycle(self) -> bool:
        return server_side.start_next_cycle(self._h11)


async def serve_connection(
    sock: curio.io.Socket,
    handler: Handler,
    activity: Activity,
    progress_timeout: datetime.timedelta = PROGRESS_TIMEOUT,
) -> None:
    """Serve requests of one connection until either side closes it.

    :param progress_timeout: the connection is closed when a peer sends nothing
        for this time within a request, or reads nothing of a response
    """
    connection = _Connection(sock, activity, progress_timeout)
    try:
        while await _serve_request(connection, handler, activity):
            pass
    except (OSError, h11.LocalProtocolError):
        _log.debug('connection lost')
    finally:
        connection.end_reading()


async def _run_with_timeout(
    timeout: datetime.timedelta,
    operation: collections.abc.Callable[..., collections.abc.Awaitable],
    argument: object,
) -> typing.Any:
    try:
        async with curio.timeout_after(timeout.total_seconds()):
            return await operation(argument)
    except curio.TaskTimeout:
        raise ConnectionResetError(
            'peer sent or read no data before the timeout'
        ) from None


async def _serve_request(
    connection: _Connection, handler: Handler, activity: Activity
) -> bool:
    try:
        request = await _read_request(connection)
    except h11.RemoteProtocolError as error:
        await _reject(
            connection,
            errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST, str(error)
            ),
        )
        return False
    except errors.MagnoliawoodError as error:
        await _reject(connection, error)
        return False
    if request is None:
        return False
    activity.requests += 1
    connection.end_reading()
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
    return connection.start_next_cycle()


def _leaving_error() -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.LEAVING, 'the process ends'
    )


async def _read_request(connection: _Connection) -> messages.Request | None:
    head = await connection.next_event()
    if not isinstance(head, h11.Request):
        return None
    body = bytearray()
    while isinstance(event := await connection.next_event(), h11.Data):
        body += event.data
        if len(body) > BODY_LIMIT_BYTES:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MESSAGE_TOO_LARGE,
                f'the body exceeds {BODY_LIMIT_BYTES} bytes',
            )
    if not isinstance(event, h11.EndOfMessage):
        return None
    return messages.Request(
        head.method.decode('ascii'),
        head.target.decode('ascii'),
        {
            name.decode('ascii'): value.decode('latin-1')
            for name, value in head.headers
        },
        bytes(body),
    )


async def _reject(
    connection: _Connection, error: errors.MagnoliawoodError
) -> None:
    if connection.may_respond:
        response = messages.Response.from_error(error)
        response.headers['connection'] = 'close'
        await _write_response(connection, response)


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
    connection: _Connection, response: messages.Response
) -> None:
    if response.parts is None:
        await _write_complete(connection, response)
        return
    watcher = await curio.spawn(_watch_for_close, connection)
    try:
        await _write_parts(connection, response, watcher)
    finally:
        await watcher.cancel()


async def _write_complete(
    connection: _Connection, response: messages.Response
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
    connection: _Connection,
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
            await connection.send(h11.Data(data=part))
    finally:
        # A cancelled write would leave an incomplete chunk in the stream.
        async with connection.write_lock:
            await keepalive_sender.cancel()
        if hasattr(parts, 'aclose'):
            await parts.aclose()
    await connection.send(h11.EndOfMessage())


async def _send_keepalive_comments(
    connection: _Connection, comment: bytes
) -> None:
    """Send a comment after each interval in which nothing was sent."""
    try:
        while comment:
            writes = connection.writes
            await curio.sleep(KEEPALIVE_INTERVAL.total_seconds())
            if connection.writes == writes:
                await connection.send(h11.Data(data=comment))
    except OSError:
        _log.debug('connection lost while sending a keep-alive comment')


async def _watch_for_close(connection: _Connection) -> None:
    try:
        await connection.wait_for_close()
    except OSError:
        _log.debug('connection reset while sending a streamed response')
