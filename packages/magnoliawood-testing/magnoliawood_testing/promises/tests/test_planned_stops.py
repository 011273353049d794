import contextlib
import http.client
import itertools
import json
import signal
import socket
import threading

import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises.tests import support

LEAVING_BOUND_SECONDS = 3.0


@pytest.fixture(scope='module')
def deployment():
    with cluster.Deployment(step_seconds=0.12) as started:
        support.set_up(started)
        yield started


class Workload:
    """Callers that run short programs until the context exits."""

    def __init__(self, addresses):
        self._addresses = itertools.cycle(addresses)
        self._stop = threading.Event()
        self.responses = []
        self._threads = [
            threading.Thread(target=self._run, args=(next(self._addresses),))
            for _ in range(4)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, address):
        while not self._stop.is_set():
            path = support.open_program_at(address)
            response = support.send_request(
                None,
                'PUT',
                f'{path}/calls/1',
                support.turn_body('hi', max_tokens=2),
                address,
            )
            self.responses.append(response)


def start_streams(deployment, entries, count=8):
    """Start streams through the entries in turn; wait for their first text."""
    prompt = support.long_prompt(1)
    streams = {}
    for node, _ in zip(itertools.cycle(entries), range(count), strict=False):
        path = support.open_program(node)
        streams[path] = support.stream(
            node.http, 'PUT', f'{path}/calls/1',
            support.turn_body(prompt, stream=True),
        )  # fmt: skip
    deployments.wait_until(
        lambda: all(s.text for s in streams.values()), 'started streams'
    )
    return prompt, streams


def check_complete(prompt, streams):
    deployments.wait_until(
        lambda: all(s.is_done for s in streams.values()), 'ended streams'
    )
    for stream in streams.values():
        assert stream.is_complete, (stream.failure, stream.last_event)
        assert stream.text == support.expected_answer(prompt)


def test_stopped_entry_interrupts_no_stream(deployment):
    first, second = deployment.entries.values()
    prompt, streams = start_streams(deployment, [first, second])
    first.process.send_signal(signal.SIGTERM)
    deployments.wait_until(
        lambda: deployments.call(first.http, 'GET', '/readyz')[0] == 503,
        'an entry that is not ready',
    )
    with Workload([second.http]) as workload:
        check_complete(prompt, streams)
        assert first.process.wait() == 0
    assert workload.responses
    assert {status for status, _ in workload.responses} == {200}
    counts = [
        deployment.engine_state(name)['requests']
        for name in ('engine-1', 'engine-2')
    ]
    for path in streams:
        call = f'{support.name_of(path)}/1'
        assert sum(count.get(call, 0) for count in counts) == 1
        _, history = support.send_request(second, 'GET', f'{path}/history')
        assert len(history['messages']) == 2
    support.restart(deployment, first)


def test_stopping_entry_responds_and_closes_its_connections(deployment):
    first, _ = deployment.entries.values()
    _, streams = start_streams(deployment, [first], 1)
    path = support.open_program(first)
    first.process.send_signal(signal.SIGTERM)
    deployments.wait_until(
        lambda: deployments.call(first.http, 'GET', '/readyz')[0] == 503,
        'an entry that is not ready',
    )
    status, headers = support.fetch_headers(first, 'GET', path)
    assert (status, headers['connection']) == (200, 'close')
    assert first.process.wait() == 0
    assert all(s.is_complete for s in streams.values())
    support.restart(deployment, first)


def test_request_that_an_entry_still_reads_is_served_before_it_ends(
    deployment,
):
    """Guards against a stop that doesn't count bodies under way."""
    first, _ = deployment.entries.values()
    path = f'{support.open_program(first)}/calls/1'
    body = json.dumps(support.turn_body('hi', max_tokens=2)).encode()
    connection = http.client.HTTPConnection(first.http, timeout=10)
    with contextlib.closing(connection):
        connection.putrequest('PUT', path)
        connection.putheader('authorization', 'Bearer token-of-red-clay')
        connection.putheader('content-length', str(len(body)))
        connection.endheaders(body[:8])
        first.process.send_signal(signal.SIGTERM)
        deployments.wait_until(
            lambda: not _accepts(first.http), 'a listener that has stopped'
        )
        connection.send(body[8:])
        response = connection.getresponse()
        assert (response.status, response.headers['connection']) == (
            200,
            'close',
        )
        response.read()
    assert first.process.wait() == 0
    support.restart(deployment, first)


def _accepts(address):
    host, _, port = address.rpartition(':')
    try:
        socket.create_connection((host, int(port)), 1).close()
    except OSError:
        return False
    return True


