"""Sends requests to several peers until enough have replied."""

import collections.abc
import dataclasses
import datetime
import typing

import curio

from magnoliawood.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRequest:
    """Message to one peer.

    :param peer: name of the peer, by which its reply is identified
    """

    peer: str
    address: str
    message: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReply:
    """Outcome of a request to a peer: a reply or an error."""

    peer: str
    reply: typing.Any = None
    error: errors.MagnoliawoodError | None = None


class OpenRequest(typing.Protocol):
    """Protocol of requests that were sent and whose reply is awaited."""

    def close(self) -> None:
        """Stop listening; a reply that arrives later is ignored."""
        ...


ReplyListener = collections.abc.Callable[
    [typing.Any, errors.MagnoliawoodError | None],
    collections.abc.Awaitable[None],
]
_Ask = collections.abc.Callable[
    [str, typing.Any, datetime.timedelta],
    collections.abc.Awaitable[typing.Any],
]


class Requester(typing.Protocol):
    """Protocol of objects that send a message to a peer."""

    async def request(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send a message to a peer and return its reply.

        :raises MagnoliawoodError: if the peer rejects the message or does
            not respond
        """
        ...


class RoundRequester(Requester, typing.Protocol):
    """Protocol of objects that send messages to several peers at once."""

    @property
    def direct_timeout(self) -> datetime.timedelta:
        """Time after which a request is sent in another way."""
        ...

    async def begin(
        self, address: str, message: typing.Any, listener: ReplyListener
    ) -> OpenRequest | None:
        """Send a message whose reply or error is passed to a listener.

        :returns: ``None`` if it was not sent, since that needs waiting
        """
        ...

    async def request_otherwise(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send a message again that was lost, or had no reply in time.

        :raises MagnoliawoodError: if the peer rejects the message or there
            is no other way to it
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumResult:
    """Outcome of requests to several peers.

    :param peer_replies: replies received so far, including errors
    :param slow_peers: peers that had not replied when hedged requests were
        sent to further peers
    """

    peer_replies: list[PeerReply]
    slow_peers: list[str]


async def request_until(
    requester: RoundRequester,
    peer_requests: collections.abc.Sequence[PeerRequest],
    timeout: datetime.timedelta,
    is_enough: collections.abc.Callable[[list[PeerReply]], bool],
    first: int | None = None,
    hedge_delay: datetime.timedelta = datetime.timedelta(),
) -> QuorumResult:
    """Send requests to peers and return when enough have replied.

    Explanation
    ===========

    Requests that were sent are not withdrawn, so that a slow replica still
    receives its record.

    :param is_enough: whether the replies so far are sufficient
    :param first: number of requests to send at once, all if ``None``; one
        more is sent after each error, and all others after the hedge delay
    :param hedge_delay: time without a reply after which the remaining
        requests are sent
    """
    quorum_round = _Round(requester, peer_requests, timeout, is_enough)
    try:
        return await quorum_round.run(first, hedge_delay)
    finally:
        quorum_round.close()


class _Round:
    """Requests to several peers, for whose replies one task waits."""

    def __init__(
        self,
        requester: RoundRequester,
        peer_requests: collections.abc.Sequence[PeerRequest],
        timeout: datetime.timedelta,
        is_enough: collections.abc.Callable[[list[PeerReply]], bool],
    ) -> None:
        self._requester = requester
        self._timeout = timeout
        self._is_enough = is_enough
        self._unsent = list(peer_requests)
        self._size = len(peer_requests)
        # Peers whose reply is awaited.
        self._pending: set[str] = set()
        # Those of them that are asked without a task, with their request.
        self._begun: dict[str, tuple[PeerRequest, OpenRequest]] = {}
        self._replies: list[PeerReply] = []
        # Number of replies when the task last waited.
        self._seen = 0
        # Errors for which no further peer has been asked.
        self._errors = 0
        self._changed = curio.Event()

    async def run(
        self, first: int | None, hedge_delay: datetime.timedelta
    ) -> QuorumResult:
        slow_peers: list[str] = []
        await self._send_next(self._size if first is None else first)
        while not self._is_done():
            if self._unsent:
                if not await self._has_changed(hedge_delay):
                    slow_peers = sorted(self._pending)
                    await self._send_next(len(self._unsent))
            elif not await self._has_changed(self._reply_timeout()):
                await self._ask_otherwise()
            # Each error makes room for one further request.
            while self._errors and self._unsent:
                self._errors -= 1
                await self._send_next(1)
        return QuorumResult(list(self._replies), slow_peers)

    def close(self) -> None:
        """Ignore replies that arrive later."""
        for _, request in self._begun.values():
            request.close()
        self._begun.clear()

    def _is_done(self) -> bool:
        return len(self._replies) == self._size or self._is_enough(
            self._replies
        )

    def _reply_timeout(self) -> datetime.timedelta | None:
        """Return the time to wait for a reply to what was sent directly."""
        if not self._begun:
            # Each task of a request has a timeout of its own.
            return None
        return min(self._timeout, self._requester.direct_timeout)

    async def _has_changed(self, limit: datetime.timedelta | None) -> bool:
        """Wait until enough replied, or one failed, or no reply came."""
        if limit is None:
            await self._changed.wait()
        else:
            async with curio.ignore_after(limit.total_seconds()):
                await self._changed.wait()
        self._changed.clear()
        seen, self._seen = self._seen, len(self._replies)
        return self._seen > seen

    async def _send_next(self, count: int) -> None:
        sent, self._unsent = self._unsent[:count], self._unsent[count:]
        for peer_request in sent:
            self._pending.add(peer_request.peer)
            await self._send(peer_request)

    async def _send(self, peer_request: PeerRequest) -> None:
        async def listen(
            reply: typing.Any, error: errors.MagnoliawoodError | None
        ) -> None:
            self._begun.pop(peer_request.peer, None)
            if error is not None and error.code is errors.ErrorCode.PEER_LOST:
                await self._spawn(
                    self._requester.request_otherwise, peer_request
                )
            else:
                await self._take(PeerReply(peer_request.peer, reply, error))

        request = await self._requester.begin(
            peer_request.address, peer_request.message, listen
        )
        if request is None:
            await self._spawn(self._requester.request, peer_request)
        else:
            self._begun[peer_request.peer] = peer_request, request

    async def _ask_otherwise(self) -> None:
        """Ask the peers that did not reply to what was sent directly."""
        begun, self._begun = self._begun, {}
        for peer_request, request in begun.values():
            request.close()
            await self._spawn(self._requester.request_otherwise, peer_request)

    async def _spawn(self, ask: _Ask, peer_request: PeerRequest) -> None:
        await curio.spawn(self._ask, ask, peer_request, daemon=True)

    async def _ask(self, ask: _Ask, peer_request: PeerRequest) -> None:
        try:
            reply = await ask(
                peer_request.address, peer_request.message, self._timeout
            )
            peer_reply = PeerReply(peer_request.peer, reply)
        except errors.MagnoliawoodError as error:
            peer_reply = PeerReply(peer_request.peer, error=error)
        await self._take(peer_reply)

    async def _take(self, peer_reply: PeerReply) -> None:
        """Record a reply, and wake the task if that changes what it does."""
        if self._is_done():
            return
        self._replies.append(peer_reply)
        self._pending.discard(peer_reply.peer)
        self._errors += peer_reply.error is not None
        if peer_reply.error is not None or self._is_done():
            await self._changed.set()
