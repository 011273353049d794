"""Reaches keepers through other gateways while the direct way is cut."""

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

# After a failure the way through a peer is used for this long.
DETOUR_PERIOD = datetime.timedelta(seconds=1)
# A direct question has to be answered within this to be no detour.
DIRECT_TIMEOUT = datetime.timedelta(milliseconds=250)

_log = logging.getLogger(__name__)


class RelayingRequester:
    """Asks keepers directly, or through a peer after a failure.

    Explanation
    ===========

    A gateway may be cut off from the keepers while it still reaches the
    other gateways. All that keepers are asked may be repeated.

    :param pool: connections to keepers and gateways
    :param peers: returns the addresses of gateways that answer
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
        self._detour_until: dict[str, datetime.timedelta] = {}
        self._turns = itertools.count()

    async def request(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Ask a keeper.

        :raises MagnoliawoodError: if it refuses or can't be reached
        """
        peers = self._peers()
        if not peers:
            return await self._pool.request(address, message, timeout)
        now = self._clock.monotonic()
        if self._detour_until.get(address, now) <= now:
            try:
                return await self._pool.request(
                    address, message, DIRECT_TIMEOUT
                )
            except connections.PeerLost as error:
                self._note_detour(address, str(error))
        peer = peers[next(self._turns) % len(peers)]
        return await self._ask_through(peer, address, message, timeout)

    def _note_detour(self, address: str, reason: str) -> None:
        now = self._clock.monotonic()
        self._detour_until[address] = now + DETOUR_PERIOD
        _log.warning(
            'keeper not reached directly',
            extra={'keeper': address, 'reason': reason},
        )

    async def _ask_through(
        self,
        peer: str,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        question = frames.encode(frames.Frame(1, True, message))
        reply = await self._pool.request(
            peer, messages.RelayQuestion(address, question), timeout
        )
        return _decode(reply.answer)


async def relay(
    pool: pools.PeerPool,
    request: messages.RelayQuestion,
    timeout: datetime.timedelta,
) -> messages.RelayedAnswer:
    """Put a question of another gateway to a keeper.

    :raises MagnoliawoodError: if it refuses or can't be reached
    """
    reply = await pool.request(
        request.address, _decode(request.question), timeout
    )
    return messages.RelayedAnswer(frames.encode(frames.Frame(1, True, reply)))


def _decode(data: bytes) -> typing.Any:
    return frames.decode(data[frames.PREFIX_SIZE_BYTES :]).message
