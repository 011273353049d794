import contextlib
import datetime
import socket
import struct

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import delivery as deliveries
from magnoliawood_server.gateway import events as event_streams
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import upstream_announcements
from magnoliawood_server.gateway import upstream_pool

HEAD = (
    b'HTTP/1.1 200 OK\r\nserver-stamp: s\r\n'
    b'content-type: text/event-stream\r\n\r\n'
)
EVENT = b'id: 1\ndata: a\n\n'
# Longer than any attempt takes here, also on a busy machine.
TIMEOUT = datetime.timedelta(minutes=1)


class Responder:
    """Records what a caller receives."""

    is_started = False
    is_finished = False

    def __init__(self):
        self.sent = []

    async def start(self, status, headers, data):
        self.is_started = True
        self.sent.append(data)

    async def take_memory_for_response(self, size):
        return

    async def send_part(self, data):
        self.is_started = True
        self.sent.append(data)

    async def finish(self, data=b''):
        self.is_finished = True
        self.sent.append(data)

    async def send_complete(self, status, headers, body):
        self.is_started = True
        self.is_finished = True


async def _respond(listener, data, repeated, pause):
    """Send data and then, if there is any, other data without end."""
    connection, _ = await listener.accept()
    async with connection:
        await connection.recv(65536)
        await connection.sendall(data)
        with contextlib.suppress(OSError):
            while repeated:
                await connection.sendall(repeated)
                await curio.sleep(pause)


def _exchange(headers, registry=None, before_end=None):
    """Return an exchange and what records that its caller receives."""
    clock = clocks.SystemClock()
    registry = registry or registries.Registry()
    responder = Responder()
    request = callers.CallerRequest(
        'POST', '/stream', headers, b'', datetime.timedelta()
    )

    async def no_step():
        return

    exchange = exchanges.Exchange(
        upstream_pool.UpstreamPool(clock, registry),
        request,
        b'',
        responder,
        deliveries.Delivery(),
        no_step,
        before_end or no_step,
        upstream_announcements.UpstreamAnnouncements(
            directories.UpstreamDirectory(clock), registry
        ),
    )
    return exchange, responder


async def _run_exchange(
    data,
    registry=None,
    repeated=b'',
    pause=0.0,
    timeout=TIMEOUT,
    before_end=None,
):
    """Run one attempt at an upstream that sends the data and closes.

    :param registry: counts what the upstream announces
    :param repeated: data that it sends without end instead of closing
    """
    exchange, responder = _exchange([(b'host', b'app')], registry, before_end)
    async with curio.tcp_server_socket('127.0.0.1', 0) as listener:
        port = listener.getsockname()[1]
        upstream = directories.Upstream(
            'i-1', 'llm', f'127.0.0.1:{port}', 'dc-1', 8
        )
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(_respond, listener, data, repeated, pause)
            result = await exchanges.run_with_timeout(
                timeout, exchange.run(upstream, timeout)
            )
            # Without a connection nothing else ends the upstream.
            await tasks.cancel_remaining()
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


async def _serve_refused_twice(listener):
    """Refuse one request; on the same connection, write that once more."""
    refusal = (
        b'HTTP/1.1 503 Full\r\nrequest-id: r\r\nnot-executed: 1\r\n'
        b'content-length: 0\r\n\r\n'
    )
    answer = (
        b'HTTP/1.1 200 OK\r\nrequest-id: r\r\nserver-stamp: s\r\n'
        b'content-length: 0\r\n\r\n'
    )
    first, _ = await listener.accept()
    async with first, curio.TaskGroup(wait=any) as tasks:
        await first.recv(65536)
        await first.sendall(refusal)
        await tasks.spawn(_answer, first, refusal)
        await tasks.spawn(_accept_and_answer, listener, answer)


async def _answer(connection, data):
    await connection.recv(65536)
    await connection.sendall(data)


async def _accept_and_answer(listener, data):
    connection, _ = await listener.accept()
    async with connection:
        await _answer(connection, data)


