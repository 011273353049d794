"""Caller connections: limits, pipelining, disconnects and shutdown."""

import datetime
import socket
import time

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import caller_reader

REQUEST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi'


class _ServedConnection:
    """Caller connection with a handler, and the peer's end of its socket."""

    def __init__(self, handler, limits=None):
        self.activity = callers.CallerActivity()
        self.registry = registries.Registry()
        ours, self.peer = socket.socketpair()
        self.peer.settimeout(5)
        self.limits = limits or configurations.CallerLimits()
        self._sock = curio.io.Socket(ours)
        self._connection = callers.CallerConnection(
            self._sock,
            handler,
            lambda: self.limits,
            self.activity,
            clocks.SystemClock(),
            self.registry,
        )

    async def run(self):
        async with self._sock:
            await self._connection.run()

    def read(self):
        received = b''
        while part := self.peer.recv(65536):
            received += part
        return received


@pytest.fixture(autouse=True)
def no_tcp_options(monkeypatch):
    monkeypatch.setattr(
        callers.connections, 'set_socket_options', lambda sock: None
    )


async def _echo(request, responder):
    await responder.send_complete(200, [], request.body)


def test_pipelined_requests_get_responses_in_order():
    served = _ServedConnection(_echo)
    served.peer.sendall(REQUEST + REQUEST.replace(b'hi', b'yo'))
    served.peer.shutdown(socket.SHUT_WR)

    async def serve():
        await served.run()

    curio.run(serve)
    received = served.read()
    assert received.index(b'hi') < received.index(b'yo')


def test_handler_is_cancelled_when_its_caller_disconnects():
    ended = []

    async def wait_forever(request, responder):
        try:
            await curio.Event().wait()
        except curio.CancelledError:
            ended.append(request.path)
            raise

    served = _ServedConnection(wait_forever)
    served.peer.sendall(REQUEST)
    served.peer.close()
    curio.run(served.run)
    assert ended == ['/a']
    assert served.activity.requests == 0


def test_idle_connection_is_closed_unread_at_shutdown():
    served = _ServedConnection(_echo)

    async def serve():
        running = await curio.spawn(served.run)
        while not served.activity.waiting:
            await curio.sleep(0)
        await served.activity.close_idle()
        await running.join()

    curio.run(serve)
    assert served.read() == b''


def test_request_that_arrives_during_shutdown_is_not_read():
    served = _ServedConnection(_echo)
    served.activity.is_closed = True
    served.peer.sendall(REQUEST)
    curio.run(served.run)
    with pytest.raises(ConnectionResetError):
        served.read()


def test_response_during_shutdown_closes_the_connection():
    served = _ServedConnection(_echo)
    served.activity.is_closing = True
    served.peer.sendall(REQUEST)
    curio.run(served.run)
    assert b'connection: close' in served.read().lower()


def test_aborted_stream_does_not_look_complete():
    async def abort(request, responder):
        await responder.start(200, [], b'part')
        raise callers.ResponseAborted('cut')

    served = _ServedConnection(abort)
    served.peer.sendall(REQUEST)
    curio.run(served.run)
    received = served.read()
    assert b'part' in received
    assert not received.endswith(b'0\r\n\r\n')


def test_lost_connection_elsewhere_is_not_taken_for_a_caller_that_left():
    """Guards against a kept connection closed in place of an answer."""

    async def fail_once(request, responder):
        if request.body == b'hi':
            raise ConnectionResetError('a connection of the gateway broke')
        await _echo(request, responder)

    served = _ServedConnection(fail_once)
    served.peer.sendall(REQUEST + REQUEST.replace(b'hi', b'yo'))
    served.peer.shutdown(socket.SHUT_WR)
    curio.run(served.run)
    received = served.read()
    assert received.startswith(b'HTTP/1.1 502')
    assert received.endswith(b'yo')


@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n', b'413'),
        (b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 900, b'431'),
        (b'no request at all\r\n\r\n', b'400'),
    ],
)
def test_bad_request_is_rejected_and_the_connection_closed(sent, status):
    limits = configurations.CallerLimits(header_bytes=500, body_bytes=8)
    served = _ServedConnection(_echo, limits)
    served.peer.sendall(sent + b'x' * 9)
    curio.run(served.run)
    assert served.peer.recv(100).startswith(b'HTTP/1.1 ' + status)


def test_connection_that_is_older_than_the_limits_follows_them():
    """Guards against 431 for what the configuration allows by now."""
    head = b'GET / HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 900
    limits = configurations.CallerLimits(header_bytes=500)
    served = _ServedConnection(_echo, limits)

    async def play():
        running = await curio.spawn(served.run)
        while not served.activity.waiting:
            await curio.sleep(0)
        served.limits = configurations.CallerLimits(header_bytes=2000)
        served.peer.sendall(head)
        while not served.activity.reading and served.activity.waiting:
            await curio.sleep(0)
        served.peer.sendall(b'\r\nConnection: close\r\n\r\n')
        await running.join()

    curio.run(play)
    assert served.read().startswith(b'HTTP/1.1 200')


