"""State of a call that a sidecar accepted."""

import datetime

import curio

from magnoliawood_server.http import body_memory
from magnoliawood_server.http import client as http_client
from magnoliawood_server.peer import messages
from magnoliawood_server.runtime import response_buffer as response_buffers

# Copies of a response until it ends: as it is read, its text, and the message
# in which it is sent.
_COPIES = 3


class CallRun:
    """A call from its acceptance to its outcome.

    :param order: the request to run the call
    :param queued_at: monotonic time at which the call was accepted
    :param take: takes memory for more of its response
    :param response_limit: bytes or characters of its response at most
    """

    def __init__(
        self,
        order: messages.Order,
        queued_at: datetime.timedelta = datetime.timedelta(),
        take: http_client.Take | None = None,
        response_limit: int = http_client.BODY_LIMIT_BYTES,
    ) -> None:
        self._take = take
        self._response_limit = response_limit
        # Why its response was not kept; empty if it is.
        self.response_refusal = ''
        # Bytes or characters of the response, and the memory of its text.
        self._length = 0
        self._text_bytes = 0
        self._width = 1
        self.order = order
        self.queued_at = queued_at
        self.response = response_buffers.ResponseBuffer()
        self.task: curio.Task | None = None
        self.is_cancelled = False
        self.upstream_process_id = ''
        self.new_tokens = 0
        self.first_token_at: datetime.timedelta | None = None

    def take_body(self, size: int) -> None:
        """Take memory before more of the response's body is kept.

        :param size: in bytes
        :raises ResponseTooLong: if there is none, or the response is too long
        """
        self._check_length(size)
        self._take_memory(_COPIES * size)

    def take_decoded(self, body: bytes) -> None:
        """Take memory before a whole body is decoded.

        :raises ResponseTooLong: if there is none
        """
        # The body has taken a byte for each character.
        self._take_memory((body_memory.text_width(body) - 1) * len(body))

    def take_text(self, text: str) -> None:
        """Take memory before more text of the response is kept.

        One wide character makes all of the text as wide.

        :raises ResponseTooLong: if there is none, or the response is too long
        """
        self._check_length(len(text))
        self._width = max(self._width, body_memory.text_width(text.encode()))
        size = self._width * self._length
        self._take_memory(_COPIES * (size - self._text_bytes))
        self._text_bytes = size

    def _check_length(self, added: int) -> None:
        self._length += added
        if self._length > self._response_limit:
            self.response_refusal = 'length'
            raise http_client.ResponseTooLong('the response is too long')

    def _take_memory(self, size: int) -> None:
        if self._take is None:
            return
        try:
            self._take(size)
        except http_client.ResponseTooLong:
            self.response_refusal = 'memory'
            raise

    @property
    def caller(self) -> str:
        """Name of the caller that the program belongs to."""
        return self.order.intended.call.program.caller

    @property
    def is_suspect(self) -> bool:
        """Whether the request was running when an upstream crashed."""
        return bool(self.order.crashes)

    @property
    def is_started(self) -> bool:
        """Whether the call has left the queue."""
        return self.task is not None
