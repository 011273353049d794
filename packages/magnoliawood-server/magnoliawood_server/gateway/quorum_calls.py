"""Sends one question to several peers until enough have answered."""

import collections.abc
import dataclasses
import datetime
import typing

import curio

from magnoliawood.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class PeerRequest:
    """A message for one peer.

    :param peer: name of the peer, for the one who counts answers
    """

    peer: str
    address: str
    message: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReply:
    """What came of a question: a reply or an error."""

    peer: str
    reply: typing.Any = None
    error: errors.MagnoliawoodError | None = None


class Requester(typing.Protocol):
    """Sends one message to a peer and returns its answer."""

    async def request(
        self,
        address: str,
        message: typing.Any,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Ask a peer.

        :raises MagnoliawoodError: if it refuses or does not answer
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumResult:
    """What came of several questions.

    :param found: the answers so far, errors included
    :param slow_peers: peers that had not answered when further ones were asked
    """

    found: list[PeerReply]
    slow_peers: list[str]


async def request_until(
    requester: Requester,
    peer_requests: collections.abc.Sequence[PeerRequest],
    timeout: datetime.timedelta,
    is_enough: collections.abc.Callable[[list[PeerReply]], bool],
    first: int | None = None,
    hedge_delay: datetime.timedelta = datetime.timedelta(),
) -> QuorumResult:
    """Ask peers and return when enough have answered.

    Explanation
    ===========

    The other questions go on, so that a slow copy still gets its record;
    breaking off a write would cost its connection.

    :param first: how many to ask at once; one more for each error, and the
        others when the patience ends; all if ``None``
    """
    arrived: curio.Queue = curio.Queue()
    waiting = list(peer_requests)
    pending: set[str] = set()
    found: list[PeerReply] = []
    slow_peers: list[str] = []

    async def ask_next(count: int) -> None:
        for peer_request in waiting[:count]:
            pending.add(peer_request.peer)
            await curio.spawn(
                _request,
                requester,
                peer_request,
                timeout,
                arrived,
                daemon=True,
            )
        del waiting[:count]

    await ask_next(len(waiting) if first is None else first)
    while len(found) < len(peer_requests) and not is_enough(found):
        answer = await _next_answer(arrived, hedge_delay if waiting else None)
        if answer is None:
            slow_peers = sorted(pending)
            await ask_next(len(waiting))
            continue
        found.append(answer)
        pending.discard(answer.peer)
        if answer.error is not None:
            await ask_next(1)
    return QuorumResult(found, slow_peers)


async def _next_answer(
    arrived: curio.Queue, hedge_delay: datetime.timedelta | None
) -> PeerReply | None:
    """Return the next answer, or nothing if the patience ends before."""
    if hedge_delay is None:
        return await arrived.get()
    async with curio.ignore_after(hedge_delay.total_seconds()):
        return await arrived.get()
    return None


async def _request(
    requester: Requester,
    peer_request: PeerRequest,
    timeout: datetime.timedelta,
    arrived: curio.Queue,
) -> None:
    try:
        reply = await requester.request(
            peer_request.address, peer_request.message, timeout
        )
        answer = PeerReply(peer_request.peer, reply)
    except errors.MagnoliawoodError as error:
        answer = PeerReply(peer_request.peer, error=error)
    await arrived.put(answer)
