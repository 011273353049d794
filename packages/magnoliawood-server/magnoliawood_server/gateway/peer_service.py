"""Serves the messages of other gateways."""

import typing

from magnoliawood_server.gateway import gossip as gossips
from magnoliawood_server.gateway import messages
from magnoliawood_server.gateway import permits as permit_clients
from magnoliawood_server.gateway import relay as relays
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import pool as pools


class PeerService:
    """Passes each message on to the component that serves it."""

    def __init__(
        self,
        gossip: gossips.Gossip,
        permits: permit_clients.Permits,
        pool: pools.PeerPool,
    ) -> None:
        self._gossip = gossip
        self._permits = permits
        self._pool = pool

    async def serve(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        """Serve one stream of a peer.

        :raises MagnoliawoodError: if the request is rejected
        """
        match message:
            case messages.TakePermit():
                await stream.send(await self._permits.serve(message))
            case messages.RelayQuestion():
                await stream.send(
                    await relays.relay(
                        self._pool, message, gossips.REQUEST_TIMEOUT
                    )
                )
            case _:
                await self._gossip.serve(stream, message)