# Guards against tasks that are started again for each request.
def test_connection_starts_one_task_however_many_requests(monkeypatch):
    spawned = []
    spawn = curio.spawn

    async def counting_spawn(*arguments, **options):
        spawned.append(arguments)
        return await spawn(*arguments, **options)

    monkeypatch.setattr(curio, 'spawn', counting_spawn)
    served = _ServedConnection(_echo)
    served.peer.sendall(REQUEST * 5)
    served.peer.shutdown(socket.SHUT_WR)
    curio.run(served.run)
    assert served.read().count(b'hi') == 5
    assert len(spawned) == 1


def test_caller_that_leaves_behind_a_pipelined_request_is_noticed():
    served = _ServedConnection(_wait_for_cancellation)
    served.peer.sendall(REQUEST + REQUEST)
    served.peer.close()
    curio.run(served.run)
    assert served.activity.requests == 0


async def _wait_for_cancellation(request, responder):
    await curio.Event().wait()


def test_reading_ahead_is_bounded_and_goes_on_with_the_next_request():
    sent = REQUEST * 4000
    read_ahead = []

    async def echo_when_reading_stopped(request, responder):
        reader = served._connection._reader
        while not read_ahead:
            await curio.sleep(0)
            if reader._read_ahead_bytes > caller_reader._READ_AHEAD_BYTES:
                read_ahead.append(
                    len(served._connection._h11.trailing_data[0])
                )
        await _echo(request, responder)

    def read_all():
        received = b''
        while received.count(b'hi') < 4000:
            received += served.peer.recv(65536)
        served.peer.shutdown(socket.SHUT_WR)

    async def run():
        running = await curio.spawn(served.run)
        reading = await curio.spawn(curio.run_in_thread, read_all)
        await curio.run_in_thread(served.peer.sendall, sent)
        await reading.join()
        await running.join()

    served = _ServedConnection(echo_when_reading_stopped)
    curio.run(run)
    assert read_ahead[0] <= (
        caller_reader._READ_AHEAD_BYTES + caller_reader._READ_SIZE_BYTES
    )


@pytest.mark.parametrize(
    ('sent', 'limits'),
    [
        (
            b'',
            configurations.CallerLimits(
                idle_timeout=datetime.timedelta(milliseconds=50)
            ),
        ),
        (
            REQUEST[:-1],
            configurations.CallerLimits(
                header_timeout=datetime.timedelta(milliseconds=50)
            ),
        ),
    ],
    ids=['idle', 'within a request'],
)
def test_caller_that_sends_nothing_is_disconnected(sent, limits):
    served = _ServedConnection(_echo, limits)
    served.peer.sendall(sent)
    curio.run(served.run)
    assert served.read() == b''


def _read_slowly(peer, parts, pause):
    """Read a part of what was sent after each pause, and then the rest."""
    received = b''
    for _ in range(parts):
        time.sleep(pause)
        received += peer.recv(65536)
    while part := peer.recv(65536):
        received += part
    return received


@pytest.mark.parametrize('reads', [True, False])
def test_caller_is_lost_when_it_stops_reading_not_when_it_is_slow(
    monkeypatch, reads
):
    """Guards against a long response cut while its caller reads it."""
    limit = datetime.timedelta(milliseconds=400)
    monkeypatch.setattr(callers, '_WRITE_TIMEOUT', limit)
    body = b'x' * (4 * 1024 * 1024)

    async def respond(request, responder):
        await responder.send_complete(200, [], body)

    served = _ServedConnection(respond)
    served.peer.sendall(REQUEST.replace(b'Host', b'Connection: close\r\nHost'))

    async def run():
        running = await curio.spawn(served.run)
        if reads:
            received = await curio.run_in_thread(
                _read_slowly, served.peer, 8, limit.total_seconds() / 4
            )
        await running.join()
        return received if reads else await curio.run_in_thread(served.read)

    assert curio.run(run).endswith(body) is reads


async def _leave(served):
    served.peer.close()
    await curio.Event().wait()


async def _abort(served):
    raise callers.ResponseAborted('injected fault')


async def _lose(served):
    raise callers.CallerLost('injected fault')


@pytest.mark.parametrize(
    'end, cause',
    [(_leave, 'caller_lost'), (_abort, 'abort'), (_lose, 'caller_lost')],
)
def test_connection_closed_in_place_of_an_answer_tells_why(end, cause, caplog):
    """H7 of issue 45: guards against closes that leave no line.

    Without one, a caller that left can't be told from a gateway that died.
    """

    async def handle(request, responder):
        await end(served)

    served = _ServedConnection(handle)
    served.peer.sendall(REQUEST.replace(b'h', b'h\r\nRequest-Id: r7', 1))
    curio.run(served.run)
    assert served.registry.counters() == {
        f'incomplete_responses_total{{cause="{cause}"}}': 1
    }
    [line] = [
        record
        for record in caplog.records
        if record.getMessage() == 'response not completed'
    ]
    assert (line.request_id, line.cause) == ('r7', cause)
    assert not line.is_started and not line.is_stopping