def test_request_is_not_sent_again_on_a_connection_that_refused_it():
    """Guards against a refusal that is written once more (issue 41).

    It has the id of the second try, which the upstream runs.
    """

    async def play():
        exchange, _ = _exchange([(b'host', b'app'), (b'request-id', b'r')])
        async with curio.tcp_server_socket('127.0.0.1', 0) as listener:
            upstream = directories.Upstream(
                'i-1',
                'llm',
                f'127.0.0.1:{listener.getsockname()[1]}',
                'dc-1',
                8,
            )
            async with curio.TaskGroup() as tasks:
                await tasks.spawn(_serve_refused_twice, listener)
                return [await exchange.run(upstream, TIMEOUT) for _ in '12']

    first, second = curio.run(play)
    assert first.ending is exchanges.Ending.REFUSED
    assert second.ending is exchanges.Ending.DELIVERED


def test_stream_without_a_length_is_complete_after_a_whole_event():
    result, responder = curio.run(_run_exchange, HEAD + EVENT)
    assert result.ending is exchanges.Ending.DELIVERED
    assert responder.is_finished


async def _reset_after(listener, data):
    connection, _ = await listener.accept()
    await connection.recv(65536)
    await connection.sendall(data)
    # Closing resets the connection.
    connection._socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    await connection.close()


@pytest.mark.parametrize(
    'data',
    [HEAD + EVENT, HEAD.replace(b'text/event-stream', b'text/plain') + b'a'],
    ids=['stream', 'whole body'],
)
def test_answer_without_a_length_that_is_reset_is_not_complete(data):
    """The last lines of the users' news: such answers end by a close only."""

    async def play():
        exchange, responder = _exchange([(b'host', b'app')])
        async with curio.tcp_server_socket('127.0.0.1', 0) as listener:
            upstream = directories.Upstream(
                'i-1',
                'llm',
                f'127.0.0.1:{listener.getsockname()[1]}',
                'dc-1',
                8,
            )
            async with curio.TaskGroup() as tasks:
                await tasks.spawn(_reset_after, listener, data)
                return await exchange.run(upstream, TIMEOUT), responder

    result, responder = curio.run(play)
    assert result.ending is exchanges.Ending.FAILED
    assert not responder.is_finished


LEAVING_STREAM = HEAD.replace(b'\r\n\r\n', b'\r\nserver-leaving: 1\r\n\r\n')
CHUNKED_HEAD = HEAD.replace(
    b'\r\n\r\n', b'\r\ntransfer-encoding: chunked\r\n\r\n'
)


# Guards against sending requests on to an upstream that announced that it is
# leaving, where its entry in the store says nothing.
@pytest.mark.parametrize(
    ('data', 'is_leaving'),
    [
        (LEAVING_STREAM + EVENT, True),
        (
            b'HTTP/1.1 503 Full\r\nnot-executed: 1\r\nserver-leaving: 1\r\n'
            b'content-length: 0\r\n\r\n',
            True,
        ),
        (
            CHUNKED_HEAD
            + b'%x\r\n%b\r\n0\r\nserver-leaving: 1\r\n\r\n'
            % (len(EVENT), EVENT),
            True,
        ),
        (HEAD + EVENT, False),
        (
            b'HTTP/1.1 421 Other\r\nserver-leaving: 1\r\n'
            b'content-length: 0\r\n\r\n',
            False,
        ),
    ],
    ids=['head of a stream', '503', 'trailers', 'none', 'another upstream'],
)
def test_announcement_of_a_leave_is_recognised(data, is_leaving):
    registry = registries.Registry()
    curio.run(_run_exchange, data, registry)
    assert registry.counter('leave_announcements_total') == is_leaving


# Guards against learning of a leave only when the stream that says so ends.
def test_leave_is_recognised_before_the_stream_ends():
    registry = registries.Registry()
    result, _ = curio.run(_run_exchange, LEAVING_STREAM + EVENT[:5], registry)
    assert result.is_connection_lost
    assert registry.counter('leave_announcements_total') == 1


