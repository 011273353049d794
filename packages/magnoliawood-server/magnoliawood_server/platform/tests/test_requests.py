"""What is passed on, added and left out between callers and upstreams."""

import datetime

import pytest

from magnoliawood_server.platform import requests

SECOND = datetime.timedelta(seconds=1)


def _sent(headers, last_event_id=None):
    return dict(
        requests.upstream_headers(headers, 'i-1', SECOND, last_event_id)
    )


def test_upstream_learns_who_is_meant_and_the_time_that_is_left():
    sent = _sent([(b'host', b'h'), (b'deadline-ms', b'4000')])
    assert sent[b'expect-instance'] == b'i-1'
    assert sent[b'deadline-ms'] == b'1000'


@pytest.mark.parametrize(
    'name', [b'hold', b'pin-ms', b'kv-backup', b'kv-from', b'expect-version']
)
def test_caller_cannot_set_what_is_the_systems(name):
    assert name not in _sent([(b'host', b'h'), (name, b'x')])


def test_headers_of_one_connection_are_left_out():
    sent = _sent(
        [
            (b'host', b'h'),
            (b'connection', b'close, X-Mine'),
            (b'x-mine', b'1'),
            (b'transfer-encoding', b'chunked'),
            (b'content-length', b'3'),
            (b'x-other', b'2'),
        ]
    )
    assert set(sent) == {
        b'host',
        b'x-other',
        b'expect-instance',
        b'deadline-ms',
    }


def test_stream_goes_on_after_the_last_event_that_was_passed_on():
    headers = [(b'host', b'h'), (b'last-event-id', b'2')]
    assert _sent(headers, 7)[b'last-event-id'] == b'7'
    assert b'last-event-id' not in _sent(headers)


@pytest.mark.parametrize(
    ('status', 'headers', 'has_run'),
    [
        (200, [(b'server-stamp', b's')], True),
        (500, [(b'server-stamp', b's')], True),
        (503, [(b'not-executed', b'1')], False),
        (503, [], True),
        (421, [], False),
    ],
)
def test_only_a_stated_refusal_has_not_run(status, headers, has_run):
    assert requests.decode_response_head(status, headers).has_run is has_run


def test_malformed_terms_count_as_absent():
    metadata = requests.decode_request_metadata(
        [
            (b'host', b'h.example:80'),
            (b'deadline-ms', b'soon'),
            (b'token-budget', b'-5'),
            (b'token-usage', b'x'),
            (b'prompt-prefix', b'a:1,b,c:x,:4,d:5'),
        ]
    )
    assert metadata.host == 'h.example'
    assert metadata.time_left is None
    assert metadata.budget_tokens is None
    assert metadata.output_tokens == 0
    assert [part.id for part in metadata.parts] == ['a', 'd']
