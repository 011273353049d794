"""Client side of a persistent HTTP connection."""

import collections
import collections.abc
import contextlib
import datetime
import socket

import curio
import h11

from magnoliawood_server.http import client
from magnoliawood_server.http import heads

_READ_SIZE_BYTES = 64 * 1024
_KEEP_ALIVE = b'keep-alive'
_TIMEOUT_PARAMETER = 'timeout='
# The connection is lost if sent data stays unacknowledged for this time.
_ACKNOWLEDGEMENT_TIMEOUT_MS = 4000
# Interval of the TCP keep-alive probes on an idle connection, and the number
# of unanswered probes after which it is lost.
_PROBE_INTERVAL_S = 1
_PROBE_COUNT = 3
# Limit on the data that is received for one request. A head, a chunk header
# and trailers are limited by h11, to 16 KiB.
RESPONSE_LIMIT_BYTES = 4 * 1024 * 1024
# Limit on the informational responses before a response.
_MAX_INFORMATIONAL = 64
# A connection on which more requests were refused is not reused.
_MAX_REFUSALS = 64

# A longer body is sent from where it lies, without a copy.
_MAX_COPIED_BYTES = 64 * 1024

Headers = heads.Headers
Body = collections.abc.Sequence[bytes | bytearray]
Event = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class MalformedReply(ConnectionError):  # noqa: N818
    """The peer sent data that is not a valid HTTP response."""


