"""Listeners for HTTP and for peers."""

import functools
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.http import server as http_server
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import handshake as handshakes

_BACKLOG = 512

_log = logging.getLogger(__name__)


async def serve_http(address: str, handler: http_server.Handler) -> None:
    """Serve HTTP connections for ever."""
    await _serve(
        address, functools.partial(_serve_http_client, handler=handler)
    )


async def serve_peers(
    address: str,
    clock: clocks.Clock,
    handler: connections.StreamHandler,
    handshake: handshakes.Handshake,
) -> None:
    """Serve connections of peers that prove the secret, for ever."""
    await _serve(
        address,
        functools.partial(
            _serve_peer, clock=clock, handler=handler, handshake=handshake
        ),
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
    handshake: handshakes.Handshake,
) -> None:
    try:
        await handshake.as_server(sock)
    except errors.MagnoliawoodError as error:
        _log.debug('peer refused', extra={'error': str(error)})
        return
    connection = connections.PeerConnection(
        sock, clock, handler, is_client=False
    )
    await connection.run()
