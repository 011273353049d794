import datetime

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import upstream_pool

HEAD = (
    b'HTTP/1.1 200 OK\r\nserver-stamp: s\r\n'
    b'content-type: text/event-stream\r\n\r\n'
)
EVENT = b'id: 1\ndata: a\n\n'
TIMEOUT = datetime.timedelta(seconds=5)


class Responder:
    """Records what a caller receives."""

    is_started = False
    is_finished = False

    async def start(self, status, headers, data):
        self.is_started = True

    async def send_part(self, data):
        self.is_started = True

    async def finish(self):
        self.is_finished = True


async def _respond(listener, data):
    connection, _ = await listener.accept()
    async with connection:
        await connection.recv(65536)
        await connection.sendall(data)


async def _run_exchange(data):
    """Run one attempt at an upstream that sends the data and closes."""
    responder = Responder()
    request = callers.CallerRequest(
        'POST', '/stream', [(b'host', b'app')], b'', datetime.timedelta()
    )

    async def no_step():
        return

    exchange = exchanges.Exchange(
        upstream_pool.UpstreamPool(clocks.SystemClock()),
        request,
        b'',
        responder,
        exchanges.Delivery(),
        no_step,
        no_step,
    )
    async with curio.tcp_server_socket('127.0.0.1', 0) as listener:
        port = listener.getsockname()[1]
        upstream = directories.Upstream(
            'i-1', 'llm', f'127.0.0.1:{port}', 'dc-1', 8
        )
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(_respond, listener, data)
            result = await exchange.run(upstream, TIMEOUT)
    return result, responder


# Guards against not counting a crash because the stream that it ended has no
# length, so that its connection seems to be closed as usual.
@pytest.mark.parametrize(
    'data',
    [HEAD + EVENT + EVENT[:5], HEAD + EVENT[:5], b'HTTP/1.1 200', b''],
    ids=['second event', 'first event', 'head', 'nothing'],
)
def test_connection_closed_within_a_response_is_lost(data):
    result, responder = curio.run(_run_exchange, data)
    assert result.ending is exchanges.Ending.FAILED
    assert result.is_connection_lost
    assert not responder.is_finished


def test_stream_without_a_length_is_complete_after_a_whole_event():
    result, responder = curio.run(_run_exchange, HEAD + EVENT)
    assert result.ending is exchanges.Ending.DELIVERED
    assert responder.is_finished
