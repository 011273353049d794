"""Crowds whose requests make a gateway remember or join a lot.

Each request is small or of legal size; what the process keeps of it, or adds
to it, is not. What is checked is that of ``test_crowds.py``.
"""

import http
import itertools

import pytest

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes
from magnoliawood_testing.cluster.tests import test_crowds

# Descriptors of a usual host.
USUAL_FDS = 4100
WAITING = 200
# Nearly the longest legal head.
LONG_HEAD_BYTES = 15 * 1024
EVENT_BYTES = 3 * test_crowds.MEGABYTE
CLIENTS = 24
REQUESTS_EACH = 250
HISTORY = b'h' * (3 * test_crowds.MEGABYTE)
_names = itertools.count()


def gateway_with_usual_descriptors():
    return hosted.HostedDeployment(
        gateways=1,
        keepers=1,
        losses=0,
        host_limits={
            'gateway': {
                'memory_mb': test_crowds.MEMORY_MB,
                'max_fds': USUAL_FDS,
            }
        },
    )


def turn(*headers, name=''):
    """Return a small retained turn with more headers."""
    lines = [
        'POST /turns/stream HTTP/1.1',
        f'Host: {hosted_routes.HOST}',
        f'Request-Id: {name or f"small-{next(_names)}"}',
        'Deadline-Ms: 60000',
        'Content-Length: 1',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + b'x'


def with_very_many_header_fields(number):
    fields = itertools.product('abcdefghijklmnopqrst', repeat=3)
    names = map(''.join, itertools.islice(fields, LONG_HEAD_BYTES // 6))
    return test_crowds.head_of(
        'Content-Length: 0\r\n' + '\r\n'.join(f'{name}:' for name in names)
    )


def test_waiting_requests_with_very_many_header_fields():
    with gateway_with_usual_descriptors() as deployment:
        test_crowds.slow_down(deployment, 3)
        test_crowds.check_crowd(
            deployment,
            WAITING,
            with_very_many_header_fields,
            settle=lambda: test_crowds.slow_down(deployment, 0),
        )


def long_name(number):
    return f'{number}-{next(_names)}-'.ljust(LONG_HEAD_BYTES, 'n')


def turn_with_long_program_id(number):
    return turn(f'Program-Id: {long_name(number)}')


def turn_with_long_prompt_part(number):
    return turn(f'Prompt-Prefix: {long_name(number)}:8')


def turn_with_long_request_id(number):
    return turn(name=long_name(number))


@pytest.mark.parametrize(
    'make_turn',
    [
        turn_with_long_program_id,
        turn_with_long_prompt_part,
        turn_with_long_request_id,
    ],
)
def test_many_turns_with_long_names(make_turn):
    with test_crowds.small_gateway() as deployment:
        for name in deployment.upstreams:
            deployment.set_upstream_faults(name, event_seconds=0)
        test_crowds.check_crowd(
            deployment,
            CLIENTS,
            lambda number: b''.join(
                make_turn(number) for _ in range(REQUESTS_EACH)
            ),
        )


def set_unended_events(deployment, size):
    for name in deployment.upstreams:
        deployment.set_upstream_faults(name, unended_event_bytes=size)


def test_streams_with_a_long_event_that_has_no_end():
    with test_crowds.small_gateway() as deployment:
        set_unended_events(deployment, EVENT_BYTES)
        test_crowds.check_crowd(
            deployment,
            CLIENTS,
            lambda number: turn(),
            settle=lambda: set_unended_events(deployment, 0),
        )


def test_many_turns_that_continue_a_long_one_at_once():
    with test_crowds.small_gateway() as deployment:
        response = deployment.call(0, '/turns/stream', 'long', HISTORY)
        assert response.status == http.HTTPStatus.OK
        for name in deployment.upstreams:
            deployment.set_upstream_faults(name, event_seconds=0.5)
        test_crowds.check_crowd(
            deployment,
            CLIENTS,
            lambda number: turn('Previous-Turn: long'),
            settle=lambda: [
                deployment.set_upstream_faults(name, event_seconds=0)
                for name in deployment.upstreams
            ],
        )
