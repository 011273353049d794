"""Server side of one HTTP connection."""

import collections.abc
import dataclasses
import datetime
import logging
import socket
import typing

import curio
import h11

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.http import connection as connections
from magnoliawood_server.http import heads
from magnoliawood_server.http import message as messages
from magnoliawood_server.http import server_side

IDLE_TIMEOUT = datetime.timedelta(seconds=75)
KEEPALIVE_INTERVAL = datetime.timedelta(seconds=1)
PROGRESS_TIMEOUT = datetime.timedelta(seconds=10)
BODY_LIMIT_BYTES = 8 * 1024 * 1024
HEAD_LIMIT_BYTES = 32 * 1024
# Time for which the rest of a request that was refused is discarded.
DISCARD_TIME = datetime.timedelta(seconds=1)
# Time within which a body has to arrive.
BODY_LIMIT = datetime.timedelta(seconds=30)
_READ_SIZE_BYTES = 8 * 1024
# Limit on the data that is read while a response is sent. Only whether the
# peer is still connected matters then.
_READ_AHEAD_BYTES = 8 * 1024
# Memory for a body and for what is made of it: its text, the parsed document
# and the messages to other processes.
_COPIES_OF_BODY = 4
_MIN_STEP_BYTES = 16 * 1024
_MAX_STEP_BYTES = 1024 * 1024
# Parts of one body that are parsed without a pause for other connections.
_PARTS_AT_ONCE = 64
_RETRY_AFTER = datetime.timedelta(seconds=1)

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


class _GaveWay(curio.TaskCancelled):
    """The connection gives way, since its client makes no progress."""


class _Connection:
    """Socket of one connection and its h11 state."""

    def __init__(
        self,
        sock: curio.io.Socket,
        activity: Activity,
        progress_timeout: datetime.timedelta,
        body_limit: datetime.timedelta,
        holding: client_budget.Holding,
        task: curio.Task,
    ) -> None:
        self.holding = holding
        self._task = task
        self._body_limit = body_limit
        # Monotonic time in seconds at which the request began to arrive.
        self._began: float | None = None
        holding.end_with(self._give_way)
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
            pass
        self.holding.wait_for_client()
        sent = await _run_with_timeout(
            self._progress_timeout, self._sock.send, data
        )
        self.holding.begin_serving()
        return sent

    async def _give_way(self) -> None:
        await self._task.cancel(exc=_GaveWay, blocking=False)

    async def _receive(self) -> bytes:
        data = await _run_with_timeout(
            self._receive_timeout(), self._sock.recv, _READ_SIZE_BYTES
        )
        self.holding.record_moved(len(data))
        if data and not self._is_reading:
            self._is_reading = True
            self._activity.reading += 1
        return data

    def _receive_timeout(self) -> datetime.timedelta:
        """Return the time for which more data is waited for.

        A head has one limit for all of its parts. A body has a limit for each
        pause, and one for all of it.
        """
        is_head = self._h11.their_state is h11.IDLE
        now = self.holding.now()
        if is_head and not self._h11.trailing_data[0]:
            self._began = None
            self.holding.become_idle(now)
            return IDLE_TIMEOUT
        self.holding.begin_receiving(now)
        if self._began is None:
            self._began = now.total_seconds()
        passed = now - datetime.timedelta(seconds=self._began)
        if is_head:
            return self._progress_timeout - passed
        return min(self._progress_timeout, self._body_limit - passed)

    async def read_body(self, declared: int) -> bytes | None:
        """Read a body; ``None`` if the peer closes before its end.

        :param declared: length that the head states; 0 if it states none
        :raises MagnoliawoodError: if it is too large, or if there is no room
        """
        body = bytearray()
        _check_length(declared)
        await self.take(declared * _COPIES_OF_BODY)
        taken, parts = declared, 0
        while isinstance(event := await self.next_event(), h11.Data):
            size = len(body) + len(event.data)
            _check_length(size)
            if size > taken:
                step = min(max(size, _MIN_STEP_BYTES), _MAX_STEP_BYTES)
                await self.take(step * _COPIES_OF_BODY)
                taken += step
            body += event.data
            parts += 1
            if parts % _PARTS_AT_ONCE == 0:
                await curio.sleep(0)
        return bytes(body) if isinstance(event, h11.EndOfMessage) else None

    async def take(self, size: int) -> None:
        """Take memory before it is used.

        :raises MagnoliawoodError: with ``host_overloaded`` if there is none
        """
        if size and not await self.holding.take(size):
            raise _no_room_error()

    def end_reading(self) -> None:
        """Record that no request is being read any more."""
        self._began = None
        if self._is_reading:
            self._is_reading = False
            self._activity.reading -= 1

    async def wait_for_close(self) -> None:
        """Buffer some incoming data until the peer closes its side.

        A peer that sends more is not read any further, so that its leave goes
        unnoticed until a write fails.
        """
        ahead = 0
        while data := await self._sock.recv(_READ_SIZE_BYTES):
            self._h11.receive_data(data)
            ahead += len(data)
            if ahead > _READ_AHEAD_BYTES:
                await curio.Event().wait()
        self._h11.receive_data(b'')

    async def discard_rest(self) -> None:
        """Discard what the peer still sends of a request that was refused.

        Closing the connection with unread data would reset it, and the peer
        might not read the response.
        """
        if self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED):
            return
        self.holding.end_request()
        self._sock._socket.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(DISCARD_TIME.total_seconds()):
            while await self._sock.recv(_READ_SIZE_BYTES):
                pass

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
    connection = _Connection(
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
    except _GaveWay:
        _log.debug('connection closed for want of room')
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
    except _GaveWay:
        await _reject(connection, _no_room_error())
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


def _no_room_error() -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.HOST_OVERLOADED,
        'clients hold all memory that they may',
        retry_after=_RETRY_AFTER,
    )


def _leaving_error() -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.LEAVING, 'the process ends'
    )


async def _read_request(connection: _Connection) -> messages.Request | None:
    head = await connection.next_event()
    if not isinstance(head, h11.Request):
        return None
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
    )


def _check_length(size: int) -> None:
    if size > BODY_LIMIT_BYTES:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MESSAGE_TOO_LARGE,
            f'the body exceeds {BODY_LIMIT_BYTES} bytes',
        )


async def _reject(
    connection: _Connection, error: errors.MagnoliawoodError
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
    connection: _Connection, response: messages.Response
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
        async with curio.disable_cancellation():
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
