"""What a request was admitted with applies until it ends."""

import types

from magnoliawood.core import clock as clocks
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import job_factory
from magnoliawood_server.platform import requests

EVENT_TOKENS = 16
EVENTS = 5


def _configuration(version, service):
    return {
        'version': version,
        'routes': [
            {
                'name': 'turns',
                'host': 'app',
                'path_prefix': '/',
                'kind': 'streaming',
                'timeout_ms': 4000,
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


def test_tokens_count_as_when_the_request_was_admitted():
    """Guards against a budget overspent since a service left (review/5)."""
    clock = clocks.ManualClock()
    cluster_view = cluster_views.ClusterView(clock)
    cluster_view.apply_configuration(_configuration(1, 'first'), 'test')
    cluster_view.directory.replace([], 1, None)
    quarantine = types.SimpleNamespace(
        is_loaded=True, check=lambda fingerprints: None
    )
    headers = [(b'host', b'app'), (b'request-id', b'r')]
    request = callers.CallerRequest(
        'POST', '/', headers, b'', clock.monotonic()
    )
    job = job_factory.JobFactory(cluster_view, quarantine).make(
        request,
        requests.decode_request_metadata(headers),
        None,
        False,
    )
    job.delivery.events = EVENTS
    cluster_view.apply_configuration(_configuration(2, 'second'), 'test')
    assert job.tokens_spent == EVENTS * EVENT_TOKENS
    assert (job.configuration, cluster_view.version) == (1, 2)
