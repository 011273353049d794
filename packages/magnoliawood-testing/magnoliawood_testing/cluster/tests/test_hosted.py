"""End-to-end tests on the users' platform with real processes."""

import itertools
import signal
import time

import pytest

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes

EVENTS = b''.join(
    f'id: {number}\ndata: word{number}\n\n'.encode() for number in range(1, 6)
)
OUTPUT = ''.join(f'word{number}\n' for number in range(1, 6))
_numbers = itertools.count(1)


@pytest.fixture(scope='module')
def shared():
    """A deployment shared by tests that restore its state."""
    with hosted.HostedDeployment() as started:
        yield started


@pytest.fixture
def fresh():
    """A new deployment for a test that damages it."""
    with hosted.HostedDeployment() as started:
        yield started


def _new_id(prefix='r'):
    return f'{prefix}{next(_numbers)}'


def _turn(deployment, gateway, request_id, text, **headers):
    all_headers = {
        'Program_Id': 'program-1',
        'Session_Id': 'line-1',
        'Token_Budget': '100000',
        'Token_Usage': '10,80',
        **headers,
    }
    return deployment.call(
        gateway, '/turns/stream', request_id, text, **all_headers
    )


def test_response_is_that_of_the_upstream(shared):
    name = _new_id()
    response = shared.call(0, '/safe/page', name)
    assert (response.status, response.body) == (200, b'done')
    assert response.headers['server-stamp'].endswith(name)
    assert response.headers['request-id'] == name


def test_unknown_route_is_not_found(shared):
    assert shared.call(0, '/nothing/', _new_id()).status == 404


def test_turns_share_one_history_across_gateways(shared):
    first, second, third = _new_id(), _new_id(), _new_id()
    program = _new_id('p')
    response = _turn(shared, 0, first, b'one|', Program_Id=program)
    assert (response.status, response.body) == (200, EVENTS)
    for gateway, name, previous, text in (
        (1, second, first, b'two|'),
        (0, third, second, b'three|'),
    ):
        response = _turn(
            shared,
            gateway,
            name,
            text,
            Previous_Turn=previous,
            Program_Id=program,
        )
        assert response.status == 200
    expected = f'one|{OUTPUT}two|{OUTPUT}three|'
    assert shared.journals.body_of(third) == expected


def test_turn_with_unknown_predecessor_is_not_found_and_does_not_run(shared):
    name = _new_id()
    response = _turn(shared, 0, name, b'x', Previous_Turn='no-such-turn')
    assert response.status == 404
    assert name not in shared.journals.runs()


def test_token_budget_is_enforced_across_gateways(shared):
    program = _new_id('p')
    statuses = [
        _turn(
            shared,
            number % 2,
            _new_id(),
            b'x',
            Program_Id=program,
            Token_Budget='160',
        ).status
        for number in range(4)
    ]
    # Each turn spends 80 tokens: five events of 16.
    assert statuses == [200, 200, 402, 402]


def test_request_rejected_by_all_upstreams_gets_503_and_does_not_run(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'refusals': 1})
    name = _new_id()
    response = shared.call(0, '/once/page', name)
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'refusals': 0})
    assert response.status == 503
    assert float(response.headers['retry-after']) > 0
    assert name not in shared.journals.runs()


def test_unsafe_call_with_a_lost_response_is_not_repeated(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'lost_answers': 1})
    name = _new_id()
    response = shared.call(0, '/once/page', name)
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'lost_answers': 0})
    assert response.status == 502
    assert shared.journals.runs()[name] == 1