# Guards against a stream without end that fills the memory of the gateway.
@pytest.mark.parametrize('repeated', [b'x' * 65536, EVENT * 4096])
def test_stream_without_an_end_is_cut(repeated):
    result, responder = curio.run(_run_exchange, HEAD, None, repeated)
    assert result.ending is exchanges.Ending.FAILED
    assert result.is_malformed
    assert not responder.is_finished


# Guards against a response that never ends since a byte comes now and then.
@pytest.mark.parametrize('start', [b'HTTP/1.1 200', HEAD, HEAD + EVENT])
def test_response_that_dribbles_ends_at_the_deadline(start):
    result, responder = curio.run(
        _run_exchange,
        start,
        None,
        b'x',
        0.01,
        datetime.timedelta(milliseconds=300),
    )
    assert result is None
    assert not responder.is_finished


# Guards against a write for each of the events that came together.
def test_events_of_one_read_are_sent_in_one_write():
    chunk = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)
    data = CHUNKED_HEAD + chunk * 20 + b'0\r\n\r\n'
    result, responder = curio.run(_run_exchange, data)
    assert result.ending is exchanges.Ending.DELIVERED
    assert responder.sent == [EVENT * 20, b'']


def test_complete_events_before_a_malformed_chunk_are_still_sent():
    chunk = b'%x\r\n%b\r\n' % (len(EVENT), EVENT)
    data = CHUNKED_HEAD + chunk * 2 + b'no chunk\r\n'
    result, responder = curio.run(_run_exchange, data)
    assert result.is_malformed
    assert responder.sent == [EVENT * 2]
    assert not responder.is_finished


@pytest.mark.parametrize('keeps_output', [False, True])
def test_output_is_recorded_only_where_it_is_kept(keeps_output):
    delivery = deliveries.Delivery(keeps_output=keeps_output)
    delivery.record_events(event_streams.EventSplitter().feed(EVENT * 2))
    assert delivery.events == 2
    assert delivery.last_event_id == 1
    assert delivery.output == (b'a\na\n' if keeps_output else b'')


def test_caller_that_is_lost_in_a_stream_is_no_failure_of_the_upstream(
    monkeypatch,
):
    """Guards against a stream run again, and a crash counted, for nobody."""

    async def lose(responder, data):
        raise callers.CallerLost('gone')

    monkeypatch.setattr(Responder, 'send_part', lose)
    monkeypatch.setattr(Responder, 'is_started', True)
    with pytest.raises(callers.CallerLost):
        curio.run(_run_exchange, HEAD + EVENT)


# Empty by its length; the close alone would not tell it from a break.
EMPTY = HEAD.replace(b'200 OK\r\n', b'200 OK\r\nContent-Length: 0\r\n')
PLAIN_HEAD = HEAD.replace(b'text/event-stream', b'text/plain')


@pytest.mark.parametrize(
    ('data', 'stored'),
    [
        (HEAD + EVENT, [False]),
        (EMPTY, [False]),
        (PLAIN_HEAD + b'a', [False]),
        (PLAIN_HEAD.replace(b'200 OK', b'500 Failed') + b'a', []),
    ],
    ids=['events', 'no events', 'whole body', 'failure'],
)
def test_turn_is_stored_before_the_end_of_any_success(
    monkeypatch, data, stored
):
    """Guards against 404 for a turn that was answered without an event."""
    ended = []
    finished = []

    async def store():
        ended.append(bool(finished))

    async def send_complete(responder, status, headers, body):
        finished.append(status)
        responder.is_finished = True

    monkeypatch.setattr(Responder, 'send_complete', send_complete)
    result, responder = curio.run(
        lambda: _run_exchange(data, before_end=store)
    )
    assert result.ending is exchanges.Ending.DELIVERED
    assert responder.is_finished
    assert ended == stored
