"""Relays requests to keepers through other gateways.

Used while a keeper cannot be reached directly.
"""

import collections.abc
import datetime
import itertools
import logging
import typing

from magnoliawood.core import clock as clocks
from magnoliawood_server.gateway import messages
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import frame as frames
from magnoliawood_server.peer import pool as pools

# After a direct request has failed, requests to the keeper are relayed for
# this long.
RELAY_PERIOD = datetime.timedelta(seconds=1)
# Timeout of a direct request; after it the request is relayed.
DIRECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# Longer than the timeout of any request, which applies without peers.
NO_RELAY_TIMEOUT = datetime.timedelta(minutes=1)

_log = logging.getLogger(__name__)


class RelayingRequester:
    """Sends requests to keepers directly, or through a peer after a failure.

    Explanation
    ===========

    A gateway may be cut off from the keepers while it still reaches the
    other gateways. All requests to keepers are idempotent, so a request that
    failed directly may be sent again through a peer.

    :param pool: connections to keepers and gateways
    :param peers: returns the addresses of reachable gateways
    """

    def __init__(
        self,
        pool: pools.PeerPool,
        peers: collections.abc.Callable[[], list[str]],
        clock: clocks.Clock,
    ) -> None:
        self._pool = pool
        self._peers = peers
        self._clock = clock
        self._relay_until: dict[str, datetime.timedelta] = {}
        self._peer_counter = itertools.count()

    @property
    def direct_timeout(self) -> datetime.timedelta:
        """Time after which a request is sent through a peer."""
        return DIRECT_TIMEOUT if self._peers() else NO_RELAY_TIMEOUT

    async def begin(
        self,
        address: str,
        message: typing.Any,
        listener: connections.ReplyListener,
    ) -> connections.OpenRequest | None:
        """Send a message to a keeper directly.

        :returns: ``None`` if it was not sent, since that needs waiting
        """
        if self._relays_to(address) and self._peers():
            return None
        return await self._pool.begin(address, message, listener)

    async def request_otherwise(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send a message to a keeper that had no reply directly.

        :raises MagnoliawoodError: if the keeper rejects the message or is
            unreachable
        """
        peers = self._peers()
        if not peers:
            raise connections.PeerLost(f'no response from {address}')
        self._start_relaying(address, 'no response to a direct request')
        return await self._request_through(
            self._next(peers), address, message, timeout
        )

    async def request(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send a message to a keeper and return its reply.

        :raises MagnoliawoodError: if the keeper rejects the message or is
            unreachable
        """
        peers = self._peers()
        if not peers:
            return await self._pool.request(address, message, timeout)
        if not self._relays_to(address):
            try:
                return await self._pool.request(
                    address, message, DIRECT_TIMEOUT
                )
            except connections.PeerLost as error:
                self._start_relaying(address, str(error))
        return await self._request_through(
            self._next(peers), address, message, timeout
        )

    def _relays_to(self, address: str) -> bool:
        now = self._clock.monotonic()
        return self._relay_until.get(address, now) > now

    def _next(self, peers: list[str]) -> str:
        return peers[next(self._peer_counter) % len(peers)]

    def _start_relaying(self, address: str, reason: str) -> None:
        now = self._clock.monotonic()
        self._relay_until[address] = now + RELAY_PERIOD
        _log.warning(
            'keeper not reachable directly; requests are relayed',
            extra={'keeper': address, 'reason': reason},
        )

    async def _request_through(
        self,
        peer: str,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        request_frame = frames.encode(frames.Frame(1, True, message))
        reply = await self._pool.request(
            peer, messages.RelayQuestion(address, request_frame), timeout
        )
        return _decode(reply.answer)


async def relay(
    pool: pools.PeerPool,
    request: messages.RelayQuestion,
    timeout: datetime.timedelta,
) -> messages.RelayedAnswer:
    """Forward a request of another gateway to a keeper.

    :raises MagnoliawoodError: if the keeper rejects the request or is
        unreachable
    """
    reply = await pool.request(
        request.address, _decode(request.question), timeout
    )
    return messages.RelayedAnswer(frames.encode(frames.Frame(1, True, reply)))


def _decode(data: bytes) -> typing.Any:
    return frames.decode(data[frames.PREFIX_SIZE_BYTES :]).message
