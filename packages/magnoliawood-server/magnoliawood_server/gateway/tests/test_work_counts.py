"""Work that a turn, a call and an event cause on the HTTP path, counted."""

import dataclasses
import datetime
import socket

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import delivery as deliveries
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import upstream_announcements
from magnoliawood_server.gateway import upstream_pool
from magnoliawood_server.platform import requests

TIMEOUT = datetime.timedelta(minutes=1)
EVENT = b'id: 1\ndata: a\n\n'
CHUNK = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)
END = b'0\r\n\r\n'
STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nrequest-id: r\r\nserver-stamp: s\r\n'
    b'content-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)
CALL = (
    b'HTTP/1.1 200 OK\r\nrequest-id: r\r\nserver-stamp: s\r\n'
    b'content-length: 2\r\n\r\nok'
)
REQUEST = (
    b'POST /a HTTP/1.1\r\nhost: h\r\nrequest-id: r\r\n'
    b'content-length: 17000\r\n\r\n' + b'x' * 17000
)


@dataclasses.dataclass
class Work:
    """What one request caused after another one on the same connections."""

    caller_writes: int = 0
    upstream_writes: int = 0
    tasks: int = 0
    clock_reads: int = 0


class _Clock(clocks.SystemClock):
    reads = 0

    def monotonic(self):
        self.reads += 1
        return super().monotonic()


class _Gateway:
    """Serves one caller with one upstream, whose answers come in pieces."""

    def __init__(self, pieces, monkeypatch):
        self._pieces = pieces
        self._monkeypatch = monkeypatch
        self._clock = _Clock()
        self._activity = callers.CallerActivity()
        self._events = 0
        self.work = Work()
        registry = registries.Registry()
        self._pool = upstream_pool.UpstreamPool(self._clock, registry)
        self._observer = upstream_announcements.UpstreamAnnouncements(
            directories.UpstreamDirectory(self._clock), registry
        )

    async def _handle(self, request, responder):
        async def no_step():
            return

        requests.decode_request_metadata(request.headers)
        exchange = exchanges.Exchange(
            self._pool,
            request,
            request.body,
            responder,
            deliveries.Delivery(),
            no_step,
            no_step,
            self._observer,
        )
        result = await exchanges.run_with_timeout(
            TIMEOUT, exchange.run(self._upstream, TIMEOUT)
        )
        assert result.ending is exchanges.Ending.DELIVERED, result

    async def _answer(self, listener):
        connection, _ = await listener.accept()
        sent_events = 0
        async with connection:
            while True:
                received = b''
                while not received.endswith(REQUEST[-17000:]):
                    if not (data := await connection.recv(65536)):
                        return
                    received += data
                for piece in self._pieces:
                    await connection.sendall(piece)
                    sent_events += piece.count(EVENT)
                    # The next piece must come alone.
                    while self._events < sent_events:
                        await curio.sleep(0)

    async def run(self):
        """Send two requests; return the response to the second one."""
        theirs, ours = socket.socketpair()
        peer = curio.io.Socket(theirs)
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        address = '{}:{}'.format(*listener.getsockname())
        self._upstream = directories.Upstream('i', 's', address, 'dc', 8)
        answering = await curio.spawn(self._answer, listener)
        limits = configurations.CallerLimits()
        connection = callers.CallerConnection(
            curio.io.Socket(ours),
            self._handle,
            lambda: limits,
            self._activity,
            self._clock,
        )
        serving = await curio.spawn(connection.run)
        first = await self._exchange(peer)
        self._count(ours.fileno(), listener.getsockname())
        second = await self._exchange(peer)
        self.work.clock_reads += self._clock.reads
        await peer.close()
        await serving.join()
        await answering.cancel()
        await listener.close()
        assert first == second
        return second

    async def _exchange(self, peer):
        await peer.sendall(REQUEST)
        received = b''
        events_before = self._events
        while not received.endswith((END, b'ok')):
            received += await peer.recv(65536)
            self._events = events_before + received.count(EVENT)
        # The connections become idle before the next request.
        while not (self._activity.waiting and self._pool._idle):
            await curio.sleep(0)
        return received

    def _count(self, caller, upstream_address):
        self.work.clock_reads = -self._clock.reads
        send = socket.socket.send
        spawn = curio.spawn

        def counting_send(sock, *arguments):
            if sock.fileno() == caller:
                self.work.caller_writes += 1
            elif sock.family == socket.AF_INET:
                is_to_upstream = sock.getpeername() == upstream_address
                self.work.upstream_writes += is_to_upstream
            return send(sock, *arguments)

        async def counting_spawn(*arguments, **options):
            self.work.tasks += 1
            return await spawn(*arguments, **options)

        self._monkeypatch.setattr(socket.socket, 'send', counting_send)
        self._monkeypatch.setattr(curio, 'spawn', counting_spawn)


@pytest.mark.parametrize(
    ('pieces', 'caller_writes'),
    [
        ([CALL], 1),
        ([STREAM_HEAD + CHUNK * 5 + END], 2),
        ([STREAM_HEAD, CHUNK * 5 + END], 2),
        ([STREAM_HEAD + CHUNK, CHUNK, CHUNK, CHUNK + END], 4),
        ([STREAM_HEAD + CHUNK, CHUNK * 3, CHUNK, END], 4),
    ],
    ids=['call', 'at once', 'after the head', 'one by one', 'end alone'],
)
def test_work_of_a_request(pieces, caller_writes, monkeypatch):
    monkeypatch.setattr(
        callers.connections, 'set_socket_options', lambda sock: None
    )
    gateway = _Gateway(pieces, monkeypatch)
    response = curio.run(gateway.run)
    assert response.count(EVENT) == b''.join(pieces).count(EVENT)
    work = gateway.work
    assert work.caller_writes == caller_writes
    assert work.upstream_writes == 1
    assert work.tasks == 0
    # Arrival, the age of the upstream connection, its limit, its use, its
    # return, and the time at which the caller's connection became idle.
    assert work.clock_reads <= 6
