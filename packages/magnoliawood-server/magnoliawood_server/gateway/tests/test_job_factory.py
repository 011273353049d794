"""What a request was admitted with applies until it ends."""

import datetime
import types

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import job_factory
from magnoliawood_server.platform import requests

EVENT_TOKENS = 16
EVENTS = 5


def _configuration(version, service, timeout_ms=4000):
    return {
        'version': version,
        'routes': [
            {
                'name': 'turns',
                'host': 'app',
                'path_prefix': '/',
                'kind': 'streaming',
                'timeout_ms': timeout_ms,
                'target_latency_ms': 250,
                'priority': 1,
                'service': service,
                'max_attempts': 1,
            }
        ],
        'services': [
            {
                'name': service,
                'engine': {'slots': 8, 'chunk_tokens': EVENT_TOKENS},
            }
        ],
        'limits': {},
    }


def _cluster_view(clock, configuration):
    cluster_view = cluster_views.ClusterView(clock)
    cluster_view.apply_configuration(configuration, 'test')
    cluster_view.directory.replace([], 1, None)
    return cluster_view


def _make_job(clock, cluster_view, *more_headers):
    quarantine = types.SimpleNamespace(
        is_loaded=True, check=lambda fingerprints: None
    )
    headers = [(b'host', b'app'), (b'request-id', b'r'), *more_headers]
    request = callers.CallerRequest(
        'POST', '/', headers, b'', clock.monotonic()
    )
    return job_factory.JobFactory(cluster_view, quarantine).make(
        request,
        requests.decode_request_metadata(headers),
        None,
        False,
    )


def test_tokens_count_as_when_the_request_was_admitted():
    """Guards against a budget overspent since a service left (review/5)."""
    clock = clocks.ManualClock()
    cluster_view = _cluster_view(clock, _configuration(1, 'first'))
    job = _make_job(clock, cluster_view)
    job.delivery.events = EVENTS
    cluster_view.apply_configuration(_configuration(2, 'second'), 'test')
    assert job.tokens_spent == EVENTS * EVENT_TOKENS
    assert (job.configuration, cluster_view.version) == (1, 2)


@pytest.mark.parametrize(
    ('deadline', 'seconds'),
    [
        ((), 90),
        (((b'deadline-ms', b'0'),), 0),
        (((b'deadline-ms', b'1000'),), 1),
    ],
)
def test_only_caller_and_route_limit_the_time_of_a_request(deadline, seconds):
    """Guards against a stream cut by a timeout that no page sets."""
    clock = clocks.ManualClock()
    cluster_view = _cluster_view(clock, _configuration(1, 'first', 90_000))
    job = _make_job(clock, cluster_view, *deadline)
    time_left = job.deadline - clock.monotonic()
    assert time_left == datetime.timedelta(seconds=seconds)
