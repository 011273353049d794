"""Crowds of clients that don't behave, at a gateway on a small host.

Each test checks what does not depend on the speed of the machine: that the
process lives, its peak memory and descriptors, and that an ordinary request
is answered while the crowd is still connected.
"""

import contextlib
import http
import itertools

import pytest

from magnoliawood_testing.cluster import crowd as crowds
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes
from magnoliawood_testing.cluster import process_watch

MEGABYTE = 1024 * 1024
MEMORY_MB = 96
MAX_FDS = 400
# The largest legal body.
BODY_BYTES = 4 * MEGABYTE
RESPONSE_BYTES = 3 * MEGABYTE
# Number of clients that send large bodies, and of those that send little.
LARGE = 24
MANY = 600
# Fewer clients than a host with so few descriptors lets connect.
NEARLY_ALL = 66
BODY = b'x' * BODY_BYTES
REFUSALS = (429, 503)
_numbers = itertools.count()


@contextlib.contextmanager
def small_gateway(**caller_limits):
    with hosted.HostedDeployment(
        gateways=1,
        keepers=1,
        losses=0,
        host_limits={'gateway': {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}},
        caller_limits=caller_limits,
    ) as started:
        yield started


def head_of(framing, path='/once/page', name=''):
    """Return the head of a legal request."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {hosted_routes.HOST}',
        f'Request-Id: {name or f"crowd-{next(_numbers)}"}',
        'Deadline-Ms: 60000',
        framing,
    ]
    return '\r\n'.join([*lines, '', '']).encode()


def whole(number, size=BODY_BYTES):
    name = f'whole-{number}'
    return head_of(f'Content-Length: {size}', name=name) + BODY[:size]


def all_but_last(number):
    return head_of(f'Content-Length: {BODY_BYTES}') + BODY[:-1]


def chunked_all_but_last(number):
    part = BODY[: 64 * 1024]
    chunk = b'%x\r\n%b\r\n' % (len(part), part)
    count = BODY_BYTES // len(part) - 1
    return head_of('Transfer-Encoding: chunked') + chunk * count


def in_chunks_of_one_byte(number):
    return head_of('Transfer-Encoding: chunked') + b'1\r\nx\r\n' * BODY_BYTES


def unended_head(number):
    return head_of('X-Filler: ' + 'x' * 12_000)[:-4]


def with_requests_behind(number):
    """Return a request and, behind it, many that are not served yet."""
    return whole(number, 1) + head_of('Content-Length: 0') * 2000


def with_bytes_behind(number):
    return whole(number, 1) + whole(f'behind-{number}')[: MEGABYTE // 2]


def is_answered(deployment):
    """Whether an ordinary request is answered, as for a usual client."""

    def ask():
        name = f'ordinary-{next(_numbers)}'
        response = deployment.call(0, '/once/page', name, b'hello')
        return response.status == http.HTTPStatus.OK

    try:
        deployment.wait_for(ask)
    except TimeoutError:
        return False
    return True


def check_crowd(
    deployment, size, data, act=crowds.Crowd.push, reads=True, settle=None
):
    """Let a crowd act; check the gateway while it is still connected."""
    gateway = deployment.gateways[0]
    address = deployment.address_for_callers(0)
    with process_watch.ProcessWatch(gateway, address) as watch:
        with crowds.Crowd(address, size, data, reads) as crowd:
            act(crowd)
            if settle is not None:
                settle()
            answered = is_answered(deployment)
            alive = gateway.is_running
    assert alive
    assert watch.peak_bytes <= MEMORY_MB * MEGABYTE
    assert watch.peak_descriptors <= MAX_FDS
    assert answered
    return crowd


def slow_down(deployment, seconds):
    for name in deployment.upstreams:
        deployment.set_upstream_faults(name, answer_seconds=seconds)


def trickle(crowd):
    crowd.trickle(b'x', times=40, pause_seconds=0.1)


def push_and_trickle(crowd):
    crowd.push()
    trickle(crowd)


@pytest.mark.parametrize('data', [all_but_last, chunked_all_but_last])
def test_large_bodies_that_stop_short_of_their_end(data):
    with small_gateway() as deployment:
        check_crowd(deployment, LARGE, data)


def test_many_large_bodies_in_chunks_that_are_refused_midway():
    with small_gateway() as deployment:
        check_crowd(deployment, NEARLY_ALL, chunked_all_but_last)


def test_large_bodies_that_are_trickled():
    def data(number):
        return all_but_last(number)[: -64 * 1024]

    with small_gateway() as deployment:
        check_crowd(deployment, LARGE, data, push_and_trickle)


def test_large_whole_bodies_that_wait_for_an_upstream():
    with small_gateway() as deployment:
        slow_down(deployment, 3)
        crowd = check_crowd(
            deployment,
            LARGE,
            whole,
            settle=lambda: slow_down(deployment, 0),
        )
        runs = deployment.journals.runs()
        for number, client in enumerate(crowd.clients):
            if client.status in REFUSALS:
                assert b'retry-after' in bytes(client.received).lower()
                assert f'whole-{number}' not in runs


def test_heads_without_an_end():
    with small_gateway(header_timeout_ms=1000) as deployment:
        check_crowd(deployment, MANY, unended_head)


def test_heads_that_are_trickled_have_an_end():
    with small_gateway(header_timeout_ms=1000) as deployment:
        crowd = check_crowd(deployment, LARGE, unended_head, trickle)
        assert not crowd.open_clients


def test_idle_connections():
    with small_gateway() as deployment:
        check_crowd(deployment, MANY, lambda number: b'')


def test_requests_one_behind_the_other():
    with small_gateway() as deployment:
        slow_down(deployment, 3)
        check_crowd(
            deployment,
            MANY // 2,
            with_requests_behind,
            settle=lambda: slow_down(deployment, 0),
        )


def test_bytes_behind_a_request_that_lie_unread():
    with small_gateway() as deployment:
        slow_down(deployment, 3)
        check_crowd(
            deployment,
            MANY // 2,
            with_bytes_behind,
            settle=lambda: slow_down(deployment, 0),
        )


def test_large_responses_that_are_not_read():
    with small_gateway() as deployment:
        for name in deployment.upstreams:
            deployment.set_upstream_faults(name, answer_bytes=RESPONSE_BYTES)
        check_crowd(
            deployment,
            LARGE,
            lambda number: whole(number, 1),
            reads=False,
            settle=lambda: [
                deployment.set_upstream_faults(name, answer_bytes=0)
                for name in deployment.upstreams
            ],
        )


def test_bodies_in_chunks_of_one_byte():
    with small_gateway() as deployment:
        check_crowd(
            deployment,
            LARGE // 3,
            in_chunks_of_one_byte,
            lambda crowd: crowd.push(most_seconds=20),
        )


def test_one_request_of_the_largest_size_is_served_also_after_a_crowd():
    with small_gateway() as deployment:
        for name in ('before', 'after'):
            for path in ('/once/page', '/turns/stream'):
                response = deployment.call(0, path, f'{name}{path[:5]}', BODY)
                assert response.status == http.HTTPStatus.OK
            check_crowd(deployment, LARGE, all_but_last)
