import http.server
import threading

import pytest

from magnoliawood.core import errors
from magnoliawood_cli import client as clients


class Stranger(http.server.BaseHTTPRequestHandler):
    """Answers with something that no entry would send."""

    def do_GET(self):
        status, body = self.server.answer
        self.send_response(status)
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *details):
        pass


@pytest.fixture
def stranger():
    """A listener that is no entry."""
    server = http.server.HTTPServer(('127.0.0.1', 0), Stranger)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield server
    server.shutdown()
    thread.join()
    server.server_close()


@pytest.mark.parametrize(
    'answer',
    [
        (200, b'<html>'),
        (404, b'{}'),
        (500, b'[]'),
        (502, b'"no"'),
        (400, b'{"code": "odd", "detail": "", "verdict": "ran"}'),
    ],
)
def test_answer_of_a_stranger_is_one_clear_error(stranger, answer):
    stranger.answer = answer
    address = clients.Address(*stranger.server_address)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        clients.AdminClient(address, 'token').get('classes')
    assert caught.value.code == errors.ErrorCode.PEER_LOST
    assert str(answer[0]) in caught.value.detail
