"""Answers that upstreams cut, as a caller receives them byte for byte."""

import curio
import pytest

from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway.tests import cut_support

WHOLE = b''.join(cut_support.EVENTS)
PREFIXES = [
    b''.join(cut_support.EVENTS[:count])
    for count in range(len(cut_support.EVENTS) + 1)
]
STREAM = cut_support.framed(cut_support.EVENTS, 'chunks')
# Cut within the second event.
BEGUN = cut_support.Reply(STREAM[: STREAM.index(b'word-2')])


@pytest.fixture(autouse=True)
def no_tcp_options(monkeypatch):
    monkeypatch.setattr(
        callers.connections, 'set_socket_options', lambda sock: None
    )


def _check(received):
    """Check that what is incomplete doesn't look complete, and the like."""
    assert received.extra == b''
    if received.is_complete and received.status == 200:
        assert received.body == WHOLE
        assert received.turns == [cut_support.OUTPUT]
        return
    assert received.turns == []
    if received.status == 200:
        assert received.body in PREFIXES


def _events_after(count):
    """Return a continuation that begins after an event."""
    return cut_support.Reply(
        cut_support.framed(cut_support.EVENTS[count:], 'chunks')
    )


def test_stream_that_breaks_off_goes_on_after_its_last_event():
    received = curio.run(cut_support.play, [BEGUN, _events_after])
    _check(received)
    assert received.is_complete
    assert received.resumed_at == [b'', b'1']


@pytest.mark.parametrize('events_sent', [1, 2, 3])
@pytest.mark.parametrize('is_whole', [False, True])
def test_continuation_that_begins_anew_is_not_joined(events_sent, is_whole):
    """Guards against events that come twice (rule ORDER, issue 45)."""
    cut = STREAM.index(b'word-%d' % events_sent) + len(b'word-1\n\n\r\n')
    anew = STREAM if is_whole else BEGUN.data
    replies = [cut_support.Reply(STREAM[:cut]), cut_support.Reply(anew)]
    received = curio.run(cut_support.play, replies)
    _check(received)
    assert received.body == PREFIXES[events_sent]
    assert not received.is_complete


def test_stream_that_a_caller_takes_up_is_not_begun_anew():
    """Guards against events that come twice (rule ORDER, issue 45)."""
    replies = [cut_support.Reply(STREAM), _events_after]
    received = curio.run(cut_support.play, replies, b'last-event-id: 2\r\n')
    assert received.body == cut_support.EVENTS[2]
    assert received.resumed_at == [b'2', b'2']


def test_continuation_that_leaves_an_event_out_is_not_joined():
    """Guards against a piece that is missing (rule ORDER, issue 45)."""
    events = [
        b'id: %d\ndata: word-%d\n\n' % (number, number)
        for number in range(1, 6)
    ]
    begun = cut_support.framed(events[:2], 'chunks')[:-5]
    left_out = cut_support.framed(events[3:], 'chunks')
    replies = [cut_support.Reply(begun), cut_support.Reply(left_out)]
    received = curio.run(cut_support.play, replies)
    assert received.body == PREFIXES[2]
    assert not received.is_complete
    assert not received.turns


def test_ids_with_gaps_go_on():
    """Ids increase, by whatever step."""
    events = [b'id: %d\ndata: a\n\n' % number for number in (10, 20, 30)]
    begun = cut_support.framed(events, 'chunks')
    begun = begun[: begun.index(b'id: 30') + 5]
    rest = cut_support.framed(events[2:], 'chunks')
    replies = [cut_support.Reply(begun), cut_support.Reply(rest)]
    received = curio.run(cut_support.play, replies)
    assert received.body == b''.join(events)
    assert received.is_complete


NOTHING = cut_support.Reply(cut_support.framed([], 'neither'))


def test_stream_that_is_closed_before_its_first_event_is_not_complete():
    """Guards against an empty 200 of an upstream that stopped (issue 45)."""
    received = curio.run(cut_support.play, [NOTHING, _events_after])
    _check(received)
    assert received.body == WHOLE


def test_continuation_that_is_closed_before_an_event_ends_no_stream():
    """Guards against a stream that ends as complete before its end."""
    received = curio.run(cut_support.play, [BEGUN, NOTHING])
    _check(received)
    assert not received.is_complete


