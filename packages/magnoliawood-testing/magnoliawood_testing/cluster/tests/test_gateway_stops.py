"""Planned stops of gateways on the users' platform, with real processes."""

import concurrent.futures
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys

import pytest

from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes
from magnoliawood_testing.cluster import process as processes

LAUNCHER = pathlib.Path(__file__).parents[5] / 'deploy' / 'magnoliawoodd.py'
GRACE_SECONDS = 5
# Longer than what is left of a stop when it begins.
LONG_MS = 9000
_numbers = itertools.count(1)


@pytest.fixture
def deployment():
    """A deployment whose routes allow more time than a stop has."""
    with hosted.HostedDeployment(bounds={'grace_s': GRACE_SECONDS}) as started:
        routes = [
            {**route, 'timeout_ms': LONG_MS}
            for route in hosted_routes.standard_routes()
        ]
        assert started.put_configuration(2, routes)
        started.wait_for(lambda: _has_configuration(started, 2))
        yield started


@pytest.fixture
def pool():
    with concurrent.futures.ThreadPoolExecutor() as executor:
        yield executor


def _has_configuration(deployment, version):
    wanted = f'"version": {version}'
    return all(
        any(
            'configuration updated' in line and wanted in line
            for line in gateway.log_path.read_text().splitlines()
        )
        for gateway in deployment.gateways
    )


def _new_id():
    return f'r{next(_numbers)}'


def _slow_down(deployment, **faults):
    for name in deployment.upstreams:
        deployment.set_upstream_faults(name, **faults)


def _begin_stop(deployment):
    deployment.gateways[0].send_signal(signal.SIGTERM)
    deployment.wait_for(lambda: not deployment.is_ready(0))


def _wait_for_run(deployment, name):
    deployment.wait_for(lambda: name in deployment.journals.runs())


def _call(deployment, path, name, deadline_ms):
    return deployment.call(0, path, name, Deadline_Ms=str(deadline_ms))


@contextlib.contextmanager
def _connection(deployment):
    connection = http.client.HTTPConnection(
        deployment.address_for_callers(0), timeout=GRACE_SECONDS * 2
    )
    try:
        yield connection
    finally:
        connection.close()


def _headers(name, deadline_ms):
    return {
        'Host': hosted_routes.HOST,
        'Request-Id': name,
        'Deadline-Ms': str(deadline_ms),
    }


def test_request_that_the_stop_would_cut_is_refused_at_once(deployment):
    """Guards against work that is accepted late in the grace and cut."""
    _slow_down(deployment, answer_seconds=GRACE_SECONDS * 1.2)
    with _connection(deployment) as kept:
        kept.request('POST', '/safe/x', b'', _headers('warm', 100))
        kept.getresponse().read()
        _begin_stop(deployment)
        on_new = _call(deployment, '/once/page', 'on-new', LONG_MS)
        kept.connect()
        kept.request('POST', '/once/page', b'', _headers('on-kept', LONG_MS))
        on_kept = kept.getresponse()
        on_kept.read()
    for status, headers in (
        (on_new.status, on_new.headers),
        (on_kept.status, {k.lower(): v for k, v in on_kept.getheaders()}),
    ):
        assert status == 503
        assert float(headers['retry-after']) > 0
        assert headers['connection'] == 'close'
    assert not {'on-new', 'on-kept'} & deployment.journals.runs().keys()


def test_request_that_can_end_in_time_is_served_by_a_stopping_gateway(
    deployment,
):
    _begin_stop(deployment)
    assert _call(deployment, '/once/page', _new_id(), 1000).status == 200
    assert deployment.gateways[0].wait() == 0


def test_request_from_before_the_stop_is_answered_when_it_is_cut(
    deployment, pool
):
    """Guards against a connection that closes in place of an answer."""
    _slow_down(deployment, answer_seconds=GRACE_SECONDS * 1.2)
    name = _new_id()
    response = pool.submit(_call, deployment, '/once/page', name, LONG_MS)
    _wait_for_run(deployment, name)
    _begin_stop(deployment)
    assert deployment.gateways[0].wait() == 0
    assert response.result().status == 504


def test_repeated_sigterm_cuts_no_stream(deployment, pool):
    """Guards against a second SIGTERM that ends the process at once."""
    _slow_down(deployment, event_seconds=0.5)
    name = _new_id()
    response = pool.submit(_call, deployment, '/streams/stream', name, LONG_MS)
    _wait_for_run(deployment, name)
    _begin_stop(deployment)
    deployment.gateways[0].send_signal(signal.SIGTERM)
    deployment.gateways[0].send_signal(signal.SIGHUP)
    assert response.result().status == 200
    assert response.result().body.count(b'data:') == 5
    assert deployment.gateways[0].wait() == 0


