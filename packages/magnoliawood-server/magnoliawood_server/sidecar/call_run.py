"""State of a call that a sidecar accepted."""

import datetime

import curio

from magnoliawood_server.peer import messages
from magnoliawood_server.runtime import response_buffer as response_buffers


class CallRun:
    """A call from its acceptance to its outcome.

    :param order: the request to run the call
    :param queued_at: monotonic time at which the call was accepted
    """

    def __init__(
        self,
        order: messages.Order,
        queued_at: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self.order = order
        self.queued_at = queued_at
        self.response = response_buffers.ResponseBuffer()
        self.task: curio.Task | None = None
        self.is_cancelled = False
        self.upstream_process_id = ''
        self.new_tokens = 0
        self.first_token_at: datetime.timedelta | None = None

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
