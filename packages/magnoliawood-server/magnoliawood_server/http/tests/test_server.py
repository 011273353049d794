import datetime
import json

import curio
from curio import socket
import hypothesis
from hypothesis import strategies

from magnoliawood.core import errors
from magnoliawood_server.http import message as messages
from magnoliawood_server.http import server

REQUEST = b'GET /fine HTTP/1.1\r\nhost: a\r\n\r\n'


async def handler(request):
    if request.path == '/error':
        raise errors.MagnoliawoodError(errors.ErrorCode.NOT_FOUND, 'nothing')
    return messages.Response.from_json({'path': request.path})


def exchange(data):
    """Send bytes to a server and return all bytes of its responses."""

    async def main():
        client, peer = socket.socketpair()
        task = await curio.spawn(
            server.serve_connection, peer, handler, server.Activity()
        )
        await client.sendall(data)
        await client.shutdown(socket.SHUT_WR)
        await task.join()
        await peer.close()
        response = b''
        while part := await client.recv(65536):
            response += part
        await client.close()
        return response

    return curio.run(main)


@hypothesis.given(strategies.binary(max_size=300))
def test_any_bytes_are_served_or_rejected_with_a_problem(data):
    response = exchange(data + b'\r\n\r\n')
    if response and not response.startswith(b'HTTP/1.1 200'):
        problem = json.loads(response.partition(b'\r\n\r\n')[2])
        assert problem['code'] in ('malformed_request', 'not_found')
        assert problem['verdict'] == 'not_run'


@hypothesis.given(
    strategies.text(
        strategies.characters(min_codepoint=33, max_codepoint=126),
        max_size=60,
    )
)
def test_any_target_is_served_or_rejected(target):
    response = exchange(
        b'GET /' + target.encode() + b' HTTP/1.1\r\nhost: a\r\n\r\n'
    )
    assert response.startswith(b'HTTP/1.1 ')


def test_connection_serves_several_requests():
    response = exchange(REQUEST * 3)
    assert response.count(b'HTTP/1.1 200') == 3


def test_error_leaves_the_connection_open():
    data = REQUEST.replace(b'/fine', b'/error') + REQUEST
    response = exchange(data)
    assert response.startswith(b'HTTP/1.1 404')
    assert b'HTTP/1.1 200' in response


def test_oversized_head_is_rejected():
    long_header = b'x: ' + b'a' * (server.HEAD_LIMIT_BYTES + 1)
    response = exchange(b'GET / HTTP/1.1\r\n' + long_header + b'\r\n\r\n')
    assert b'malformed_request' in response


def test_oversized_body_is_rejected():
    size = server.BODY_LIMIT_BYTES + 1
    head = f'PUT / HTTP/1.1\r\nhost: a\r\ncontent-length: {size}\r\n\r\n'
    response = exchange(head.encode() + b'a' * size)
    assert response.startswith(b'HTTP/1.1 413')
    assert b'message_too_large' in response


def test_caller_that_reads_nothing_is_disconnected():
    timeout = datetime.timedelta(milliseconds=50)

    async def endless():
        while True:
            yield b'x' * 65536

    async def stream(request):
        return messages.Response(200, parts=endless())

    async def main():
        client, peer = socket.socketpair()
        activity = server.Activity()
        task = await curio.spawn(
            server.serve_connection, peer, stream, activity, timeout
        )
        await client.sendall(REQUEST)
        await task.join()
        await client.close()
        await peer.close()
        return activity.requests

    assert curio.run(main) == 0


def test_caller_that_stalls_within_its_request_is_disconnected():
    timeout = datetime.timedelta(milliseconds=50)

    async def main():
        client, peer = socket.socketpair()
        task = await curio.spawn(
            server.serve_connection, peer, handler, server.Activity(), timeout
        )
        await client.sendall(
            b'PUT /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nab'
        )
        await task.join()
        await client.close()
        await peer.close()
        return task.result

    assert curio.run(main) is None


def test_keepalive_comments_are_sent_while_a_stream_pauses(monkeypatch):
    interval = datetime.timedelta(milliseconds=5)
    monkeypatch.setattr(server, 'KEEPALIVE_INTERVAL', interval)

    async def parts():
        yield b'first'
        await curio.sleep(0.1)
        yield b'last'

    async def stream(request):
        return messages.Response(200, parts=parts(), keepalive_comment=b':\n')

    async def main():
        client, peer = socket.socketpair()
        task = await curio.spawn(
            server.serve_connection, peer, stream, server.Activity()
        )
        await client.sendall(REQUEST)
        response = b''
        while not response.endswith(b'0\r\n\r\n'):
            response += await client.recv(65536)
        await client.close()
        await task.join()
        await peer.close()
        return response

    body = curio.run(main).partition(b'\r\n\r\n')[2]
    start, _, rest = body.partition(b'first\r\n')
    assert start == b'5\r\n'
    assert rest.startswith(b'2\r\n:\n\r\n')
    assert rest.endswith(b'4\r\nlast\r\n0\r\n\r\n')


# Guards against an event that is cut in two by a comment.
def test_no_comment_is_sent_within_an_event(monkeypatch):
    interval = datetime.timedelta(milliseconds=5)
    monkeypatch.setattr(server, 'KEEPALIVE_INTERVAL', interval)

    async def parts():
        yield messages.PartialEvent(b'data: one')
        await curio.sleep(0.1)
        yield b' two\n\n'

    async def stream(request):
        return messages.Response(200, parts=parts(), keepalive_comment=b':\n')

    async def main():
        client, peer = socket.socketpair()
        task = await curio.spawn(
            server.serve_connection, peer, stream, server.Activity()
        )
        await client.sendall(REQUEST)
        response = b''
        while not response.endswith(b'0\r\n\r\n'):
            response += await client.recv(65536)
        await client.close()
        await task.join()
        await peer.close()
        return response

    body = curio.run(main).partition(b'\r\n\r\n')[2]
    assert body == b'9\r\ndata: one\r\n6\r\n two\n\n\r\n0\r\n\r\n'


class _CountingSocket:
    """Socket that counts the calls of ``send``."""

    def __init__(self, sock):
        self._sock = sock
        self._socket = self
        self.sends = 0

    def send(self, data):
        self.sends += 1
        return self._sock._socket.send(data)

    async def recv(self, size):
        return await self._sock.recv(size)


def test_complete_response_is_sent_in_one_write():
    """A second small packet would wait until the first is acknowledged."""

    async def main():
        client, peer = socket.socketpair()
        counting = _CountingSocket(peer)
        await client.sendall(REQUEST)
        await client.shutdown(socket.SHUT_WR)
        await server.serve_connection(counting, handler, server.Activity())
        await peer.close()
        await client.close()
        return counting.sends

    assert curio.run(main) == 1


def test_request_that_is_read_when_a_stop_ends_is_refused():
    """Guards against requests accepted by a process that is about to end."""
    handled = []

    async def handle(request):
        handled.append(request)
        return await handler(request)

    async def main():
        client, peer = socket.socketpair()
        activity = server.Activity()
        task = await curio.spawn(
            server.serve_connection, peer, handle, activity
        )
        await client.sendall(REQUEST[:10])
        while not activity.is_busy:
            await curio.sleep(0)
        activity.is_closing = activity.is_closed = True
        await client.sendall(REQUEST[10:])
        await task.join()
        assert not activity.is_busy
        await peer.close()
        response = await client.recv(65536)
        await client.close()
        return response

    head = curio.run(main).lower()
    assert head.startswith(b'http/1.1 503')
    assert b'connection: close' in head
    assert not handled
