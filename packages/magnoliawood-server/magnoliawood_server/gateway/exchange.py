"""A single attempt to run a request on an upstream."""

import collections.abc
import contextlib
import dataclasses
import datetime
import enum
import typing

import curio

from magnoliawood.accounts import authentication
from magnoliawood.core import errors
from magnoliawood.fleet import directory
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import delivery as deliveries
from magnoliawood_server.gateway import event_memory
from magnoliawood_server.gateway import events as event_streams
from magnoliawood_server.gateway import upstream_pool
from magnoliawood_server.http import client as http_client
from magnoliawood_server.http import connection as connections
from magnoliawood_server.platform import names
from magnoliawood_server.platform import requests

_SUCCESS = range(200, 300)


class Ending(enum.StrEnum):
    """How an attempt ended.

    ``REFUSED``, ``UNREACHABLE`` and ``MISDIRECTED`` (another upstream
    responded) mean that the request did not run, ``FAILED`` that it may have
    run. After ``FORGOTTEN`` and ``ABANDONED`` it may have run as well, but
    the upstream is healthy: it had closed the idle connection, or the gateway
    could not use the response.
    """

    DELIVERED = 'delivered'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    MISDIRECTED = 'misdirected'
    FAILED = 'failed'
    FORGOTTEN = 'forgotten'
    ABANDONED = 'abandoned'

    @property
    def is_upstream_failure(self) -> bool:
        """Whether the upstream should be avoided for a while."""
        return self not in (
            Ending.REFUSED,
            Ending.FORGOTTEN,
            Ending.ABANDONED,
        )

    @property
    def has_not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self in (
            Ending.REFUSED,
            Ending.UNREACHABLE,
            Ending.MISDIRECTED,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of an attempt.

    :param reason: description of the ending, for logs and errors
    :param is_connection_lost: whether the connection broke, as opposed to
        a malformed response
    :param is_before_response: whether it failed before the head of the
        response was received
    :param connection_use: use of the connection; ``None`` if there was none
    :param has_started: whether events of the response were received
    :param is_malformed: whether the upstream sent what is no response
    :param status: status of a complete response, if there was one
    """

    ending: Ending
    reason: str = ''
    is_connection_lost: bool = False
    is_before_response: bool = False
    connection_use: upstream_pool.ConnectionUse | None = None
    has_started: bool = False
    is_malformed: bool = False
    status: int | None = None


Step = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class ResponseObserver(typing.Protocol):
    """Learns what upstreams say about themselves in their responses."""

    def record_head(
        self,
        upstream: directory.Upstream,
        response: requests.UpstreamResponse,
        sent_at: datetime.timedelta,
    ) -> None:
        """Record the head of a response.

        :param sent_at: monotonic time before which the request was not sent
        """
        ...

    def record_trailers(
        self, upstream: directory.Upstream, trailers: requests.Headers
    ) -> None:
        """Record the trailers of a response."""
        ...


class Exchange:
    """Sends a request to an upstream and forwards the response.

    :param body: parts of the body that is sent
    :param before_start: called before the first event of a stream is sent
        to the caller; the attempt is abandoned if it raises an error
    :param before_end: called when a successful response is complete, before
        its end is sent to the caller
    :param observer: learns what upstreams say about themselves
    :param identity: who sent the request, if accounts are declared
    """

    def __init__(
        self,
        pool: upstream_pool.UpstreamPool,
        request: callers.CallerRequest,
        body: connections.Body | bytes,
        responder: callers.Responder,
        delivery: deliveries.Delivery,
        before_start: Step,
        before_end: Step,
        observer: ResponseObserver,
        identity: authentication.Identity | None = None,
    ) -> None:
        self._pool = pool
        self._request = request
        self._body = body
        self._responder = responder
        self._delivery = delivery
        self._before_start = before_start
        self._before_end = before_end
        self._observer = observer
        self._identity = identity

    async def run(
        self,
        upstream: directory.Upstream,
        time_left: datetime.timedelta,
        may_reuse: bool = True,
    ) -> Result:
        """Run one attempt.

        :param may_reuse: whether an idle connection may be used
        :raises OSError: if the caller disconnected
        """
        request_id = dict(self._request.headers).get(names.REQUEST_ID, b'')
        try:
            connection = await self._pool.acquire(
                upstream, may_reuse, request_id
            )
        except http_client.ConnectFailed as error:
            return Result(Ending.UNREACHABLE, str(error))
        connection_use = self._pool.use_of(connection)
        events_before = self._delivery.events
        is_released = False
        try:
            result = await self._run(connection, upstream, time_left)
            result = dataclasses.replace(
                result,
                connection_use=connection_use,
                has_started=self._delivery.events > events_before,
            )
            if result.ending is Ending.FAILED:
                return await self._classify_failure(
                    result, upstream, connection
                )
            if result.ending in (Ending.REFUSED, Ending.MISDIRECTED):
                connection.mark_refused()
            is_released = True
            await self._pool.release_connection(upstream, connection)
            return result
        finally:
            if not is_released:
                await connection.close()

    async def _classify_failure(
        self,
        result: Result,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> Result:
        """Distinguish a closed idle connection from a failed upstream."""
        may_be_idle_close = (
            result.is_connection_lost and result.is_before_response
        )
        if may_be_idle_close and await self._pool.was_closed_while_idle(
            upstream, connection
        ):
            return dataclasses.replace(result, ending=Ending.FORGOTTEN)
        return result

    async def _run(
        self,
        connection: connections.ClientConnection,
        upstream: directory.Upstream,
        time_left: datetime.timedelta,
    ) -> Result:
        last_event_id = self._delivery.last_event_id
        headers = requests.upstream_headers(
            self._request.headers,
            upstream.id,
            time_left,
            last_event_id,
            self._identity,
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
            return _failed(error, is_before_response=True)
        try:
            response = requests.decode_response_head(
                head.status_code, head.headers
            )
            sent_at = self._pool.use_of(connection).acquired_at
            self._observer.record_head(upstream, response, sent_at)
            if response.is_stream and response.status in _SUCCESS:
                if response.is_encoded:
                    return Result(Ending.FAILED, 'response is encoded')
                if not response.is_signed:
                    return Result(Ending.FAILED, 'response not signed')
                result = await self._relay(connection, response)
                self._observer.record_trailers(upstream, connection.trailers)
                return result
            body = await self._read_full_body(connection)
        except callers.CallerLost:
            raise
        except OSError as error:
            return _failed(error)
        return await self._deliver_complete(response, body)

    async def _read_full_body(
        self, connection: connections.ClientConnection
    ) -> bytes:
        """Read a complete body; its memory, and a copy's, is taken first."""
        parts: list[bytes] = []
        async with contextlib.aclosing(connection.read_body()) as received:
            async for part in received:
                await self._responder.take_memory_for_response(2 * len(part))
                parts.append(part)
        return b''.join(parts)

    async def _deliver_complete(
        self, response: requests.UpstreamResponse, body: bytes
    ) -> Result:
        if response.is_other_incarnation:
            return Result(Ending.MISDIRECTED, 'another upstream responded')
        if not response.has_run:
            return Result(Ending.REFUSED, f'status {response.status}')
        if not response.is_signed:
            return Result(Ending.FAILED, 'response not signed')
        if response.is_encoded and response.status in _SUCCESS:
            return Result(Ending.FAILED, 'response is encoded')
        if self._responder.is_started:
            # An earlier attempt has already sent part of a stream, so a
            # complete response can no longer be sent.
            return Result(Ending.FAILED, f'status {response.status}')
        if response.status in _SUCCESS:
            await self._before_end()
        await self._responder.send_complete(
            response.status, list(response.headers), body
        )
        return Result(
            Ending.DELIVERED,
            f'status {response.status}',
            status=response.status,
        )

    async def _relay(
        self,
        connection: connections.ClientConnection,
        response: requests.UpstreamResponse,
    ) -> Result:
        async with contextlib.aclosing(connection.read_body()) as parts:
            return await self._relay_parts(connection, response, parts)

    async def _relay_parts(
        self,
        connection: connections.ClientConnection,
        response: requests.UpstreamResponse,
        parts: collections.abc.AsyncGenerator[bytes],
    ) -> Result:
        splitter = event_streams.EventSplitter()
        memory = event_memory.EventMemory(self._responder)
        last_events = b''
        has_joined = False
        while True:
            try:
                part = await anext(parts)
            except StopAsyncIteration:
                break
            except OSError as error:
                return _failed(error)
            await memory.cover(splitter.waiting_bytes + len(part))
            batch = splitter.feed(part)
            first = None if has_joined or not batch else batch.first_event()
            if first is not None:
                if not self._delivery.is_followed_by(first):
                    return Result(Ending.FAILED, 'not the event that follows')
                has_joined = True
            if batch and self._may_end_with(connection, splitter):
                self._delivery.record_events(batch)
                last_events = batch.raw
                continue
            try:
                await self._forward_events(response, batch)
            except errors.MagnoliawoodError as error:
                return Result(Ending.ABANDONED, str(error))
        is_empty = not has_joined and connection.has_ended_by_close
        if splitter.waiting_bytes or is_empty:
            return Result(
                Ending.FAILED,
                'stream ended before or within an event',
                is_connection_lost=True,
            )
        await self._before_end()
        if not self._responder.is_started:
            await self._responder.send_complete(
                response.status, list(response.headers), b''
            )
            return Result(Ending.DELIVERED, 'no events')
        await self._responder.finish(last_events)
        return Result(Ending.DELIVERED)

    def _may_end_with(
        self,
        connection: connections.ClientConnection,
        splitter: event_streams.EventSplitter,
    ) -> bool:
        """Return whether the latest events may be sent together with the end.

        Not where a history is kept, since storing it delays the end.
        """
        return (
            connection.is_body_complete
            and self._responder.is_started
            and not splitter.waiting_bytes
            and not self._delivery.keeps_output
        )

    async def _forward_events(
        self,
        response: requests.UpstreamResponse,
        batch: event_streams.EventBatch | None,
    ) -> None:
        if batch is None:
            return
        if self._delivery.keeps_output:
            # The output is kept, and copied once more when it is stored.
            await self._responder.take_memory_for_response(2 * len(batch.raw))
        if self._responder.is_started:
            self._delivery.record_events(batch)
            await self._responder.send_part(batch.raw)
            return
        await self._before_start()
        self._delivery.record_events(batch)
        await self._responder.start(
            response.status, list(response.headers), batch.raw
        )


def _failed(error: OSError, is_before_response: bool = False) -> Result:
    """Return the result of an attempt whose connection failed."""
    is_malformed = isinstance(error, connections.MalformedReply)
    return Result(
        Ending.FAILED,
        str(error) or type(error).__name__,
        not is_malformed,
        is_before_response,
        is_malformed=is_malformed,
    )


async def run_with_timeout(
    limit: datetime.timedelta,
    running: collections.abc.Awaitable[Result],
) -> Result | None:
    """Return the result of an attempt, or ``None`` after the time limit."""
    async with curio.ignore_after(max(0.0, limit.total_seconds())):
        return await running
    return None
