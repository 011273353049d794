"""An answer that grows while several readers follow it."""

import collections.abc
import contextlib

import curio

from magnoliawood.programs import call as calls
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages


class ResponseBuffer:
    """Text of one call's answer and, in the end, its outcome."""

    def __init__(self) -> None:
        self._text = ''
        self._tokens = 0
        self._outcome: calls.CallOutcome | None = None
        self._changed = curio.Event()

    @property
    def text(self) -> str:
        """The text so far."""
        return self._text

    @property
    def tokens(self) -> int:
        """Generated tokens so far."""
        return self._tokens

    @property
    def outcome(self) -> calls.CallOutcome | None:
        """How the call ended, once it has."""
        return self._outcome

    async def append(self, text: str, tokens: int) -> None:
        """Add text.

        :param tokens: generated tokens up to the end of ``text``
        """
        self._text += text
        self._tokens = tokens
        await self._notify()

    async def finish(self, outcome: calls.CallOutcome) -> None:
        """Set the outcome; later ones are ignored."""
        if self._outcome is None:
            self._outcome = outcome
            await self._notify()

    async def follow(
        self, offset: int = 0
    ) -> collections.abc.AsyncGenerator[str]:
        """Yield the text from ``offset`` until the outcome is set."""
        position = offset
        while True:
            if position < len(self._text):
                text = self._text[position:]
                position += len(text)
                yield text
            elif self._outcome is not None:
                return
            else:
                await self._changed.wait()

    async def wait(self) -> calls.CallOutcome:
        """Wait for the outcome."""
        while self._outcome is None:
            await self._changed.wait()
        return self._outcome

    async def _notify(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()


async def stream_response(
    stream: connections.Stream,
    answer: ResponseBuffer,
    offset: int,
    load: collections.abc.Callable[[], messages.UpstreamLoad] | None = None,
) -> None:
    """Send an answer to a peer from ``offset`` to its end.

    :param load: gives the load to state with the end
    """
    async with contextlib.aclosing(answer.follow(offset)) as texts:
        async for text in texts:
            await stream.send(messages.Delta(text, answer.tokens))
    outcome = await answer.wait()
    await stream.send(messages.Finished(outcome, load() if load else None))


def finished_response(outcome: calls.CallOutcome) -> ResponseBuffer:
    """Return the answer of a call that ended before."""
    answer = ResponseBuffer()
    answer._text = outcome.content
    answer._tokens = outcome.tokens
    answer._outcome = outcome
    return answer
