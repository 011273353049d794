"""Sends the response to one request of a caller."""

import datetime
import typing

import curio

from magnoliawood.budgets import client_budget
from magnoliawood_server.http import connection as connections
from magnoliawood_server.http import response_framing

# Pause before memory for a response is asked for again.
_ROOM_PAUSE = datetime.timedelta(milliseconds=50)


class Connection(typing.Protocol):
    """Connection on which a response is sent."""

    holding: client_budget.Holding

    @property
    def is_closing(self) -> bool:
        """Whether the connection closes after the next response."""
        ...

    async def send(self, data: bytes | memoryview) -> None:
        """Send data."""
        ...


class Responder:
    """Sends the response to one request."""

    def __init__(
        self,
        connection: Connection,
        framing: response_framing.ResponseFraming,
    ) -> None:
        self._connection = connection
        self._framing = framing
        self._is_started = False

    @property
    def is_started(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._is_started

    async def send_complete(
        self, status: int, headers: connections.Headers, body: bytes
    ) -> None:
        """Send a response whose whole body is available."""
        self._is_started = True
        is_last = self._connection.is_closing
        parts = self._framing.complete_parts(status, headers, body, is_last)
        for part in parts:
            await self._connection.send(part)

    async def take_memory(self, size: int) -> bool:
        """Take memory for the request, before it runs.

        :returns: whether it was taken
        """
        return await self._connection.holding.take(size)

    async def take_memory_for_response(self, size: int) -> None:
        """Take memory for a response, and wait until there is some.

        While it waits, the request may have to give way to others.
        """
        holding = self._connection.holding
        if await holding.take(size):
            return
        holding.wait_for_client()
        while not holding.is_lost and not await holding.take(size):
            await curio.sleep(_ROOM_PAUSE.total_seconds())
        holding.begin_serving()

    async def start(
        self, status: int, headers: connections.Headers, data: bytes
    ) -> None:
        """Send the head and the first part of a chunked response."""
        self._is_started = True
        is_last = self._connection.is_closing
        await self._connection.send(
            self._framing.start(status, headers, data, is_last)
        )

    async def send_part(self, data: bytes) -> None:
        """Send a further part of a chunked response."""
        await self._connection.send(self._framing.part(data))

    async def finish(self, data: bytes = b'') -> None:
        """Send the end of a chunked response, which marks it as complete.

        :param data: last part, sent in the same write
        """
        part = self._framing.part(data) if data else b''
        await self._connection.send(part + self._framing.end())
