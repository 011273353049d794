"""TCP listeners for HTTP clients and for peers."""

import collections.abc
import datetime
import functools
import logging
import socket

import curio

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.http import connection as http_connections
from magnoliawood_server.http import server as http_server
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import handshake as handshakes

_BACKLOG = 512
# Receive buffer of a client's connection, which the kernel doubles. What lies
# in it unread is memory of the process, and the budget counts it for each
# connection.
_CLIENT_BUFFER_BYTES = 8 * 1024
_ACCEPT_RETRY = datetime.timedelta(milliseconds=100)

_log = logging.getLogger(__name__)

ClientTask = collections.abc.Callable[
    [curio.io.Socket, client_budget.Holding],
    collections.abc.Awaitable[None],
]


class Listener:
    """TCP listener; accepted connections stay open when it stops.

    :param address: IP address and port to listen on
    :param serve_client: called with the socket of each accepted connection
    :param budget: budget of what clients make the process hold; a client for
        whom it has no room is disconnected before anything is read; by
        default there is no limit
    :param limits_buffers: whether the receive buffers of connections are
        small, if there is a budget
    """

    def __init__(
        self,
        address: str,
        serve_client: ClientTask,
        budget: client_budget.ClientBudget | None = None,
        limits_buffers: bool = True,
    ) -> None:
        self._budget = budget or _unlimited()
        self._limits_buffers = limits_buffers
        host, _, port = address.rpartition(':')
        self._host = host
        self._port = int(port)
        self._serve_client = serve_client
        self._task: curio.Task | None = None
        self._clients: set[curio.Task] = set()

    async def run(self) -> None:
        """Accept connections until :meth:`stop`, then wait to be cancelled.

        Its connections end with it, since one that is still served begins
        new tasks, which a process that ends can't wait for.
        """
        sock = curio.tcp_server_socket(
            self._host, self._port, backlog=_BACKLOG
        )
        if self._budget.is_limited and self._limits_buffers:
            # Accepted connections inherit it.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _CLIENT_BUFFER_BYTES
            )
        self._task = await curio.spawn(self._accept_forever, sock)
        try:
            await curio.Event().wait()
        finally:
            await self._task.cancel()
            for client in list(self._clients):
                await client.cancel(blocking=False)
            for client in list(self._clients):
                await client.wait()

    async def stop(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._task is not None:
            await self._task.cancel()

    async def _accept_forever(self, sock: curio.io.Socket) -> None:
        async with sock:
            while True:
                try:
                    client, _ = await sock.accept()
                except OSError as error:
                    _log.warning(
                        'accepting a connection failed',
                        extra={'error': str(error)},
                    )
                    await curio.sleep(_ACCEPT_RETRY.total_seconds())
                    continue
                holding = await self._budget.open()
                if holding is None:
                    await client.close()
                else:
                    await curio.spawn(
                        self._serve, client, holding, daemon=True
                    )
                if self._budget.is_full:
                    # Lets connections end that gave way.
                    await curio.sleep(0)

    async def _serve(
        self, client: curio.io.Socket, holding: client_budget.Holding
    ) -> None:
        task = await curio.current_task()
        self._clients.add(task)
        try:
            async with client:
                if not holding.is_lost:
                    await self._serve_client(client, holding)
        finally:
            holding.close()
            self._clients.discard(task)


def http_listener(
    address: str,
    handler: http_server.Handler,
    activity: http_server.Activity | None = None,
    budget: client_budget.ClientBudget | None = None,
    body_limit: datetime.timedelta = http_server.BODY_LIMIT,
) -> Listener:
    """Return a listener for HTTP.

    :param handler: handles each request
    :param activity: counts the requests of the listener and can close their
        connections; by default each listener has its own
    :param budget: budget of what clients hold; unlimited by default
    :param body_limit: time within which a body has to arrive
    """
    http_activity = activity or http_server.Activity()

    async def serve(
        sock: curio.io.Socket, holding: client_budget.Holding
    ) -> None:
        http_connections.set_socket_options(sock._socket)
        await http_server.serve_connection(
            sock,
            handler,
            http_activity,
            body_limit=body_limit,
            holding=holding,
        )

    return Listener(address, serve, budget)


def _unlimited() -> client_budget.ClientBudget:
    return client_budget.unlimited(clocks.SystemClock())


def peer_listener(
    address: str,
    clock: clocks.Clock,
    handler: connections.StreamHandler,
    handshake: handshakes.Handshake | None,
    unproved: client_budget.ClientBudget | None = None,
) -> Listener:
    """Return a listener for peers.

    :param handler: serves each stream that a peer opens
    :param handshake: authenticates peers by the shared secret; without it
        each peer is accepted
    :param unproved: limits the connections until the handshake is complete
    """

    async def serve(
        sock: curio.io.Socket, holding: client_budget.Holding
    ) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if handshake is not None:
            task = await curio.current_task()
            holding.end_with(functools.partial(task.cancel, blocking=False))
            try:
                await handshake.as_server(sock)
            except errors.MagnoliawoodError as error:
                _log.debug(
                    'peer handshake failed', extra={'error': str(error)}
                )
                return
        # From now on it is a peer's.
        holding.close()
        await connections.PeerConnection(
            sock, clock, handler, is_client=False
        ).run()

    return Listener(address, serve, unproved, limits_buffers=False)


async def serve_http(address: str, handler: http_server.Handler) -> None:
    """Serve HTTP connections until cancelled."""
    await http_listener(address, handler).run()


async def serve_peers(
    address: str,
    clock: clocks.Clock,
    handler: connections.StreamHandler,
    handshake: handshakes.Handshake,
) -> None:
    """Serve connections of authenticated peers until cancelled."""
    await peer_listener(address, clock, handler, handshake).run()
