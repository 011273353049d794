"""Responses that are late, cut short, malformed or too long."""

import socket

import curio
import pytest

from magnoliawood_server.http import connection as connections

HEADERS = [(b'host', b'h'), (b'request-id', b'mine')]


def _whole(request_id, body=b'yes'):
    return (
        b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s'
        % (request_id, len(body), body)
    )


async def _exchange(sent, ends=False):
    ours, theirs = socket.socketpair()
    connection = connections.ClientConnection(
        curio.io.Socket(ours), b'request-id'
    )
    with theirs:
        await connection.send('POST', '/', HEADERS, b'body')
        theirs.sendall(sent)
        if ends:
            theirs.shutdown(socket.SHUT_WR)
        try:
            head = await connection.read_head()
            body = await connection.read_full_body()
        finally:
            can_be_reused = connection.can_be_reused
            await connection.close()
    return head.status_code, body, can_be_reused


def test_late_response_to_another_request_is_dropped():
    sent = _whole(b'other', b'no') + _whole(b'mine')
    assert curio.run(_exchange, sent) == (200, b'yes', True)


def test_connection_with_bytes_after_the_response_is_not_reused():
    sent = _whole(b'mine') + b'more'
    assert curio.run(_exchange, sent) == (200, b'yes', False)


def test_response_without_a_length_ends_with_its_connection():
    sent = b'HTTP/1.1 200 OK\r\n\r\nyes'
    assert curio.run(_exchange, sent, True) == (200, b'yes', False)


@pytest.mark.parametrize('sent', [b'', _whole(b'mine')[:-1]])
def test_response_that_ends_early_is_a_lost_connection(sent):
    with pytest.raises(ConnectionResetError):
        curio.run(_exchange, sent, True)


def test_bytes_that_are_no_response_are_malformed():
    with pytest.raises(connections.MalformedReply):
        curio.run(_exchange, b'HTTP/1.1 OK 200\r\n\r\n')
