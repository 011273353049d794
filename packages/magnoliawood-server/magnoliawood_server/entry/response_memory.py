"""Memory of the response to one request of a caller."""

import sys
import typing

from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood_server.http import message as http_message
from magnoliawood_server.peer import messages

# Less than this is not taken, since ordinary responses are short.
_STEP_BYTES = 16 * 1024


class ResponseMemory:
    """Takes memory for the parts of a response as they arrive.

    Explanation
    ===========

    How long the response of a call will be is not known before it ran. If
    there is no memory for it, the call has run or runs; its outcome is
    recorded, and the caller may ask for it again.

    :param reserve: takes memory until the end of the response
    :param keeps_text: whether the parts of the text are kept until the client
        has read them; the outcome always is
    :param verdict: of the refusal, if there is none
    """

    def __init__(
        self,
        reserve: http_message.Reserve,
        keeps_text: bool = False,
        verdict: verdicts.Verdict = verdicts.Verdict.MAY_HAVE_RUN,
    ) -> None:
        self._reserve = reserve
        self._keeps_text = keeps_text
        self._verdict = verdict
        # Memory of what has arrived, beyond what was taken.
        self._missing_bytes = 0

    async def take_ahead(self, size: int) -> None:
        """Take the memory of a response that is about to be asked for.

        :param size: in bytes
        :raises MagnoliawoodError: with ``host_overloaded`` if there is none
        """
        await self._reserve(size)
        self._missing_bytes -= size

    async def cover(self, part: typing.Any) -> None:
        """Take the memory of a part that has arrived.

        :raises MagnoliawoodError: with ``host_overloaded`` if there is none
        """
        self._missing_bytes += self._size_of(part)
        if self._missing_bytes < _STEP_BYTES:
            return
        size, self._missing_bytes = self._missing_bytes, 0
        try:
            await self._reserve(size)
        except errors.MagnoliawoodError as error:
            raise errors.MagnoliawoodError(
                error.code,
                f'no memory for the response of the call: {error.detail}',
                self._verdict,
                error.retry_after,
            ) from error

    def _size_of(self, part: typing.Any) -> int:
        if isinstance(part, messages.Finished):
            return sys.getsizeof(part.outcome.content)
        if isinstance(part, messages.Delta) and self._keeps_text:
            return sys.getsizeof(part.text)
        return 0
