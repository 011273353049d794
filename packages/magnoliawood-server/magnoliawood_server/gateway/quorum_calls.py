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
    requester: Requester,
    peer_requests: collections.abc.Sequence[PeerRequest],
    timeout: datetime.timedelta,
    is_enough: collections.abc.Callable[[list[PeerReply]], bool],
    first: int | None = None,
    hedge_delay: datetime.timedelta = datetime.timedelta(),
) -> QuorumResult:
    """Send requests to peers and return when enough have replied.

    Explanation
    ===========

    The remaining requests continue in the background, so that a slow replica
    still receives its record. Cancelling a write would require its connection
    to be closed.

    :param is_enough: whether the replies so far are sufficient
    :param first: number of requests to send at once, all if ``None``; one
        more is sent after each error, and all others after the hedge delay
    :param hedge_delay: time without a reply after which the remaining
        requests are sent
    """
    reply_queue: curio.Queue = curio.Queue()
    unsent = list(peer_requests)
    pending: set[str] = set()
    replies: list[PeerReply] = []
    slow_peers: list[str] = []

    async def send_next(count: int) -> None:
        for peer_request in unsent[:count]:
            pending.add(peer_request.peer)
            await curio.spawn(
                _request,
                requester,
                peer_request,
                timeout,
                reply_queue,
                daemon=True,
            )
        del unsent[:count]

    await send_next(len(unsent) if first is None else first)
    while len(replies) < len(peer_requests) and not is_enough(replies):
        peer_reply = await _next_reply(
            reply_queue, hedge_delay if unsent else None
        )
        if peer_reply is None:
            slow_peers = sorted(pending)
            await send_next(len(unsent))
            continue
        replies.append(peer_reply)
        pending.discard(peer_reply.peer)
        if peer_reply.error is not None:
            await send_next(1)
    return QuorumResult(replies, slow_peers)


async def _next_reply(
    reply_queue: curio.Queue, hedge_delay: datetime.timedelta | None
) -> PeerReply | None:
    """Return the next reply, or ``None`` after the hedge delay."""
    if hedge_delay is None:
        return await reply_queue.get()
    async with curio.ignore_after(hedge_delay.total_seconds()):
        return await reply_queue.get()
    return None


async def _request(
    requester: Requester,
    peer_request: PeerRequest,
    timeout: datetime.timedelta,
    reply_queue: curio.Queue,
) -> None:
    try:
        reply = await requester.request(
            peer_request.address, peer_request.message, timeout
        )
        peer_reply = PeerReply(peer_request.peer, reply)
    except errors.MagnoliawoodError as error:
        peer_reply = PeerReply(peer_request.peer, error=error)
    await reply_queue.put(peer_reply)
