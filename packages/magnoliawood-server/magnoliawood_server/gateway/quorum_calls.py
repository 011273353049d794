"""Sends one question to several peers and takes the first good answers."""

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


async def ask_all(
    asker: Asker,
    questions: collections.abc.Sequence[Question],
    timeout: datetime.timedelta,
    is_enough: collections.abc.Callable[[list[Answer]], bool],
) -> list[Answer]:
    """Ask all at once and return when enough have answered.

    Explanation
    ===========

    The other questions go on, so that a slow copy still gets its record;
    breaking off a write would cost its connection.

    :returns: the answers so far, errors included
    """
    arrived: curio.Queue = curio.Queue()
    for question in questions:
        await curio.spawn(_ask, asker, question, timeout, arrived, daemon=True)
    answers: list[Answer] = []
    while len(answers) < len(questions) and not is_enough(answers):
        answers.append(await arrived.get())
    return answers


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
