"""Upstreams that limit the rate of their requests, with real processes."""

import concurrent.futures
import itertools
import signal

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
    """Send a request with content of its own.

    Equal ones are quarantined where the responses of upstreams are lost.
    """
    name = f'r{next(_numbers)}'
    return deployment.call(gateway, path, name, name.encode(), **headers)


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


def _limit(deployment, *names, rate=LIMIT):
    """Let upstreams name a limit, and wait until all gateways were told.

    :returns: the number of requests of each until then
    """
    for name in names:
        deployment.set_upstream_faults(name, rate_limit=str(rate))
        _use_only(deployment, [name])
        for gateway in range(GATEWAYS):
            deployment.wait_for(
                lambda at=gateway: (
                    'server-limit' in _send(deployment, at).headers
                )
            )
    _use_only(deployment, deployment.upstreams)
    if len(names) < len(deployment.upstreams):
        _wait_for_others(deployment)
    return {name: len(deployment.journals.arrivals_at(name)) for name in names}


def _wait_for_others(deployment):
    """Wait until all gateways use upstreams without a limit again."""

    def is_served_by_another(gateway):
        response = _send(deployment, gateway)
        return response.status == 200 and (
            'server-limit' not in response.headers
        )

    for gateway in range(GATEWAYS):
        deployment.wait_for(lambda at=gateway: is_served_by_another(at))


def _use_only(deployment, names):
    """Take all upstreams but some out of service."""
    for name in deployment.upstreams:
        state = 'ready' if name in names else 'draining'
        deployment.set_upstream_state(name, state)


def _excess(deployment, after, rate=LIMIT):
    """Return by how many requests upstreams got more than they allow.

    :param after: number of the requests of each that don't count
    """
    return max(
        rate_bound.largest_excess(
            deployment.journals.arrivals_at(name)[count:], rate
        )
        for name, count in after.items()
    )


# Guards against gateways that send an upstream all requests although it names
# a limit in its responses.
@pytest.mark.parametrize(
    'path', ['/safe/page', '/once/page', '/turns/stream', '/streams/stream']
)
def test_gateways_together_keep_to_the_limit_of_an_upstream(path):
    with hosted.HostedDeployment(gateways=GATEWAYS, upstreams=2) as deployment:
        after = _limit(deployment, LIMITED)
        responses = _press(deployment, path)
        assert {response.status for response in responses} == {200}
        assert _excess(deployment, after) <= 0


# Guards against attempts that follow a failed one, and streams that go on at
# another upstream, beyond the limit.
@pytest.mark.parametrize(
    ('path', 'faults', 'requests'),
    [
        ('/safe/page', {'lost_answers': 1000}, REQUESTS_PER_CALLER),
        ('/safe/page', {'refusals': 1000}, REQUESTS_PER_CALLER),
        # Each of these streams waits for a permit of the limited upstream.
        ('/streams/stream', {'cut_after': 2}, 12),
    ],
    ids=['lost answers', 'refusals', 'cut streams'],
)
def test_retries_keep_to_the_limit(path, faults, requests):
    with hosted.HostedDeployment(gateways=GATEWAYS, upstreams=2) as deployment:
        after = _limit(deployment, LIMITED)
        deployment.set_upstream_faults('i-2', **faults)
        before = len(deployment.journals.arrivals_at('i-2'))
        deployment.wait_for(
            lambda: (
                _press(deployment, path, requests)
                and len(deployment.journals.arrivals_at(LIMITED))
                > after[LIMITED]
            )
        )
        assert len(deployment.journals.arrivals_at('i-2')) > before
        assert _excess(deployment, after) <= 0


# Guards against an upstream that stays limited after it has stopped to say so,
# or that is freed by a figure that is no decimal number.
def test_limit_ends_with_the_first_response_that_names_none():
    with hosted.HostedDeployment(gateways=GATEWAYS, upstreams=1) as deployment:
        _limit(deployment, LIMITED)
        assert 503 in {response.status for response in _press(deployment)}
        deployment.set_upstream_faults(LIMITED, rate_limit='unlimited')
        assert 503 in {response.status for response in _press(deployment)}
        deployment.set_upstream_faults(LIMITED, rate_limit=None)
        deployment.wait_for(
            lambda: (
                {
                    response.status
                    for response in _press(deployment, requests=9)
                }
                == {200}
            )
        )


# Guards against holding requests that no upstream may get, and against a
# rejection without a time to come back.
def test_requests_are_refused_at_once_if_all_upstreams_are_limited():
    with hosted.HostedDeployment(gateways=GATEWAYS, upstreams=2) as deployment:
        after = _limit(deployment, *deployment.upstreams)
        responses = _press(deployment)
        refused = [
            response for response in responses if response.status != 200
        ]
        assert {response.status for response in refused} == {503}
        assert all(
            0 < float(response.headers['retry-after']) <= 3
            for response in refused
        )
        assert _excess(deployment, after) <= 0


# Guards against a gateway that starts again, or wakes up, and sends as if it
# were alone, and against permits that nobody issues while one is away.
@pytest.mark.parametrize('trouble', ['killed', 'paused'])
def test_limit_holds_while_a_gateway_is_away(trouble):
    with hosted.HostedDeployment(gateways=GATEWAYS, upstreams=3) as deployment:
        after = _limit(deployment, *deployment.upstreams)
        _press(deployment, requests=REQUESTS_PER_CALLER // 3)
        away = deployment.gateways[0]
        if trouble == 'killed':
            away.kill()
        else:
            away.send_signal(signal.SIGSTOP)
        before = {
            name: len(deployment.journals.arrivals_at(name)) for name in after
        }
        deployment.wait_for(
            lambda: (
                _send(deployment, 1).status
                and all(
                    len(deployment.journals.arrivals_at(name)) > count
                    for name, count in before.items()
                )
            )
        )
        if trouble == 'killed':
            away.start()
        else:
            away.send_signal(signal.SIGCONT)
        deployment.wait_for(lambda: deployment.is_ready(0))
        _press(deployment, requests=REQUESTS_PER_CALLER // 3)
        assert _excess(deployment, after) <= 0
