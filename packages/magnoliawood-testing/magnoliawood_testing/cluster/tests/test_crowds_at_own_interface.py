"""Crowds of clients that don't behave, at an entry and at a sidecar."""

import contextlib
import json

import pytest

from magnoliawood_testing.cluster import crowd as crowds
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import process_watch

MEGABYTE = 1024 * 1024
MEMORY_MB = 160
MAX_FDS = 400
# The largest body that the interface takes.
BODY_BYTES = 8 * MEGABYTE
LARGE = 24
MANY = 600
# Fewer clients than a host with so few descriptors lets connect.
NEARLY_ALL = 66
STREAMS = 8
BEHIND_BYTES = 20 * MEGABYTE
BODY = b'x' * BODY_BYTES
HOST_LIMITS = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}


@pytest.fixture(params=['entry', 'sidecar'])
def node(request):
    with deployments.Deployment(
        engines=1,
        entries=1,
        services=(),
        entry_settings=HOST_LIMITS,
        sidecar_settings=HOST_LIMITS,
    ) as deployment:
        roles = {
            'entry': deployment.entries,
            'sidecar': deployment.sidecars,
        }
        yield next(iter(roles[request.param].values()))


def head_of(framing):
    lines = ['POST /v1/chat/completions HTTP/1.1', 'Host: crowd', framing]
    return '\r\n'.join([*lines, '', '']).encode()


def all_but_last(number):
    return head_of(f'Content-Length: {BODY_BYTES}') + BODY[:-1]


def chunked_all_but_last(number):
    part = BODY[: 64 * 1024]
    chunk = b'%x\r\n%b\r\n' % (len(part), part)
    count = BODY_BYTES // len(part) - 1
    return head_of('Transfer-Encoding: chunked') + chunk * count


def is_answered(node):
    def ask():
        with contextlib.suppress(OSError):
            return deployments.call(node.http, 'GET', '/metrics')[0] == 200

    try:
        deployments.wait_until(ask, 'the metrics page')
    except TimeoutError:
        return False
    return True


def check_crowd(node, size, data):
    with process_watch.ProcessWatch(node.process, node.http) as watch:
        with crowds.Crowd(node.http, size, data) as crowd:
            crowd.push()
            answered = is_answered(node)
            alive = node.process.is_running
    assert alive
    assert watch.peak_bytes <= MEMORY_MB * MEGABYTE
    assert watch.peak_descriptors <= MAX_FDS
    assert answered


@pytest.mark.parametrize('data', [all_but_last, chunked_all_but_last])
def test_large_bodies_that_stop_short_of_their_end(node, data):
    check_crowd(node, LARGE, data)


def test_many_large_bodies_in_chunks_that_are_refused_midway(node):
    check_crowd(node, NEARLY_ALL, chunked_all_but_last)


def test_many_connections_with_the_beginning_of_a_request(node):
    check_crowd(node, MANY, lambda number: head_of('X-Filler: x')[:-4])


def streamed_with_bytes_behind(number):
    body = json.dumps(
        {
            'model': 'model-a',
            'stream': True,
            'max_tokens': 200,
            'messages': [{'role': 'user', 'content': f'crowd {number}'}],
        }
    ).encode()
    framing = (
        f'Content-Length: {len(body)}\r\n'
        f'Authorization: Bearer {deployments.token_of("crowd")}'
    )
    return head_of(framing) + body + b'x' * BEHIND_BYTES


def test_bytes_behind_a_request_whose_response_is_streamed():
    with deployments.Deployment(
        engines=1,
        entries=1,
        services=(),
        step_seconds=0.02,
        entry_settings=HOST_LIMITS,
    ) as deployment:
        deployment.create_account('crowd')
        entry = next(iter(deployment.entries.values()))
        check_crowd(entry, STREAMS, streamed_with_bytes_behind)