def set_socket_options(sock: socket.socket) -> None:
    """Make a socket send small parts at once and detect lost peers."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _ACKNOWLEDGEMENT_TIMEOUT_MS,
    )
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT)


class ClientConnection:
    """One connection to an HTTP server, for one request at a time.

    :param sock: connected socket
    :param identity_header: request header that responses echo; it detects a
        response to another request. If empty, responses are not checked.
    """

    def __init__(
        self, sock: curio.io.Socket, identity_header: bytes = b''
    ) -> None:
        self._sock = sock
        self._identity_header = identity_header
        self._h11 = h11.Connection(h11.CLIENT)
        self._request = heads.request_event('GET')
        self._sent_identity = b''
        # Whether it carried another request before the current one.
        self._is_kept = False
        self._refused_identities: set[bytes] = set()
        self._idle_limit: datetime.timedelta | None = None
        self._trailers: Headers = []
        self._received_bytes = 0
        self._is_closed = False
        self._is_eof_received = False
        self._unsent: collections.deque[memoryview] = collections.deque()
        self._sender: curio.Task | None = None
        # Error that ended the sending of a long body.
        self._send_error: OSError | None = None

    @classmethod
    async def open(
        cls,
        address: str,
        timeout: datetime.timedelta,
        identity_header: bytes = b'',
    ) -> 'ClientConnection':
        """Connect to an address.

        :raises ConnectFailed: if no connection could be made in time
        """
        host, _, port = address.rpartition(':')
        try:
            async with curio.timeout_after(timeout.total_seconds()):
                sock = await curio.open_connection(host, int(port))
        except (OSError, ValueError, curio.TaskTimeout) as error:
            raise client.ConnectFailed(
                f'no connection to {address}'
            ) from error
        set_socket_options(sock._socket)
        return cls(sock, identity_header)

    @property
    def idle_limit(self) -> datetime.timedelta | None:
        """Time for which the server keeps an idle connection, if stated."""
        return self._idle_limit

    @property
    def trailers(self) -> Headers:
        """Header fields after the last body that was read to its end."""
        return self._trailers

    @property
    def is_body_complete(self) -> bool:
        """Whether the body was parsed to its end; all of it was yielded."""
        return self._h11.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED)

    @property
    def has_ended_by_close(self) -> bool:
        """Whether only the close ended the last body: no length or chunk."""
        return self._is_eof_received

    @property
    def can_be_reused(self) -> bool:
        """Whether the last exchange is complete and no other data is left."""
        return (
            not self._is_closed
            and not self._is_eof_received
            and not self._unsent
            and self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
            and not self._h11.trailing_data[0]
            and len(self._refused_identities) <= _MAX_REFUSALS
        )

    def mark_refused(self) -> None:
        """Record that the server refused the last request.

        A faulty server may write the refusal once more.
        """
        self._refused_identities.add(self._sent_identity)

    def has_refused(self, identity: bytes) -> bool:
        """Whether a request with this identity was refused here before."""
        return identity in self._refused_identities

    def is_open_and_idle(self) -> bool:
        """Return whether the connection is open and has no data to read."""
        try:
            self._sock._socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: Body | bytes,
    ) -> None:
        """Send a request; the rest of a long body is sent in the background.

        :param headers: valid fields, as they were parsed or are written here
        :param body: body, or its parts; those of a long one are not copied
        :raises OSError: if the connection is lost
        """
        parts = _parts_of(body)
        length = sum(map(len, parts))
        self._received_bytes = 0
        self._trailers = []
        self._is_kept = self._h11.our_state is h11.DONE
        if self._is_kept:
            self._h11.start_next_cycle()
        framing = (b'content-length', b'%d' % length)
        head = heads.request_head(method, target, [*headers, framing])
        self._request = heads.request_event(method)
        self._sent_identity = _find_header(headers, self._identity_header)
        self._start_request(self._h11)
        if length <= _MAX_COPIED_BYTES:
            parts = [b''.join([head, *parts])]
        else:
            parts = [head, *parts]
        self._unsent = collections.deque(
            memoryview(part) for part in parts if part
        )
        await self._send_some()
        if self._unsent:
            self._sender = await curio.spawn(self._send_rest, daemon=True)

    async def read_head(self) -> h11.Response:
        """Read the status and headers of the response.

        Explanation
        ===========

        A late response to an earlier request is read to its end and
        discarded. It is recognised because it carries another request's id.
        One without an id may belong to any request of the connection.

        :raises OSError: if the connection is lost
        :raises MalformedReply: if the data is not a valid response
        """
        while True:
            head = await self._read_any_head()
            if self._is_response_to_request(head):
                self._update_idle_limit(head)
                return head
            await self._discard_body()
            self._restart_parser()

    async def read_body(self) -> collections.abc.AsyncGenerator[bytes]:
        """Yield the body as it arrives, whatever one read brought at once.

        :raises OSError: if the body ends early
        """
        event: Event = h11.NEED_DATA
        while event is h11.NEED_DATA:
            data, event, error = self._parse_ready_data()
            if data:
                yield data
            if error is not None:
                raise error
            if event is h11.NEED_DATA:
                self._h11.receive_data(await self._receive())
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError('connection closed within the response')
        self._trailers = list(event.headers)

    async def _discard_body(self) -> None:
        """Read a body to its end without keeping it.

        :raises OSError: if the body ends early
        """
        async with contextlib.aclosing(self.read_body()) as parts:
            async for _ in parts:
                pass

    async def read_full_body(self) -> bytes:
        """Read the complete body.

        :raises OSError: if the body ends early
        """
        return b''.join([part async for part in self.read_body()])

    def interrupt(self) -> None:
        """End the connection, so that whoever uses it gets an error."""
        with contextlib.suppress(OSError):
            self._sock._socket.shutdown(socket.SHUT_RDWR)

    async def close(self) -> None:
        """Close the connection."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._sender is not None:
            # The event loop would keep a sender that waits under a descriptor
            # that another socket gets next.
            async with curio.disable_cancellation():
                await self._sender.cancel()
        await self._sock.close()

    def _start_request(self, machine: h11.Connection) -> None:
        """Tell a parser that a request is sent, however long its body is."""
        machine.send(self._request)
        machine.send(heads.END)

    def _restart_parser(self) -> None:
        trailing = self._h11.trailing_data
        self._h11 = h11.Connection(h11.CLIENT)
        self._start_request(self._h11)
        self._h11.receive_data(trailing[0])

    async def _send_some(self) -> None:
        """Send as much as needs no waiting."""
        try:
            while self._unsent:
                self._mark_sent(self._sock._socket.send(self._unsent[0]))
        except BlockingIOError:
            return

    def _mark_sent(self, count: int) -> None:
        part = self._unsent.popleft()
        if count < len(part):
            self._unsent.appendleft(part[count:])

    async def _send_rest(self) -> None:
        try:
            while self._unsent:
                self._mark_sent(await self._sock.send(self._unsent[0]))
        except OSError as error:
            # The socket reports it once; a read would see a plain end.
            self._send_error = error

    async def _read_any_head(self) -> h11.Response:
        event = await self._next_event()
        informational = 0
        while isinstance(event, h11.InformationalResponse):
            informational += 1
            if informational > _MAX_INFORMATIONAL:
                raise MalformedReply('too many informational responses')
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError('connection closed before the response')
        return event

    def _is_response_to_request(self, head: h11.Response) -> bool:
        sent = self._sent_identity
        echoed = _find_header(head.headers, self._identity_header)
        if sent and not echoed and self._is_kept:
            raise MalformedReply('the response names no request')
        return not sent or not echoed or sent == echoed

    def _update_idle_limit(self, head: h11.Response) -> None:
        text = _find_header(head.headers, _KEEP_ALIVE).decode('latin-1')
        _, separator, value = text.partition(_TIMEOUT_PARAMETER)
        seconds = value.split(',')[0].strip()
        if separator and seconds.isdigit():
            self._idle_limit = datetime.timedelta(seconds=int(seconds))

    def _parse_ready_data(
        self,
    ) -> tuple[bytes, Event, ConnectionError | None]:
        """Parse the body as far as it has been received.

        :returns: data, the event after it, and what is wrong after it
        """
        parts: list[bytes] = []
        event: Event = h11.NEED_DATA
        error = None
        try:
            while isinstance(event := self._parse_event(), h11.Data):
                parts.append(event.data)
        except ConnectionError as raised:
            error = raised
        return b''.join(parts), event, error

    async def _next_event(self) -> Event:
        while (event := self._parse_event()) is h11.NEED_DATA:
            self._h11.receive_data(await self._receive())
        return event

    def _parse_event(self) -> Event:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            if self._is_eof_received:
                raise ConnectionResetError(
                    'connection closed before the end of the response'
                ) from error
            raise MalformedReply(str(error)) from error

    async def _receive(self) -> bytes:
        """Return some data; none at the end of the stream.

        :raises MalformedReply: if the response has no end
        :raises ConnectionResetError: if the connection was lost
        """
        data = await self._wait_and_read()
        if not data and self._send_error is not None:
            raise ConnectionResetError(
                'connection lost while the request was being sent'
            ) from self._send_error
        self._is_eof_received = not data
        self._received_bytes += len(data)
        if self._received_bytes > RESPONSE_LIMIT_BYTES:
            raise MalformedReply('response is too long')
        return data

    async def _wait_and_read(self) -> bytes:
        """Read without trying first, since there is hardly ever data.

        Each wait also lets other tasks run while data arrives without end.
        """
        while True:
            await curio.traps._read_wait(self._sock._fileno)
            try:
                return self._sock._socket.recv(_READ_SIZE_BYTES)
            except BlockingIOError:
                continue


def _parts_of(body: Body | bytes) -> list[bytes | bytearray]:
    if isinstance(body, bytes):
        return [body]
    return [*body]


def _find_header(
    headers: collections.abc.Iterable[tuple[bytes, bytes]], name: bytes
) -> bytes:
    return next((value for key, value in headers if key == name), b'')
