"""Long-lived connections to peers, one for each address."""

import datetime
import socket
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import handshake as handshakes

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)


class PeerPool:
    """Opens connections on demand and replaces lost ones.

    :param handshake: proves the shared secret on each new connection; none
        where the network admits only the system's own hosts
    """

    def __init__(
        self, clock: clocks.Clock, handshake: handshakes.Handshake | None
    ) -> None:
        self._clock = clock
        self._handshake = handshake
        self._connections: dict[str, connections.PeerConnection] = {}
        self._locks: dict[str, curio.Lock] = {}

    async def open_stream(self, address: str) -> connections.Stream:
        """Open a stream to a peer, connecting if need be.

        :raises PeerLost: if no connection can be made
        """
        connection = self._connections.get(address)
        if connection is None or connection.is_lost:
            connection = await self._connect(address)
        return connection.open_stream()

    async def request(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send one message and return the answer.

        :raises PeerLost: if no answer comes in time
        """
        try:
            async with curio.timeout_after(timeout.total_seconds()):
                return await _request(await self.open_stream(address), message)
        except curio.TaskTimeout:
            raise connections.PeerLost(f'no answer from {address}') from None

    async def request_with_retry(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Ask a question that may be repeated, on a new connection then.

        Explanation
        ===========

        A connection may go silent in one direction while heartbeats still
        arrive in the other. If a new connection answers, the old one is at
        fault and closed; if neither does, the peer is slow or gone, and
        closing would only cost its streams.

        :raises PeerLost: if no answer comes in time
        """
        doubted = self._connections.get(address)
        try:
            return await self.request(address, message, timeout)
        except connections.PeerLost:
            if doubted is None or doubted.is_lost:
                return await self.request(address, message, timeout)
        try:
            async with curio.timeout_after(timeout.total_seconds()):
                return await self._ask_anew(address, message, doubted)
        except curio.TaskTimeout:
            raise connections.PeerLost(f'no answer from {address}') from None

    async def _ask_anew(
        self,
        address: str,
        message: typing.Any,
        doubted: connections.PeerConnection,
    ) -> typing.Any:
        fresh = await self._make(address)
        try:
            reply = await _request(fresh.open_stream(), message)
        except BaseException:
            await fresh.close('no answer')
            raise
        self._connections[address] = fresh
        await doubted.close('a newer connection answers')
        return reply

    async def _connect(self, address: str) -> connections.PeerConnection:
        lock = self._locks.setdefault(address, curio.Lock())
        async with lock:
            known = self._connections.get(address)
            if known is not None and not known.is_lost:
                return known
            made = await self._make(address)
            self._connections[address] = made
            return made

    async def _make(self, address: str) -> connections.PeerConnection:
        sock = await self._open(address)
        made = connections.PeerConnection(
            sock, self._clock, None, is_client=True
        )
        await curio.spawn(made.run, daemon=True)
        return made

    async def _open(self, address: str) -> curio.io.Socket:
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
