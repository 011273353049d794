"""Upstreams that limit the rate of their requests, with real processes."""

import concurrent.futures
import itertools

import pytest

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.standins import rate_bound

LIMIT = 4.0
LIMITED = 'i-1'
GATEWAYS = 3
CALLERS_PER_GATEWAY = 2
REQUESTS_PER_CALLER = 60
_numbers = itertools.count(1)


def _send(deployment, gateway, path='/safe/page', **headers):
    name = f'r{next(_numbers)}'
    return deployment.call(gateway, path, name, b'page', **headers)


def _press(deployment, path='/safe/page', requests=REQUESTS_PER_CALLER):
    """Send requests through all gateways at once; return their responses."""
    callers = range(GATEWAYS * CALLERS_PER_GATEWAY)

    def send_all(caller):
        gateway = caller % GATEWAYS
        return [_send(deployment, gateway, path) for _ in range(requests)]

    with concurrent.futures.ThreadPoolExecutor(len(callers)) as executor:
        return list(
            itertools.chain.from_iterable(executor.map(send_all, callers))
        )


def _limit(deployment, upstream=LIMITED, rate=LIMIT):
    """Let an upstream name a limit, and wait until all gateways were told.

    :returns: the number of its requests until then
    """
    deployment.set_upstream_faults(upstream, rate_limit=str(rate))
    for gateway in range(GATEWAYS):
        deployment.wait_for(
            lambda at=gateway: 'server-limit' in _send(deployment, at).headers
        )
    return len(deployment.arrivals_at(upstream))


def _excess(deployment, after, upstream=LIMITED, rate=LIMIT):
    """Return by how many requests an upstream got more than it allows."""
    arrivals = deployment.arrivals_at(upstream)[after:]
    return rate_bound.largest_excess(arrivals, rate)


# Guards against gateways that send an upstream all requests although it names
# a limit in its responses.
@pytest.mark.parametrize('path', ['/safe/page', '/turns/stream'])
def test_gateways_together_keep_to_the_limit_of_an_upstream(path):
    with hosted.HostedDeployment(gateways=GATEWAYS, upstreams=2) as deployment:
        after = _limit(deployment)
        responses = _press(deployment, path)
        assert {response.status for response in responses} == {200}
        assert _excess(deployment, after) <= 0