def test_request_that_is_still_read_is_served_before_the_process_ends(
    deployment,
):
    """Guards against ending while the body of a request is under way."""
    body = b'x' * 64
    name = _new_id()
    log = deployment.gateways[0].log_path
    with _connection(deployment) as connection:
        connection.putrequest('POST', '/once/page', skip_host=True)
        for key, value in _headers(name, 3800).items():
            connection.putheader(key, value)
        connection.putheader('Content-Length', str(len(body)))
        connection.endheaders(body[:32])
        _begin_stop(deployment)
        # Nothing else is in progress when idle connections are closed.
        deployment.wait_for(
            lambda: deployment.call(0, '/safe/x', _new_id()).status is None
        )
        connection.send(body[32:])
        response = connection.getresponse()
        assert response.status == 200
        response.read()
    assert deployment.gateways[0].wait() == 0
    assert 'stopped' in [
        json.loads(line).get('message')
        for line in log.read_text().splitlines()
        if line.startswith('{')
    ]


def _blocks_sighup(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    [blocked] = [
        line.split()[1]
        for line in status.splitlines()
        if line.startswith('SigBlk')
    ]
    return int(blocked, 16) >> (signal.SIGHUP - 1) & 1


@pytest.mark.parametrize('role', ['gateway', 'keeper'])
def test_sighup_while_a_process_loads_its_code_ends_nothing(role, tmp_path):
    """Guards against a process that the change of its settings ends."""
    addresses = {
        name: processes.free_address()
        for name in ('front', 'ready', 'control', 'store', 'metrics')
    }
    settings = tmp_path / 'settings.json'
    settings.write_text(
        json.dumps(
            {
                'node_name': role,
                'ip': '127.0.0.1',
                'zone': 'zone-1',
                'listen': addresses,
                'port_range': [1, 1],
                'data_dir': str(tmp_path / 'data'),
                'platform': {'address': addresses['store']},
            }
        )
    )
    log = tmp_path / 'log'
    with log.open('wb') as output:
        process = subprocess.Popen(
            [sys.executable, str(LAUNCHER), role],
            stdout=output,
            stderr=output,
            env={
                **os.environ,
                'MAGNOLIAWOOD_CONFIG': str(settings),
                'MAGNOLIAWOOD_METRICS_PORT': addresses['metrics'][10:],
            },
        )
    try:
        deployments.wait_until(
            lambda: _blocks_sighup(process.pid), 'the launcher runs', 20
        )
        process.send_signal(signal.SIGHUP)
        deployments.wait_until(
            lambda: 'settings read again' in log.read_text(),
            'the settings are read again',
            20,
        )
        assert process.poll() is None
    finally:
        process.kill()
        process.wait()


def _lines(deployment, message):
    lines = deployment.gateways[0].log_path.read_text().splitlines()
    entries = [json.loads(line) for line in lines if line.startswith('{')]
    return [entry for entry in entries if entry.get('message') == message]


def test_stop_leaves_what_it_cut_and_what_it_refused(deployment, pool):
    """H4 of issue 45: guards against a stop whose logs hide what it cut."""
    _slow_down(deployment, answer_seconds=GRACE_SECONDS * 1.2)
    cut, refused = _new_id(), _new_id()
    response = pool.submit(_call, deployment, '/once/page', cut, LONG_MS)
    _wait_for_run(deployment, cut)
    _begin_stop(deployment)
    _call(deployment, '/once/page', refused, LONG_MS)
    deployment.gateways[0].send_signal(signal.SIGTERM)
    assert deployment.gateways[0].wait() == 0
    response.result()
    [line] = _lines(deployment, 'requests cut by a stop')
    assert (line['requests'], line['being_read']) == (1, 0)
    assert {
        line['request_id']: (line['code'], line['verdict'])
        for line in _lines(deployment, 'request refused')
    } == {
        cut: ('outcome_unknown', 'may_have_run'),
        refused: ('leaving', 'not_run'),
    }
    assert len(_lines(deployment, 'already stopping')) == 1
    assert not [
        line
        for line in _lines(deployment, 'response not completed')
        if line['is_stopping']
    ]
