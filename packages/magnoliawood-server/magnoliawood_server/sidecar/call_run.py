"""State of a call that a sidecar accepted."""

import datetime

import curio

from magnoliawood_server.http import client as http_client
from magnoliawood_server.peer import messages
from magnoliawood_server.runtime import response_buffer as response_buffers


class CallRun:
    """A call from its acceptance to its outcome.

    :param order: the request to run the call
    :param queued_at: monotonic time at which the call was accepted
    :param take: takes memory for more of its response
    """

    def __init__(
        self,
        order: messages.Order,
        queued_at: datetime.timedelta = datetime.timedelta(),
        take: http_client.Take | None = None,
    ) -> None:
        self._take = take
        self._response_bytes = 0
        self.order = order
        self.queued_at = queued_at
        self.response = response_buffers.ResponseBuffer()
        self.task: curio.Task | None = None
        self.is_cancelled = False
        self.upstream_process_id = ''
        self.new_tokens = 0
        self.first_token_at: datetime.timedelta | None = None

    def take_response(self, size: int) -> None:
        """Take memory before more of the response is kept.

        :param size: in bytes
        :raises ResponseTooLong: if there is none, or the response is too long
        """
        self._response_bytes += size
        if self._response_bytes > http_client.BODY_LIMIT_BYTES:
            raise http_client.ResponseTooLong('the response is too long')
        if self._take is not None:
            self._take(size)

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
