"""Memory for an event of a stream that has not ended."""

import typing

# Memory is taken in steps beyond the length of a usual event, for the event
# and for the copies that are made of it once it has ended.
_USUAL_BYTES = 8 * 1024
_STEP_BYTES = 64 * 1024
_COPIES = 3


class Source(typing.Protocol):
    """Where the memory of a response is taken from."""

    async def take_memory_for_response(self, size: int) -> None:
        """Take memory, and wait until there is some."""
        ...


class EventMemory:
    """Takes memory for the longest event of one response.

    :param source: where it is taken from
    """

    def __init__(self, source: Source) -> None:
        self._source = source
        self._covered_bytes = _USUAL_BYTES

    async def cover(self, size: int) -> None:
        """Take memory before an event becomes so long."""
        while size > self._covered_bytes:
            await self._source.take_memory_for_response(_COPIES * _STEP_BYTES)
            self._covered_bytes += _STEP_BYTES