def test_stopped_entry_runs_each_booking_once(deployment):
    first, second = deployment.entries.values()
    deployment.set_faults(deployment.upstreams['pours'], delay_seconds=1.0)
    paths = [support.open_program(second) for _ in range(8)]
    responses = []

    def book(path, node):
        responses.append(
            support.send_request(
                node, 'PUT', f'{path}/calls/1', support.booking_body()
            )
        )

    threads = [
        threading.Thread(target=book, args=pair)
        for pair in zip(paths, itertools.cycle([first, second]), strict=False)
    ]
    for thread in threads:
        thread.start()
    deployments.wait_until(
        lambda: deployment.metric(
            deployment.sidecars['pours-sidecar'], 'waiting_calls'
        ) == len(paths),
        'bookings in progress',
    )  # fmt: skip
    first.process.send_signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    assert first.process.wait() == 0
    deployment.set_faults(deployment.upstreams['pours'], delay_seconds=0.005)
    assert [status for status, _ in responses] == [200] * len(paths)
    runs = deployment.runs('pours')
    assert [runs[f'{support.name_of(path)}/1'] for path in paths] == [1] * 8
    support.restart(deployment, first)


def test_entry_stopped_in_a_store_outage_waits_for_the_store(deployment):
    first, second = deployment.entries.values()
    prompt, streams = start_streams(deployment, [first, second], 4)
    deployment.set_faults(deployment.platform, outage=True)
    first.process.send_signal(signal.SIGTERM)
    check_complete(prompt, streams)
    assert first.process.is_running
    deployment.set_faults(deployment.platform, outage=False)
    assert first.process.wait() == 0
    for path in streams:
        deployments.wait_until(
            lambda path=path: len(
                support.send_request(
                    second, 'GET', f'{path}/history'
                )[1]['messages']
            ) == 2,
            'a history at the new owner',
        )  # fmt: skip
    support.restart(deployment, first)


def test_stopped_sidecar_completes_its_calls_and_gets_no_new_one(deployment):
    first, second = deployment.entries.values()
    sidecar = deployment.sidecars['engine-1-sidecar']
    prompt, streams = start_streams(deployment, [first, second])
    sidecar.process.send_signal(signal.SIGTERM)
    deployments.wait_until(
        lambda: all(
            deployment.metric(node, 'sidecars_leaving') == 1
            for node in (first, second)
        ),
        'entries that see the sidecar as leaving',
        LEAVING_BOUND_SECONDS,
    )
    before = support.engine_requests(deployment, 'engine-1')
    with Workload([first.http, second.http]) as workload:
        check_complete(prompt, streams)
        assert sidecar.process.wait() == 0
    assert support.engine_requests(deployment, 'engine-1') == before
    assert {status for status, _ in workload.responses} == {200}
    assert 'outcomes dropped' not in sidecar.process.log_path.read_text()
    support.restart(deployment, sidecar)
    deployments.wait_until(
        lambda: deployment.metric(first, 'sidecars_leaving') == 0,
        'usable sidecar',
    )


def test_upstream_marked_as_leaving_in_the_host_list_gets_no_new_work(
    deployment,
):
    first, second = deployment.entries.values()
    list_delay = 1.5
    deployment.set_faults(deployment.platform, stale_seconds=list_delay)
    sidecar = deployment.sidecars['engine-1-sidecar']
    sidecar.is_leaving = True
    with Workload([first.http, second.http]) as workload:
        deployments.wait_until(lambda: len(workload.responses) > 4, 'work')
        deployment.publish_hosts()
        deployments.wait_until(
            lambda: all(
                deployment.metric(node, 'sidecars_leaving') == 1
                for node in (first, second)
            ),
            'entries that see the sidecar as leaving',
            list_delay + LEAVING_BOUND_SECONDS,
        )
        before = support.engine_requests(deployment, 'engine-1')
        response_count = len(workload.responses)
        deployments.wait_until(
            lambda: len(workload.responses) > response_count + 8, 'more work'
        )
        assert support.engine_requests(deployment, 'engine-1') == before
    assert {status for status, _ in workload.responses} == {200}
    sidecar.is_leaving = False
    deployment.set_faults(deployment.platform, stale_seconds=0.1)
    deployment.publish_hosts()
    deployments.wait_until(
        lambda: deployment.metric(first, 'sidecars_leaving') == 0,
        'usable sidecar',
    )


def test_second_signal_ends_the_wait(deployment):
    first, second = deployment.entries.values()
    sidecar = deployment.sidecars['engine-1-sidecar']
    start_streams(deployment, [first], 4)
    for node in (first, sidecar):
        node.process.send_signal(signal.SIGTERM)
    deployments.wait_until(
        lambda: (
            deployments.call(first.http, 'GET', '/readyz')[0] == 503
            and deployment.metric(second, 'sidecars_leaving') == 1
        ),
        'started shutdowns',
    )
    for node in (first, sidecar):
        node.process.send_signal(signal.SIGTERM)
    assert [node.process.wait() for node in (first, sidecar)] == [1, 1]
