"""A gateway's path of a request, between a caller and scripted upstreams."""

import contextlib
import dataclasses
import datetime
import socket
import struct
import types

import curio
import h11

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import selection
from magnoliawood.limits import crash_list
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import fingerprint as request_fingerprints
from magnoliawood_server.gateway import handler as handlers
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.gateway import stream_guard
from magnoliawood_server.gateway import upstream_announcements
from magnoliawood_server.gateway import upstream_pool

EVENTS = tuple(
    b'id: %d\ndata: word-%d\n\n' % (number, number) for number in (1, 2, 3)
)
OUTPUT = b'word-1\nword-2\nword-3\n'
STREAM_TYPE = b'text/event-stream'
_PERIOD = datetime.timedelta(minutes=1)
_MAX_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True)
class Reply:
    """What an upstream sends in answer to one request, before it closes.

    :param is_reset: whether its connection is reset in place of closed
    """

    data: bytes
    is_reset: bool = False


@dataclasses.dataclass(frozen=True)
class Received:
    """What a caller has received when its connection is closed.

    :param is_complete: whether it takes the answer for complete
    :param extra: data after the answer
    :param turns: outputs of the turns that were stored
    :param resumed_at: event after which each attempt was to go on
    """

    status: int | None
    body: bytes
    is_complete: bool
    extra: bytes
    turns: list[bytes]
    resumed_at: list[bytes]


def framed(parts, framing, status=200, content_type=STREAM_TYPE):
    """Return an answer with a length, with chunks or with neither."""
    body = b''.join(parts)
    fields = {
        'length': b'content-length: %d\r\n' % len(body),
        'chunks': b'transfer-encoding: chunked\r\n',
        'neither': b'',
    }
    head = (
        b'HTTP/1.1 %d X\r\nrequest-id: r-1\r\nserver-stamp: s\r\n'
        b'content-type: %b\r\n%b\r\n' % (status, content_type, fields[framing])
    )
    if framing == 'chunks':
        chunks = [b'%x\r\n%b\r\n' % (len(part), part) for part in parts]
        body = b''.join(chunks) + b'0\r\nserver-leaving: 0\r\n\r\n'
    return head + body


class _Guard:
    """Replaces what stores turns.

    :param is_away: whether nothing can be stored
    """

    def __init__(self, is_away):
        self.turns = []
        self._is_away = is_away

    async def admit(self, metadata, route, account, stream, *memory):
        return types.SimpleNamespace(
            history_parts=[], retention_period=_PERIOD
        )

    async def store_turn(self, turn, input_bytes, output, tokens, deadline):
        if self._is_away:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE, 'disks are away'
            )
        self.turns.append(output)

    async def settle(self, turn, tokens):
        return


class _Streams:
    """Replaces what stores the origins of streams."""

    async def bind(self, metadata, route, service):
        return stream_guard.StreamBinding()

    async def begin_attempt(self, binding, request_id, upstream):
        return

    async def confirm(self, binding):
        return


def _route(is_resumable, keeps_history):
    return configurations.Route(
        'route',
        'app',
        '/',
        configurations.RequestKind.STREAMING,
        _PERIOD,
        _PERIOD,
        0,
        (configurations.ServiceShare('llm'),),
        _MAX_ATTEMPTS,
        keeps_history,
        _PERIOD,
        is_resumable,
    )


class _Permits:
    """Replaces the permits: no upstream names a rate limit."""

    def known_wait(self, upstream, rank):
        return None

    async def take(self, upstream, rank):
        return None

    def prices(self, upstreams):
        return {}


class _Jobs:
    """Replaces the factory: each request is for the same route."""

    def __init__(self, route, clock):
        self._route = route
        self._clock = clock

    def make(self, request, metadata, responder, is_known):
        return jobs.Job(
            request,
            metadata,
            responder,
            self._route,
            'llm',
            self._clock.monotonic() + _PERIOD,
            request_fingerprints.Fingerprints('content', ('c',), 'prefix'),
        )


