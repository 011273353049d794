"""Connection of an HTTP client, and what it may hold."""

import collections.abc
import dataclasses
import datetime
import socket
import typing

import curio
import h11

from magnoliawood.budgets import client_budget
from magnoliawood.core import errors
from magnoliawood_server.http import body_memory
from magnoliawood_server.http import connection as connections
from magnoliawood_server.http import server_side

IDLE_TIMEOUT = datetime.timedelta(seconds=75)
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


class GaveWay(curio.TaskCancelled):
    """The connection gives way, since its client makes no progress."""


class Connection:
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
        # Whether the rest of an event is to be sent next.
        self.is_within_event = False
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=HEAD_LIMIT_BYTES
        )

    async def next_event(self) -> connections.Event:
        """Return the next event of a request; read more data if needed."""
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
        await self._task.cancel(exc=GaveWay, blocking=False)

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
        if not isinstance(event, h11.EndOfMessage):
            return None
        await self._take_for_document(body)
        return bytes(body)

    async def _take_for_document(self, body: bytearray) -> None:
        """Take the memory of what a body becomes beyond copies of it.

        :raises MagnoliawoodError: if it is too large, or if there is no room
        """
        limit = self.holding.most_bytes
        structure = body_memory.structure_bytes(body, limit)
        if structure > limit:
            self.holding.refuse_as_too_large()
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MESSAGE_TOO_LARGE,
                'the body has more values than there is memory for',
            )
        # Text beyond a byte for each character.
        wide = (body_memory.bytes_per_character(body) - 1) * len(body)
        await self.reserve(structure + wide)

    async def reserve(self, size: int) -> None:
        """Take memory until the end of the response.

        No more is taken than a single request may ever hold; what needs more
        is served while no other large request is.

        :raises MagnoliawoodError: with ``host_overloaded`` if there is none
        """
        if size and not await self.holding.take_at_most(size):
            raise no_room_error()

    async def take(self, size: int) -> None:
        """Take memory before it is used.

        :raises MagnoliawoodError: with ``host_overloaded`` if there is none
        """
        if size and not await self.holding.take(size):
            raise no_room_error()

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
        """Whether a response may be begun."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next_cycle(self) -> bool:
        """Prepare for the next request if the exchange is complete."""
        return server_side.start_next_cycle(self._h11)


def no_room_error() -> errors.MagnoliawoodError:
    """Return the error for a request for which there is no memory."""
    return errors.MagnoliawoodError(
        errors.ErrorCode.HOST_OVERLOADED,
        'clients hold all memory that they may',
        retry_after=_RETRY_AFTER,
    )


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


def _check_length(size: int) -> None:
    if size > BODY_LIMIT_BYTES:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MESSAGE_TOO_LARGE,
            f'the body exceeds {BODY_LIMIT_BYTES} bytes',
        )
