"""Handling of late, truncated, malformed and overlong responses."""

import socket

import curio
import pytest

from magnoliawood_server.http import connection as connections

HEADERS = [(b'host', b'h'), (b'request-id', b'mine')]


def _complete_response(request_id, body=b'yes'):
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


def test_late_response_to_another_request_is_discarded():
    sent = _complete_response(b'other', b'no') + _complete_response(b'mine')
    assert curio.run(_exchange, sent) == (200, b'yes', True)


def test_connection_with_bytes_after_the_response_is_not_reused():
    sent = _complete_response(b'mine') + b'more'
    assert curio.run(_exchange, sent) == (200, b'yes', False)


def test_response_without_a_length_ends_with_its_connection():
    sent = b'HTTP/1.1 200 OK\r\n\r\nyes'
    assert curio.run(_exchange, sent, True) == (200, b'yes', False)


@pytest.mark.parametrize('sent', [b'', _complete_response(b'mine')[:-1]])
def test_truncated_response_raises_connection_reset(sent):
    with pytest.raises(ConnectionResetError):
        curio.run(_exchange, sent, True)


def test_invalid_response_raises_malformed_reply():
    with pytest.raises(connections.MalformedReply):
        curio.run(_exchange, b'HTTP/1.1 OK 200\r\n\r\n')