def test_cut_stream_is_resumed_at_another_upstream(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': 3})
    name = _new_id()
    response = shared.call(0, '/streams/stream', name)
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': -1})
    assert (response.status, response.body) == (200, EVENTS)
    assert shared.journals.runs()[name] == 2


def test_cut_turn_does_not_look_complete(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': 3})
    name = _new_id()
    response = _turn(shared, 0, name, b'x', Program_Id=_new_id('p'))
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': -1})
    assert response.status is None
    assert shared.journals.runs()[name] == 1


def test_new_configuration_is_applied_by_all_gateways(shared):
    routes = hosted_routes.standard_routes()
    added = {**routes[0], 'name': 'added', 'path_prefix': '/added/'}
    shared.put_configuration(7, [*routes, added])
    for gateway in range(2):
        shared.wait_for(
            lambda at=gateway: (
                shared.call(at, '/added/x', _new_id()).status == 200
            )
        )


def test_history_survives_successive_losses_of_two_disks(fresh):
    first, second = _new_id(), _new_id()
    program = _new_id('p')
    assert _turn(fresh, 0, first, b'one|', Program_Id=program).status == 200
    for keeper in (0, 1):
        epoch = fresh.group()['epoch']
        fresh.keepers[keeper].kill()
        fresh.wipe_disk(keeper)
        fresh.keepers[keeper].start()
        fresh.wait_for(lambda before=epoch: fresh.group()['epoch'] > before)
        fresh.wait_for_replicas()
    fresh.keepers[2].kill()
    fresh.wait_for(
        lambda: (
            _turn(
                fresh,
                1,
                second,
                b'two|',
                Previous_Turn=first,
                Program_Id=program,
            ).status
            == 200
        )
    )
    assert fresh.journals.body_of(second) == f'one|{OUTPUT}two|'


def test_history_and_charges_survive_a_kill_of_all_processes(fresh):
    first, program = _new_id(), _new_id('p')
    assert (
        _turn(
            fresh, 0, first, b'one|', Program_Id=program, Token_Budget='160'
        ).status
        == 200
    )
    for process in (*fresh.keepers, *fresh.gateways):
        process.kill()
    for process in (*fresh.keepers, *fresh.gateways):
        process.start()
    fresh.wait_until_ready()
    statuses = []
    for _ in range(2):
        name = _new_id()
        response = _turn(
            fresh,
            1,
            name,
            b'two|',
            Program_Id=program,
            Previous_Turn=first,
            Token_Budget='160',
        )
        statuses.append(response.status)
    assert statuses == [200, 402]


def test_gateway_started_in_a_store_outage_gets_state_from_a_peer(fresh):
    fresh.store('POST', '/control/faults', {'outage': True})
    fresh.gateways[1].kill()
    fresh.gateways[1].start()
    fresh.wait_for(lambda: fresh.is_ready(1))
    assert fresh.call(1, '/safe/page', _new_id()).status == 200


def test_planned_stop_completes_a_stream(fresh):
    for upstream in fresh.upstreams:
        fresh.upstream(upstream, '/control/faults', {'event_seconds': 0.3})
    gateway = fresh.gateways[0]
    name = _new_id()
    # The request arrives after the gateway has announced that it is stopping.
    gateway.send_signal(signal.SIGTERM)
    fresh.wait_for(lambda: not fresh.is_ready(0))
    response = fresh.call(0, '/streams/stream', name)
    assert (response.status, response.body) == (200, EVENTS)
    assert response.headers['connection'] == 'close'
    assert gateway.wait() == 0


def test_gateways_are_not_ready_while_too_few_replicas_respond(fresh):
    for keeper in fresh.keepers[:2]:
        keeper.kill()
    # Rejections are immediate. A gateway reports that it is not ready only
    # after some of them.
    fresh.wait_for(
        lambda: (
            _turn(fresh, 0, _new_id(), b'x').status == 503
            and not fresh.is_ready(0)
        )
    )
    fresh.keepers[0].start()
    fresh.wait_for(lambda: fresh.is_ready(0))
    fresh.wait_for(lambda: _turn(fresh, 0, _new_id(), b'x').status == 200)


def test_processes_keep_running_after_sighup(shared):
    processes = (*shared.gateways, *shared.keepers)
    for process in processes:
        process.send_signal(signal.SIGHUP)
    for process in processes:
        shared.wait_for(
            lambda log=process.log_path: (
                'settings read again' in log.read_text()
            )
        )
    assert all(process.is_running for process in processes)
    assert _turn(shared, 0, _new_id(), b'x').status == 200


def _poison(deployment):
    for upstream in deployment.upstreams:
        deployment.set_upstream_faults(upstream, poison='bad')


def _send_until_all_reject(deployment):
    """Send the poison to each gateway in turn; return the statuses."""
    gateways = range(len(deployment.gateways))
    statuses = []

    def is_rejected_by_all():
        latest = [
            deployment.call(gateway, '/once/page', _new_id(), b'bad').status
            for gateway in gateways
        ]
        statuses.extend(latest)
        return set(latest) == {503}

    deployment.wait_for(is_rejected_by_all)
    return statuses


def test_request_that_crashed_two_upstreams_is_rejected_by_all(shared):
    _poison(shared)
    statuses = _send_until_all_reject(shared)
    for upstream in shared.upstreams:
        shared.set_upstream_faults(upstream, poison='')
    # Each 502 stands for one crash of an upstream. Reports of crashes reach
    # the other gateway with a delay.
    assert statuses.count(502) <= 4
    assert shared.call(0, '/once/page', _new_id(), b'good').status == 200


# Guards against taking each crash on a reused connection for an idle
# connection that the upstream had closed.
@pytest.mark.parametrize('gateways', [2, 4])
def test_crashes_on_reused_connections_count(gateways):
    with hosted.HostedDeployment(gateways=gateways) as deployment:
        _poison(deployment)
        statuses = _send_until_all_reject(deployment)
    assert statuses.count(502) <= 2 * gateways


def test_reused_request_id_is_charged_again(shared):
    """Guards against runs without a charge after a rejected attempt.

    The attempt was rejected and withdrawn; a request with the same id then
    ran.
    """
    name, program = _new_id(), _new_id('p')
    statuses = [
        _turn(
            shared, 0, name, b'x', Program_Id=program, Token_Budget='160'
        ).status
        for _ in range(3)
    ]
    assert statuses == [200, 200, 402]


def test_keepers_started_in_a_store_outage_get_state_from_gateways(fresh):
    fresh.store('POST', '/control/faults', {'outage': True})
    for keeper in fresh.keepers:
        keeper.kill()
        keeper.start()
    fresh.wait_for(lambda: _turn(fresh, 0, _new_id(), b'x').status == 200)


def test_dropped_idle_connections_do_not_count_as_crashes(fresh):
    """Guards against taking dropped idle connections for crashes.

    Upstreams that close idle connections are healthy, and requests on such
    connections did not crash them.
    """
    for upstream in fresh.upstreams:
        fresh.set_upstream_faults(upstream, forget_idle_seconds=0.1)
    statuses = []
    for _ in range(8):
        statuses.append(fresh.call(0, '/once/page', _new_id(), b'same').status)
        time.sleep(0.2)
    assert 503 not in statuses
    # One for each upstream: a gateway learns of a dropped connection only from
    # the failure of a request.
    assert statuses.count(502) <= len(fresh.upstreams)


# Guards against sending requests to an upstream that announced its leave in a
# response only: a gateway that did not see it learns it from its peer.
def test_upstream_that_announces_its_leave_gets_no_new_requests(fresh):
    fresh.set_upstream_faults('i-1', is_leaving=True)

    def is_announced():
        log = fresh.gateways[0].log_path.read_text()
        return 'announced in a response' in log

    def is_avoided_by(gateway):
        """Send requests and return whether none ran at the upstream."""
        runs = fresh.journals.runs_at('i-1')
        for _ in range(20):
            response = fresh.call(gateway, '/safe/page', _new_id())
            assert response.status == 200
        return fresh.journals.runs_at('i-1') == runs

    fresh.wait_for(
        lambda: fresh.call(0, '/safe/page', _new_id()) and is_announced()
    )
    assert is_avoided_by(0)
    fresh.wait_for(lambda: is_avoided_by(1))


# Guards against a soak whose thread that is to empty a disk ends with an error
# because the store is away.
def test_replicas_are_not_known_to_be_complete_without_the_store(shared):
    shared.set_store_faults(outage=True)
    try:
        assert not shared.are_replicas_complete()
    finally:
        shared.set_store_faults(outage=False)
    shared.wait_for_replicas()
