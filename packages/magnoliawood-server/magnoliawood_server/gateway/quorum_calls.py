"""Sends one question to several peers until enough have answered."""

import collections.abc
import dataclasses
import datetime
import typing

import curio

from magnoliawood.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A message for one peer.

    :param peer: name of the peer, for the one who counts answers
    """

    peer: str
    address: str
    message: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What came of a question: a reply or an error."""

    peer: str
    reply: typing.Any = None
    error: errors.MagnoliawoodError | None = None


class Asker(typing.Protocol):
    """Sends one message to a peer and returns its answer."""

    async def ask(
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
class Answers:
    """What came of several questions.

    :param found: the answers so far, errors included
    :param slow: peers that had not answered when further ones were asked
    """

    found: list[Answer]
    slow: list[str]


async def ask_until(
    asker: Asker,
    questions: collections.abc.Sequence[Question],
    timeout: datetime.timedelta,
    is_enough: collections.abc.Callable[[list[Answer]], bool],
    first: int | None = None,
    patience: datetime.timedelta = datetime.timedelta(),
) -> Answers:
    """Ask peers and return when enough have answered.

    Explanation
    ===========

    The other questions go on, so that a slow copy still gets its record;
    breaking off a write would cost its connection.

    :param first: how many to ask at once; one more for each error, and the
        others when the patience ends; all if ``None``
    """
    arrived: curio.Queue = curio.Queue()
    waiting = list(questions)
    pending: set[str] = set()
    found: list[Answer] = []
    slow: list[str] = []

    async def ask_next(count: int) -> None:
        for question in waiting[:count]:
            pending.add(question.peer)
            await curio.spawn(
                _ask, asker, question, timeout, arrived, daemon=True
            )
        del waiting[:count]

    await ask_next(len(waiting) if first is None else first)
    while len(found) < len(questions) and not is_enough(found):
        answer = await _next_answer(arrived, patience if waiting else None)
        if answer is None:
            slow = sorted(pending)
            await ask_next(len(waiting))
            continue
        found.append(answer)
        pending.discard(answer.peer)
        if answer.error is not None:
            await ask_next(1)
    return Answers(found, slow)


async def _next_answer(
    arrived: curio.Queue, patience: datetime.timedelta | None
) -> Answer | None:
    """Return the next answer, or nothing if the patience ends before."""
    if patience is None:
        return await arrived.get()
    async with curio.ignore_after(patience.total_seconds()):
        return await arrived.get()
    return None


async def _ask(
    asker: Asker,
    question: Question,
    timeout: datetime.timedelta,
    arrived: curio.Queue,
) -> None:
    try:
        reply = await asker.ask(question.address, question.message, timeout)
        answer = Answer(question.peer, reply)
    except errors.MagnoliawoodError as error:
        answer = Answer(question.peer, error=error)
    await arrived.put(answer)
