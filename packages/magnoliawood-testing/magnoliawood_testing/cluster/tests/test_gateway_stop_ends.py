"""How the planned stop of a gateway ends, with real processes."""

import concurrent.futures
import contextlib
import http.client
import signal
import time

import pytest

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes

# Longer than any stop here.
LONG_MS = 9000


@pytest.fixture
def pool():
    with concurrent.futures.ThreadPoolExecutor() as executor:
        yield executor


@contextlib.contextmanager
def _deployment(grace_seconds):
    """Run a deployment with a stop limit and slow upstreams."""
    with hosted.HostedDeployment(
        gateways=1, bounds={'grace_s': grace_seconds}
    ) as started:
        for name in started.upstreams:
            started.set_upstream_faults(
                name, answer_seconds=8, event_seconds=1
            )
        yield started


def _wait_for_run(deployment, name):
    deployment.wait_for(lambda: name in deployment.journals.runs())


def _seconds_of_stop(deployment):
    began = time.monotonic()
    deployment.gateways[0].stop()
    return time.monotonic() - began


@pytest.mark.parametrize('grace_seconds', [1, 2, 3])
def test_stop_that_is_shorter_than_its_notice_answers_what_it_cuts(
    grace_seconds, pool
):
    """Guards against a connection that closes in place of an answer."""
    with _deployment(grace_seconds) as deployment:
        response = pool.submit(deployment.call, 0, '/once/page', 'long')
        _wait_for_run(deployment, 'long')
        assert _seconds_of_stop(deployment) < grace_seconds
        assert response.result().status == 504


def test_request_whose_body_does_not_come_is_refused_when_the_stop_ends():
    """Guards against a connection that closes in place of an answer."""
    with _deployment(3) as deployment:
        connection = http.client.HTTPConnection(
            deployment.address_for_callers(0), timeout=10
        )
        with contextlib.closing(connection):
            connection.putrequest('POST', '/once/page', skip_host=True)
            connection.putheader('Host', hosted_routes.HOST)
            connection.putheader('Request-Id', 'half')
            connection.putheader('Deadline-Ms', str(LONG_MS))
            connection.putheader('Content-Length', '64')
            connection.endheaders(b'x' * 32)
            deployment.gateways[0].send_signal(signal.SIGTERM)
            response = connection.getresponse()
            assert response.status == 503
            assert float(response.headers['retry-after']) > 0
            assert response.headers['connection'] == 'close'
        assert deployment.gateways[0].wait() == 0
        assert 'half' not in deployment.journals.runs()


def test_stop_ends_in_time_while_no_charge_can_be_stored(pool):
    """Guards against a flush that outlasts the limit of the stop."""
    with _deployment(5) as deployment:
        headers = {'Program_Id': 'p', 'Token_Budget': '1000'}
        response = pool.submit(
            lambda: deployment.call(0, '/turns/stream', 't1', **headers)
        )
        _wait_for_run(deployment, 't1')
        for keeper in deployment.keepers:
            keeper.send_signal(signal.SIGSTOP)
        assert _seconds_of_stop(deployment) < 5
        response.result()
