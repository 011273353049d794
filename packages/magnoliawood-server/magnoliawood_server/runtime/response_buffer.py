"""Buffer for a streamed response with several concurrent readers."""

import collections.abc
import contextlib

import curio

from magnoliawood.budgets import client_budget
from magnoliawood.core import json_pieces
from magnoliawood.programs import call as calls
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages

# Long outcomes that are sent at the same time.
_LONG_OUTCOMES = 2


class ResponseBuffer:
    """Text of the response to a call, and its outcome once it is final."""

    def __init__(self) -> None:
        self._text = ''
        self._tokens = 0
        self._outcome: calls.CallOutcome | None = None
        self._changed = curio.Event()

    @property
    def text(self) -> str:
        """Text received so far."""
        return self._text

    @property
    def tokens(self) -> int:
        """Number of tokens generated so far."""
        return self._tokens

    @property
    def outcome(self) -> calls.CallOutcome | None:
        """Outcome of the call, or ``None`` before it ends."""
        return self._outcome

    async def append(self, text: str, tokens: int) -> None:
        """Append text and wake all readers.

        :param tokens: number of tokens generated up to the end of ``text``
        """
        self._text += text
        self._tokens = tokens
        await self._notify()

    async def finish(self, outcome: calls.CallOutcome) -> None:
        """Set the outcome, unless one is set already."""
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
        """Wait for the outcome and return it."""
        while self._outcome is None:
            await self._changed.wait()
        return self._outcome

    async def _notify(self) -> None:
        changed, self._changed = self._changed, curio.Event()
        await changed.set()


class ResponseSender:
    """Sends responses to peers, only a few long ones at the same time.

    An outcome is one message, which is encoded as a whole.
    """

    def __init__(self) -> None:
        self._long_outcomes = curio.Semaphore(_LONG_OUTCOMES)

    async def send(
        self,
        stream: connections.Stream,
        buffer: ResponseBuffer,
        offset: int,
        load: collections.abc.Callable[[], messages.UpstreamLoad]
        | None = None,
    ) -> None:
        """Send a response from a character offset to its end.

        :param buffer: response to send, possibly still growing
        :param load: returns the load to report together with the outcome
        """
        async with contextlib.aclosing(buffer.follow(offset)) as texts:
            async for text in texts:
                for piece in json_pieces.slices(text):
                    await stream.send(messages.Delta(piece, buffer.tokens))
        outcome = await buffer.wait()
        finished = messages.Finished(outcome, load() if load else None)
        if len(outcome.content) <= client_budget.SMALL_BYTES:
            await stream.send(finished)
            return
        async with self._long_outcomes:
            await stream.send(finished)


def finished_response(outcome: calls.CallOutcome) -> ResponseBuffer:
    """Return the response buffer of a call that has ended already."""
    buffer = ResponseBuffer()
    buffer._text = outcome.content
    buffer._tokens = outcome.tokens
    buffer._outcome = outcome
    return buffer