def test_continuation_after_the_last_event_may_be_empty():
    begun = STREAM[: STREAM.index(b'0\r\nserver-leaving')]
    replies = [cut_support.Reply(begun), _events_after]
    received = curio.run(cut_support.play, replies)
    _check(received)
    assert received.is_complete


def _may_end(answer):
    """Whether a close here may be the end of an answer without framing."""
    head, _, body = answer.partition(b'\r\n\r\n')
    has_framing = b'content-length' in head or b'chunked' in head
    return body.endswith(b'\n\n') and not has_framing


@pytest.mark.parametrize('framing', ['length', 'chunks', 'neither'])
@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('is_begun', [False, True])
def test_answer_cut_after_any_byte_does_not_look_complete(
    framing, is_reset, is_begun
):
    """Guards against a cut that is framed as whole (rules MIXED, ORDER)."""
    events = cut_support.EVENTS[1:] if is_begun else cut_support.EVENTS
    answer = cut_support.framed(events, framing)
    error = cut_support.Reply(
        cut_support.framed([b'error'], 'length', 500, b'text/plain')
    )

    async def play_all():
        for cut in range(len(answer)):
            reply = cut_support.Reply(answer[:cut], is_reset)
            begun = [BEGUN] if is_begun else []
            received = await cut_support.play([*begun, reply, error])
            if _may_end(reply.data) and not is_reset:
                continue
            _check(received)
            assert received.status != 200 or not received.is_complete

    curio.run(play_all)


@pytest.mark.parametrize(
    'content_type',
    [b'Text/Event-Stream', b'text/event-stream; charset=utf-8'],
)
def test_stream_is_recognised_however_its_type_is_written(content_type):
    """Guards against a cut event in a 200 framed as whole (issue 45)."""
    stream = cut_support.framed(
        cut_support.EVENTS, 'neither', content_type=content_type
    )
    replies = [cut_support.Reply(stream[:-3]), _events_after]
    received = curio.run(cut_support.play, replies)
    _check(received)
    assert received.is_complete


@pytest.mark.parametrize('framing', ['length', 'chunks', 'neither'])
@pytest.mark.parametrize('content_type', [b'text/plain', b'text/event-stream'])
@pytest.mark.parametrize('status', [200, 204, 404, 500, 503])
def test_answer_that_is_no_stream_ends_no_stream(
    framing, content_type, status
):
    """Guards against text of an answer, or its end, in a begun stream."""
    body = [] if status == 204 else [b'id: 0\ndata: error\n\n']
    answer = cut_support.framed(body, framing, status, content_type)
    replies = [BEGUN, cut_support.Reply(answer)]
    received = curio.run(cut_support.play, replies)
    _check(received)
    assert received.body == PREFIXES[1]
    assert not received.is_complete


@pytest.mark.parametrize(
    'answer',
    [
        cut_support.framed([], 'length'),
        cut_support.framed([], 'chunks'),
        cut_support.framed([b'text'], 'length', content_type=b'text/plain'),
    ],
    ids=['length', 'chunks', 'no stream'],
)
@pytest.mark.parametrize('is_store_away', [False, True])
def test_turn_without_an_event_is_stored_before_it_ends(answer, is_store_away):
    """Guards against 404 for the turn that continues it (rule LOST)."""

    async def play():
        reply = cut_support.Reply(answer)
        return await cut_support.play([reply], is_store_away=is_store_away)

    received = curio.run(play)
    assert received.is_complete
    assert received.status == (504 if is_store_away else 200)
    assert received.turns == ([] if is_store_away else [b''])


@pytest.mark.parametrize('content_type', [b'text/plain', b'text/event-stream'])
def test_encoded_body_is_not_taken_for_that_of_the_upstream(content_type):
    """Guards against a 200 with another body (rule MIXED, issue 45)."""
    encoded = cut_support.framed(
        cut_support.EVENTS,
        'length',
        content_type=content_type + b'\r\ncontent-encoding: gzip',
    )
    replies = [cut_support.Reply(encoded), _events_after]
    received = curio.run(cut_support.play, replies)
    _check(received)
    assert received.resumed_at == [b'', b'']
