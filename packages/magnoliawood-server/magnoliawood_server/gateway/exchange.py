"""One attempt of a request at one upstream."""

import collections.abc
import dataclasses
import datetime
import enum

import curio

from magnoliawood.fleet import directory
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import events as event_streams
from magnoliawood_server.gateway import upstream_pool
from magnoliawood_server.http import client as http_client
from magnoliawood_server.http import connection as connections
from magnoliawood_server.platform import requests

_SUCCESS = range(200, 300)


class Ending(enum.StrEnum):
    """How an attempt ended.

    ``REFUSED`` and ``UNREACHABLE`` mean that it did not run, ``FAILED``
    that it may have run. ``FORGOTTEN`` may have run as well, but the upstream
    is well: it had dropped the idle connection.
    """

    DELIVERED = 'delivered'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    FORGOTTEN = 'forgotten'

    @property
    def is_upstreams_fault(self) -> bool:
        """Whether the upstream should be avoided for a while."""
        return self not in (Ending.REFUSED, Ending.FORGOTTEN)

    @property
    def has_not_run(self) -> bool:
        """Whether the attempt certainly did not run."""
        return self in (
            Ending.REFUSED,
            Ending.UNREACHABLE,
            Ending.MISDIRECTED,
        )


@dataclasses.dataclass(slots=True)
class Delivery:
    """What the caller has received so far.

    :param events: events that were sent to it
    :param last_event_id: number of the last one
    :param output: data of the events, each followed by a line feed
    """

    events: int = 0
    last_event_id: int | None = None
    output: bytearray = dataclasses.field(default_factory=bytearray)

    def note(
        self, found: collections.abc.Iterable[event_streams.StreamEvent]
    ) -> None:
        """Note events that are about to be sent."""
        for event in found:
            self.events += 1
            self.output += event.data + b'\n'
            if event.id is not None:
                self.last_event_id = event.id


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Ending of an attempt, with the reason in words.

    :param is_lost: whether the upstream broke the connection
    :param is_unanswered: whether that was before any answer
    """

    ending: Ending
    reason: str = ''
    is_lost: bool = False
    is_unanswered: bool = False


BeforeEnd = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class Exchange:
    """Sends a request to one upstream and its response to the caller.

    :param before_end: called before a whole stream is ended towards the
        caller
    """

    def __init__(
        self,
        pool: upstream_pool.UpstreamPool,
        request: callers.CallerRequest,
        body: bytes,
        responder: callers.Responder,
        delivery: Delivery,
        before_end: BeforeEnd,
    ) -> None:
        self._pool = pool
        self._request = request
        self._body = body
        self._responder = responder
        self._delivery = delivery
        self._before_end = before_end

    async def run(
        self, upstream: directory.Upstream, time_left: datetime.timedelta
    ) -> Result:
        """Run one attempt.

        :raises OSError: if the caller is gone
        """
        try:
            connection = await self._pool.acquire(upstream)
        except http_client.ConnectFailed as error:
            return Result(Ending.UNREACHABLE, str(error))
        try:
            result = await self._run(connection, upstream, time_left)
            if result.ending is Ending.FAILED:
                return await self._explain(result, upstream, connection)
            await self._pool.release_connection(upstream, connection)
            return result
        finally:
            if not connection.can_be_reused:
                await connection.close()

    async def _explain(
        self,
        result: Result,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> Result:
        """Tell a forgotten connection from an upstream that failed."""
        may_be_forgotten = result.is_lost and result.is_unanswered
        if may_be_forgotten and await self._pool.was_closed_while_idle(
            upstream, connection
        ):
            return Result(Ending.FORGOTTEN, result.reason)
        return result

    async def _run(
        self,
        connection: connections.ClientConnection,
        upstream: directory.Upstream,
        time_left: datetime.timedelta,
    ) -> Result:
        last_event_id = self._delivery.last_event_id
        headers = requests.upstream_headers(
            self._request.headers, upstream.id, time_left, last_event_id
        )
        try:
            await connection.send(
                self._request.method,
                self._request.target,
                headers,
                self._body,
            )
            head = await connection.read_head()
        except OSError as error:
            return _failed(error, is_unanswered=True)
        try:
            answer = requests.decode_response_head(
                head.status_code, head.headers
            )
            if answer.is_stream and answer.status in _SUCCESS:
                if not answer.is_signed:
                    return Result(Ending.FAILED, 'response not signed')
                return await self._relay(connection, answer)
            body = await connection.read_full_body()
        except OSError as error:
            return _failed(error)
        return await self._deliver_whole(answer, body)

    async def _deliver_whole(
        self, answer: requests.UpstreamResponse, body: bytes
    ) -> Result:
        if answer.is_other_incarnation:
            return Result(Ending.MISDIRECTED, 'another upstream answered')
        if not answer.has_run:
            return Result(Ending.REFUSED, f'status {answer.status}')
        if not answer.is_signed:
            return Result(Ending.FAILED, 'response not signed')
        if self._responder.is_started:
            # The stream went on elsewhere and failed there.
            return Result(Ending.FAILED, f'status {answer.status}')
        await self._responder.send_complete(
            answer.status, list(answer.headers), body
        )
        return Result(Ending.DELIVERED, f'status {answer.status}')

    async def _relay(
        self,
        connection: connections.ClientConnection,
        answer: requests.UpstreamResponse,
    ) -> Result:
        splitter = event_streams.EventSplitter()
        parts = connection.read_body()
        while True:
            try:
                part = await anext(parts)
            except StopAsyncIteration:
                break
            except OSError as error:
                return _failed(error)
            await self._pass_on(answer, splitter.feed(part))
        if splitter.remainder:
            return Result(Ending.FAILED, 'stream ended within an event')
        if not self._responder.is_started:
            await self._responder.send_complete(
                answer.status, list(answer.headers), b''
            )
            return Result(Ending.DELIVERED, 'no events')
        await self._before_end()
        await self._responder.finish()
        return Result(Ending.DELIVERED)

    async def _pass_on(
        self,
        answer: requests.UpstreamResponse,
        found: list[event_streams.StreamEvent],
    ) -> None:
        if not found:
            return
        self._delivery.note(found)
        data = b''.join(event.raw for event in found)
        if self._responder.is_started:
            await self._responder.send_part(data)
        else:
            await self._responder.start(
                answer.status, list(answer.headers), data
            )


def _failed(error: OSError, is_unanswered: bool = False) -> Result:
    """Return the result of an attempt whose connection failed."""
    reason = str(error) or type(error).__name__
    is_lost = not isinstance(error, connections.MalformedReply)
    return Result(Ending.FAILED, reason, is_lost, is_unanswered)


async def run_with_timeout(
    limit: datetime.timedelta,
    running: collections.abc.Awaitable[Result],
) -> Result | None:
    """Return the result of an attempt, or nothing if time runs out."""
    async with curio.ignore_after(max(0.0, limit.total_seconds())):
        return await running
    return None
