"""HTTP client for upstreams and the platform."""

import collections.abc
import contextlib
import dataclasses
import datetime
import itertools
import typing

import curio
import h11

from magnoliawood_server.http import message as messages

_READ_SIZE_BYTES = 64 * 1024
_DATA_FIELD = b'data:'
BODY_LIMIT_BYTES = 8 * 1024 * 1024
# Limit on what is received until the head of a response is complete.
_HEAD_LIMIT_BYTES = 256 * 1024
# Limit on what is received for a complete body, with its framing.
_FRAMED_BODY_LIMIT_BYTES = BODY_LIMIT_BYTES + 1024 * 1024
_EVENT_LIMIT_BYTES = 1024 * 1024


class ConnectFailed(ConnectionError):  # noqa: N818
    """No connection could be made, so the request was never sent."""


class ResponseTooLong(ConnectionResetError):  # noqa: N818
    """A response has no end, or is longer than there is memory for."""


# Takes memory before more of a response is kept, in bytes; raises
# ResponseTooLong.
Take = collections.abc.Callable[[int], None]


def _take_nothing(size: int) -> None:
    """Take no memory, for a response that is short."""


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response, without the body."""

    status: int
    headers: dict[str, str]


class Exchange:
    """One request and its response on a dedicated connection."""

    def __init__(self, sock: curio.io.Socket) -> None:
        self._sock = sock
        self._h11 = h11.Connection(h11.CLIENT)
        self._received_bytes = 0
        self._received_limit_bytes: int | None = _HEAD_LIMIT_BYTES

    async def send(self, request: messages.Request) -> None:
        """Send the complete request."""
        length = sum(map(len, request.body_parts()))
        headers = {
            'host': 'upstream',
            'connection': 'close',
            **request.headers,
            'content-length': str(length),
        }
        data = self._h11.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=[*headers.items()],
            )
        )
        for part in request.body_parts():
            # The head is sent with the first part, in one packet if it fits.
            await self._sock.sendall(
                data + self._h11.send(h11.Data(data=part))
            )
            data = b''
        await self._sock.sendall(data + self._h11.send(h11.EndOfMessage()))

    async def read_head(self) -> ResponseHead:
        """Read the status and headers.

        :raises ResponseTooLong: if they have no end
        """
        event = await self._next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            raise ConnectionResetError('connection closed before the response')
        self._limit_received(None)
        return ResponseHead(
            event.status_code,
            {
                name.decode('ascii'): value.decode('latin-1')
                for name, value in event.headers
            },
        )

    async def read_parts(self) -> collections.abc.AsyncGenerator[bytes]:
        """Yield the parts of the body as they arrive."""
        while isinstance(event := await self._next_event(), h11.Data):
            yield bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise ConnectionResetError('connection closed within the response')

    async def read_body(self, take: Take = _take_nothing) -> bytes:
        """Read the complete body.

        :param take: takes the memory of each part
        :raises ResponseTooLong: if it is too long
        """
        body = bytearray()
        self._limit_received(_FRAMED_BODY_LIMIT_BYTES)
        async with contextlib.aclosing(self.read_parts()) as parts:
            async for part in parts:
                if len(body) + len(part) > BODY_LIMIT_BYTES:
                    raise ResponseTooLong('the response is too long')
                take(len(part))
                body += part
        return bytes(body)

    async def _next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                raise ConnectionResetError(str(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._receive())

    def _limit_received(self, limit_bytes: int | None) -> None:
        """Limit what is received from now on; ``None`` for no limit."""
        self._received_bytes = 0
        self._received_limit_bytes = limit_bytes

    async def _receive(self) -> bytes:
        """Return some data; other tasks run before it is read.

        :raises ResponseTooLong: if there is more than the limit
        """
        await curio.sleep(0)
        data = await self._sock.recv(_READ_SIZE_BYTES)
        self._received_bytes += len(data)
        limit = self._received_limit_bytes
        if limit is not None and self._received_bytes > limit:
            raise ResponseTooLong('the response is too long')
        return data


class HttpClient:
    """Client of one server.

    :param address: IP address and port
    :param connect_timeout: time to wait for a connection
    """

    def __init__(
        self,
        address: str,
        connect_timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ) -> None:
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._connect_timeout = connect_timeout

    @contextlib.asynccontextmanager
    async def open(
        self, request: messages.Request
    ) -> collections.abc.AsyncIterator[Exchange]:
        """Send a request and provide the exchange to read the response.

        :raises ConnectFailed: if no connection could be made
        :raises OSError: if the connection is lost
        """
        sock = await self._connect()
        async with sock:
            exchange = Exchange(sock)
            await exchange.send(request)
            yield exchange

    async def fetch(
        self,
        request: messages.Request,
        timeout: datetime.timedelta,
        take: Take = _take_nothing,
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and read the complete response.

        :param take: takes the memory of each part of the body
        :raises ConnectFailed: if no connection could be made
        :raises OSError: if the connection is lost
        :raises curio.TaskTimeout: if it takes longer than ``timeout``
        """
        async with curio.timeout_after(timeout.total_seconds()):
            async with self.open(request) as exchange:
                head = await exchange.read_head()
                return head, await exchange.read_body(take)

    async def check_reachable(self) -> None:
        """Check that the server accepts connections, by opening one.

        :raises ConnectFailed: if no connection could be made
        """
        sock = await self._connect()
        await sock.close()

    async def _connect(self) -> curio.io.Socket:
        try:
            async with curio.timeout_after(
                self._connect_timeout.total_seconds()
            ):
                return await curio.open_connection(self._host, self._port)
        except (OSError, curio.TaskTimeout) as error:
            raise ConnectFailed(
                f'no connection to {self._host}:{self._port}'
            ) from error


def json_request(
    method: str, target: str, value: typing.Any = None, **headers: str
) -> messages.Request:
    """Return a request with a JSON body; it is empty without a value.

    A long body is made as it is sent.

    :param headers: further headers, with underscores instead of hyphens
    """
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    return messages.Request(
        method,
        target,
        {'content-type': messages.JSON_TYPE, **named},
        document=value,
    )


async def read_events(
    parts: collections.abc.AsyncGenerator[bytes],
) -> collections.abc.AsyncGenerator[str]:
    """Yield the data of each server-sent event.

    :raises ResponseTooLong: if one is too long
    """
    buffer = b''
    async with contextlib.aclosing(parts):
        async for part in parts:
            buffer += part
            *events, buffer = buffer.split(b'\n\n')
            if len(buffer) > _EVENT_LIMIT_BYTES:
                raise ResponseTooLong('an event is too long')
            for data in itertools.chain.from_iterable(
                map(_event_data, events)
            ):
                yield data


def _event_data(event: bytes) -> list[str]:
    return [
        line[len(_DATA_FIELD) :].strip().decode()
        for line in event.split(b'\n')
        if line.startswith(_DATA_FIELD)
    ]
