"""Listeners for HTTP and for peers."""

import functools

import curio

from magnoliawood.core import clock as clocks
from magnoliawood_server.http import server as http_server
from magnoliawood_server.peer import connection as connections

_BACKLOG = 512


async def serve_http(address: str, handler: http_server.Handler) -> None:
    """Serve HTTP connections for ever."""
    await _serve(
        address, functools.partial(_serve_http_client, handler=handler)
    )


async def serve_peers(
    address: str,
    clock: clocks.Clock,
    handler: connections.StreamHandler,
) -> None:
    """Serve connections of peers for ever."""
    await _serve(
        address,
        functools.partial(_serve_peer, clock=clock, handler=handler),
    )


async def _serve(address: str, serve_client: functools.partial) -> None:
    host, _, port = address.rpartition(':')
    await curio.tcp_server(host, int(port), serve_client, backlog=_BACKLOG)


async def _serve_http_client(
    sock: curio.io.Socket,
    address: tuple[str, int],
    handler: http_server.Handler,
) -> None:
    await http_server.serve_connection(sock, handler)


async def _serve_peer(
    sock: curio.io.Socket,
    address: tuple[str, int],
    clock: clocks.Clock,
    handler: connections.StreamHandler,
) -> None:
    connection = connections.PeerConnection(
        sock, clock, handler, is_client=False
    )
    await connection.run()
