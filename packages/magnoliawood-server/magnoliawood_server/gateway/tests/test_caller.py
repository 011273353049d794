"""Caller connections: limits, pipelining, disconnects and shutdown."""

import socket

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.routes import configuration as configurations
from magnoliawood_server.gateway import caller as callers

REQUEST = b'POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi'


class _ServedConnection:
    """Caller connection with a handler, and the peer's end of its socket."""

    def __init__(self, handler, limits=None):
        self.activity = callers.CallerActivity()
        ours, self.peer = socket.socketpair()
        self.peer.settimeout(5)
        current_limits = limits or configurations.CallerLimits()
        self._sock = curio.io.Socket(ours)
        self._connection = callers.CallerConnection(
            self._sock,
            handler,
            lambda: current_limits,
            self.activity,
            clocks.SystemClock(),
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