class _Upstreams:
    """Listeners that answer the requests with the replies in turn."""

    def __init__(self, replies):
        self._replies = list(replies)
        self.resumed_at = []

    async def serve(self, listener):
        while True:
            connection, _ = await listener.accept()
            async with connection:
                await self._answer(connection)

    async def _answer(self, connection):
        head = await connection.recv(65536)
        fields = head.split(b'last-event-id: ')[1:]
        last_id = fields[0].split(b'\r\n')[0] if fields else b''
        self.resumed_at.append(last_id)
        reply = self._replies.pop(0)
        if callable(reply):
            reply = reply(int(last_id or 0))
        with contextlib.suppress(OSError):
            await connection.sendall(reply.data)
        if reply.is_reset:
            connection._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )


def _make_handler(upstreams, route, guard):
    clock = clocks.SystemClock()
    registry = registries.Registry()
    load_tracker = loads.LoadTracker(clock)
    cluster_view = cluster_views.ClusterView(clock)
    cluster_view.directory.replace(upstreams, 1, None)
    prompts = prompt_cache.PromptCaches()
    handler = handlers.RequestHandler(
        cluster_view,
        load_tracker,
        selection.Selector(load_tracker, prompts, 'dc-1'),
        prompts,
        upstream_pool.UpstreamPool(clock, registry),
        guard,
        _Streams(),
        quarantines.Quarantine(crash_list.CrashList(clock), clock, registry),
        upstream_announcements.UpstreamAnnouncements(
            cluster_view.directory, registry
        ),
        _Permits(),
        clock,
        registry,
    )
    handler._jobs = _Jobs(route, clock)
    return handler


async def play(
    replies,
    headers=b'',
    is_resumable=True,
    keeps_history=True,
    method=b'POST',
    is_store_away=False,
):
    """Send one request and return what its caller gets.

    :param replies: answers of the upstreams to the attempts; a function gets
        the id of the last event that the caller has
    """
    upstreams = _Upstreams(replies)
    guard = _Guard(is_store_away)
    async with contextlib.AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(curio.TaskGroup(wait=None))
        known = []
        for number in range(_MAX_ATTEMPTS):
            listener = await stack.enter_async_context(
                curio.tcp_server_socket('127.0.0.1', 0)
            )
            address = f'127.0.0.1:{listener.getsockname()[1]}'
            known.append(
                directories.Upstream(f'i-{number}', 'llm', address, 'dc-1', 8)
            )
            await tasks.spawn(upstreams.serve, listener)
        route = _route(is_resumable, keeps_history)
        handler = _make_handler(known, route, guard)
        answer = await _call(
            handler,
            method + b' / HTTP/1.1\r\nhost: app\r\nrequest-id: r-1\r\n'
            b'connection: close\r\n%bcontent-length: 0\r\n\r\n' % headers,
        )
    return Received(*_parse(answer, method), guard.turns, upstreams.resumed_at)


async def _call(handler, request):
    ours, theirs = socket.socketpair()
    with theirs:
        theirs.sendall(request)
        async with curio.io.Socket(ours) as sock:
            connection = callers.CallerConnection(
                sock,
                handler.handle,
                configurations.CallerLimits,
                callers.CallerActivity(),
                clocks.SystemClock(),
            )
            await connection.run()
        answer = b''
        while part := theirs.recv(65536):
            answer += part
        return answer


def _parse(answer, method):
    """Return status, body, whether it is complete, and data after it."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(
        h11.Request(method=method, target='/', headers=[('host', 'app')])
    )
    parser.send(h11.EndOfMessage())
    parser.receive_data(answer)
    parser.receive_data(b'')
    status, body = None, b''
    try:
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif not isinstance(event, h11.InformationalResponse):
                return status, body, False, b''
    except h11.RemoteProtocolError:
        return status, body, False, b''
    return status, body, True, parser.trailing_data[0]
