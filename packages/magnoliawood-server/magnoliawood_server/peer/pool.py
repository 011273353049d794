"""Pool of persistent connections to peers, one per address."""

import datetime
import socket
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import control
from magnoliawood_server.peer import handshake as handshakes

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)


class PeerPool:
    """Opens connections on demand and replaces lost ones.

    :param handshake: authenticates each new connection; ``None`` where the
        network admits only hosts of the deployment
    """

    def __init__(
        self, clock: clocks.Clock, handshake: handshakes.Handshake | None
    ) -> None:
        self._clock = clock
        self._handshake = handshake
        self._connections: dict[str, connections.PeerConnection] = {}
        self._locks: dict[str, curio.Lock] = {}

    async def open_stream(self, address: str) -> connections.Stream:
        """Open a stream to a peer, connecting first if necessary.

        :raises PeerLost: if no connection can be made
        """
        connection = self._connections.get(address)
        if connection is None or connection.is_lost:
            connection = await self._connect(address)
        return connection.open_stream()

    async def begin(
        self,
        address: str,
        message: typing.Any,
        listener: connections.ReplyListener,
    ) -> connections.OpenRequest | None:
        """Send a request whose reply is passed to a listener.

        :returns: ``None`` if it was not sent, since that needs waiting
        """
        connection = self._connections.get(address)
        if connection is None or connection.is_lost:
            return None
        try:
            return await connection.begin(message, listener)
        except connections.PeerLost:
            return None

    async def request(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
        packed: control.Packed | None = None,
    ) -> typing.Any:
        """Send one message and return the response.

        :param packed: the message, if it is encoded already
        :raises PeerLost: if no response arrives before the timeout
        """
        try:
            async with curio.timeout_after(timeout.total_seconds()):
                return await _request(
                    await self.open_stream(address), packed or message
                )
        except curio.TaskTimeout:
            raise connections.PeerLost(f'no response from {address}') from None

    async def request_with_retry(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send an idempotent request, and retry it on a new connection.

        Explanation
        ===========

        A connection may fail in one direction while heartbeats still arrive
        in the other. If the peer responds on a new connection, the previous
        connection is faulty and is closed. If it responds on neither, the
        peer is slow or has terminated, and closing the previous connection
        would only abort its streams.

        :raises PeerLost: if no response arrives before the timeout of the
            retry
        """
        previous = self._connections.get(address)
        try:
            return await self.request(address, message, timeout)
        except connections.PeerLost:
            if previous is None or previous.is_lost:
                return await self.request(address, message, timeout)
        try:
            async with curio.timeout_after(timeout.total_seconds()):
                return await self._request_on_new_connection(
                    address, message, previous
                )
        except curio.TaskTimeout:
            raise connections.PeerLost(f'no response from {address}') from None

    async def _request_on_new_connection(
        self,
        address: str,
        message: typing.Any,
        previous: connections.PeerConnection,
    ) -> typing.Any:
        replacement = await self._open_connection(address)
        try:
            reply = await _request(replacement.open_stream(), message)
        except BaseException:
            await replacement.close('no response on a new connection')
            raise
        self._connections[address] = replacement
        await previous.close('replaced by a newer connection')
        return reply

    async def _connect(self, address: str) -> connections.PeerConnection:
        lock = self._locks.setdefault(address, curio.Lock())
        async with lock:
            existing = self._connections.get(address)
            if existing is not None and not existing.is_lost:
                return existing
            connection = await self._open_connection(address)
            self._connections[address] = connection
            return connection

    async def _open_connection(
        self, address: str
    ) -> connections.PeerConnection:
        sock = await self._open_socket(address)
        connection = connections.PeerConnection(
            sock, self._clock, None, is_client=True
        )
        await curio.spawn(connection.run, daemon=True)
        return connection

    async def _open_socket(self, address: str) -> curio.io.Socket:
        sock = await _connect_socket(address)
        if self._handshake is None:
            return sock
        try:
            await self._handshake.as_client(sock)
        except errors.MagnoliawoodError as error:
            await sock.close()
            raise connections.PeerLost(f'{address}: {error}') from error
        except curio.CancelledError:
            await sock.close()
            raise
        return sock


async def _request(
    stream: connections.Stream, message: typing.Any
) -> typing.Any:
    try:
        await stream.send(message)
        return await stream.receive()
    finally:
        stream.close()


async def _connect_socket(address: str) -> curio.io.Socket:
    host, _, port = address.rpartition(':')
    try:
        async with curio.timeout_after(CONNECT_TIMEOUT.total_seconds()):
            sock = await curio.open_connection(host, int(port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return sock
    except (OSError, curio.TaskTimeout) as error:
        raise connections.PeerLost(f'no connection to {address}') from error
