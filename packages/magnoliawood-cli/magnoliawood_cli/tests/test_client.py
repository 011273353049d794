import http.server
import threading

import pytest

from magnoliawood.core import errors
from magnoliawood_cli import client as clients


class ForeignHandler(http.server.BaseHTTPRequestHandler):
    """Sends responses that an entry would not send."""

    def do_GET(self):
        status, body = self.server.response
        self.send_response(status)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *details):
        pass


@pytest.fixture
def foreign_server():
    """HTTP server that is not an entry."""
    server = http.server.HTTPServer(('127.0.0.1', 0), ForeignHandler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize(
    'response',
    [
        (200, b'<html>'),
        (404, b'{}'),
        (500, b'[]'),
        (502, b'"no"'),
        (400, b'{"code": "odd", "detail": "", "verdict": "ran"}'),
    ],
)
def test_invalid_response_is_reported_as_peer_lost(foreign_server, response):
    foreign_server.response = response
    address = clients.Address(*foreign_server.server_address)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        clients.AdminClient(address, 'token').get('classes')
    assert caught.value.code == errors.ErrorCode.PEER_LOST
    assert str(response[0]) in caught.value.detail
