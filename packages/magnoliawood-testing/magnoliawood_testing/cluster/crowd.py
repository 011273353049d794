"""Crowd of clients that hold connections, and all that they sent, open."""

import collections.abc
import dataclasses
import selectors
import socket
import time
import typing

# A client that can send or read nothing for this long is let be.
_QUIET_SECONDS = 2.0
_READ_SIZE_BYTES = 64 * 1024
_CONNECT_TIMEOUT_SECONDS = 5.0
# Receive buffer of a client that does not read.
_SMALL_BUFFER_BYTES = 4096


@dataclasses.dataclass(slots=True)
class Client:
    """One connection of the crowd.

    :param unsent: data that the process did not take yet
    :param received: data that it sent, if the client reads
    :param is_closed: whether the process closed the connection
    """

    sock: socket.socket
    unsent: memoryview
    received: bytearray = dataclasses.field(default_factory=bytearray)
    is_closed: bool = False

    @property
    def status(self) -> int | None:
        """Status of the first response, if one was received."""
        words = bytes(self.received[:32]).split(b' ')
        return int(words[1]) if len(words) > 1 else None


class Crowd:
    """Clients that connect to one address and share what they send.

    :param size: number of clients
    :param data: returns what a client sends, by its number
    :param reads: whether the clients read what they are sent
    """

    def __init__(
        self,
        address: str,
        size: int,
        data: collections.abc.Callable[[int], bytes],
        reads: bool = True,
    ) -> None:
        self._address = address
        self._size = size
        self._data = data
        self._reads = reads
        self._selector = selectors.DefaultSelector()
        self.clients: list[Client] = []

    def __enter__(self) -> 'Crowd':
        for number in range(self._size):
            self._connect(number)
        return self

    def __exit__(self, *_: object) -> None:
        for client in self.clients:
            client.sock.close()
        self._selector.close()

    @property
    def open_clients(self) -> list[Client]:
        """Clients whose connection the process has not closed."""
        return [client for client in self.clients if not client.is_closed]

    def _connect(self, number: int) -> None:
        host, _, port = self._address.rpartition(':')
        sock = socket.socket()
        if not self._reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
            )
        sock.settimeout(_CONNECT_TIMEOUT_SECONDS)
        sock.connect((host, int(port)))
        sock.setblocking(False)
        client = Client(sock, memoryview(self._data(number)))
        self.clients.append(client)
        events = selectors.EVENT_WRITE
        if self._reads:
            events |= selectors.EVENT_READ
        self._selector.register(sock, events, client)

    def push(self, most_seconds: float = 60.0) -> None:
        """Send and read until nothing moves any more.

        :param most_seconds: time after which the crowd is let be anyway
        """
        began = last = time.monotonic()
        while time.monotonic() < min(
            last + _QUIET_SECONDS, began + most_seconds
        ):
            if self._move():
                last = time.monotonic()

    def trickle(self, data: bytes, times: int, pause_seconds: float) -> None:
        """Let each client send a little more, again and again."""
        for _ in range(times):
            for client in self.open_clients:
                if not client.unsent:
                    client.unsent = memoryview(data)
                    self._watch(client)
            self._move()
            time.sleep(pause_seconds)

    def _move(self) -> bool:
        """Return whether some client sent or read something."""
        moved = False
        for key, events in self._selector.select(0.05):
            client = typing.cast(Client, key.data)
            try:
                if events & selectors.EVENT_WRITE:
                    moved |= self._send(client)
                if events & selectors.EVENT_READ:
                    moved |= self._read(client)
            except BlockingIOError:
                continue
            except OSError:
                self._end(client)
        return moved

    def _send(self, client: Client) -> bool:
        sent = client.sock.send(client.unsent[:_READ_SIZE_BYTES])
        client.unsent = client.unsent[sent:]
        if not client.unsent:
            self._watch(client)
        return sent > 0

    def _read(self, client: Client) -> bool:
        data = client.sock.recv(_READ_SIZE_BYTES)
        client.received += data
        if not data:
            self._end(client)
        return bool(data)

    def _watch(self, client: Client) -> None:
        """Wait for what this client may do next."""
        events = selectors.EVENT_WRITE if client.unsent else 0
        if self._reads:
            events |= selectors.EVENT_READ
        try:
            self._selector.unregister(client.sock)
        except KeyError:
            pass
        if events:
            self._selector.register(client.sock, events, client)

    def _end(self, client: Client) -> None:
        client.is_closed = True
        self._selector.unregister(client.sock)
        client.sock.close()
