"""The whole path on the users' platform, as real processes."""

import itertools
import signal
import time

import pytest

from magnoliawood_testing.cluster import hosted

EVENTS = b''.join(
    f'id: {number}\ndata: word{number}\n\n'.encode() for number in range(1, 6)
)
OUTPUT = ''.join(f'word{number}\n' for number in range(1, 6))
_numbers = itertools.count(1)


@pytest.fixture(scope='module')
def shared():
    """A deployment for tests that leave it as it was."""
    with hosted.HostedDeployment() as started:
        yield started


@pytest.fixture
def own():
    """A deployment for a test that breaks it."""
    with hosted.HostedDeployment() as started:
        yield started


def _name(prefix='r'):
    return f'{prefix}{next(_numbers)}'


def _turn(deployment, gateway, request_id, text, **headers):
    given = {
        'Program_Id': 'program-1',
        'Session_Id': 'line-1',
        'Token_Budget': '100000',
        'Token_Usage': '10,80',
        **headers,
    }
    return deployment.call(gateway, '/turns/stream', request_id, text, **given)


def test_answer_is_the_upstreams_own(shared):
    name = _name()
    reply = shared.call(0, '/safe/page', name)
    assert (reply.status, reply.body) == (200, b'done')
    assert reply.headers['server-stamp'].endswith(name)
    assert reply.headers['request-id'] == name


def test_unknown_route_is_not_found(shared):
    assert shared.call(0, '/nothing/', _name()).status == 404


def test_turns_carry_their_history_through_any_gateway(shared):
    first, second, third = _name(), _name(), _name()
    program = _name('p')
    reply = _turn(shared, 0, first, b'one|', Program_Id=program)
    assert (reply.status, reply.body) == (200, EVENTS)
    for gateway, name, previous, text in (
        (1, second, first, b'two|'),
        (0, third, second, b'three|'),
    ):
        reply = _turn(
            shared,
            gateway,
            name,
            text,
            Previous_Turn=previous,
            Program_Id=program,
        )
        assert reply.status == 200
    expected = f'one|{OUTPUT}two|{OUTPUT}three|'
    assert shared.body_of(third) == expected


def test_turn_that_never_was_is_not_found_and_does_not_run(shared):
    name = _name()
    reply = _turn(shared, 0, name, b'x', Previous_Turn='no-such-turn')
    assert reply.status == 404
    assert name not in shared.runs()


def test_budget_holds_over_all_gateways(shared):
    program = _name('p')
    statuses = [
        _turn(
            shared,
            number % 2,
            _name(),
            b'x',
            Program_Id=program,
            Token_Budget='160',
        ).status
        for number in range(4)
    ]
    # Each turn spends 80 tokens: five events of 16.
    assert statuses == [200, 200, 402, 402]


def test_refusal_of_one_upstream_leads_to_another(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'refusals': 1})
    name = _name()
    reply = shared.call(0, '/once/page', name)
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'refusals': 0})
    assert reply.status == 503
    assert float(reply.headers['retry-after']) > 0
    assert name not in shared.runs()


def test_lost_answer_of_an_unsafe_call_is_not_sent_again(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'lost_answers': 1})
    name = _name()
    reply = shared.call(0, '/once/page', name)
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'lost_answers': 0})
    assert reply.status == 502
    assert shared.runs()[name] == 1


def test_cut_stream_goes_on_at_another_upstream(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': 3})
    name = _name()
    reply = shared.call(0, '/streams/stream', name)
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': -1})
    assert (reply.status, reply.body) == (200, EVENTS)
    assert shared.runs()[name] == 2


def test_cut_turn_does_not_look_complete(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': 3})
    name = _name()
    reply = _turn(shared, 0, name, b'x', Program_Id=_name('p'))
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'cut_after': -1})
    assert reply.status is None
    assert shared.runs()[name] == 1


def test_new_configuration_comes_into_force(shared):
    routes = hosted.standard_routes()
    added = {**routes[0], 'name': 'added', 'path_prefix': '/added/'}
    shared.put_configuration(7, [*routes, added])
    for gateway in range(2):
        shared.wait_for(
            lambda at=gateway: (
                shared.call(at, '/added/x', _name()).status == 200
            )
        )


def test_history_outlives_a_lost_disk_and_then_another(own):
    first, second = _name(), _name()
    program = _name('p')
    assert _turn(own, 0, first, b'one|', Program_Id=program).status == 200
    for keeper in (0, 1):
        epoch = own.group()['epoch']
        own.keepers[keeper].kill()
        own.empty_disk(keeper)
        own.keepers[keeper].start()
        own.wait_for(lambda before=epoch: own.group()['epoch'] > before)
        own.wait_for_replicas()
    own.keepers[2].kill()
    own.wait_for(
        lambda: (
            _turn(
                own,
                1,
                second,
                b'two|',
                Previous_Turn=first,
                Program_Id=program,
            ).status
            == 200
        )
    )
    assert own.body_of(second) == f'one|{OUTPUT}two|'


def test_all_processes_killed_lose_nothing(own):
    first, program = _name(), _name('p')
    assert (
        _turn(
            own, 0, first, b'one|', Program_Id=program, Token_Budget='160'
        ).status
        == 200
    )
    for killed in (*own.keepers, *own.gateways):
        killed.kill()
    for killed in (*own.keepers, *own.gateways):
        killed.start()
    own.wait_until_ready()
    statuses = []
    for _ in range(2):
        name = _name()
        reply = _turn(
            own,
            1,
            name,
            b'two|',
            Program_Id=program,
            Previous_Turn=first,
            Token_Budget='160',
        )
        statuses.append(reply.status)
    assert statuses == [200, 402]


def test_gateway_that_starts_in_a_store_outage_learns_from_a_peer(own):
    own.store('POST', '/control/faults', {'outage': True})
    own.gateways[1].kill()
    own.gateways[1].start()
    own.wait_for(lambda: own.is_ready(1))
    assert own.call(1, '/safe/page', _name()).status == 200


def test_planned_stop_lets_a_stream_end(own):
    for upstream in own.upstreams:
        own.upstream(upstream, '/control/faults', {'event_seconds': 0.3})
    gateway = own.gateways[0]
    name = _name()
    # The stop is announced before the request, which arrives all the same.
    gateway.send_signal(signal.SIGTERM)
    own.wait_for(lambda: not own.is_ready(0))
    reply = own.call(0, '/streams/stream', name)
    assert (reply.status, reply.body) == (200, EVENTS)
    assert reply.headers['connection'] == 'close'
    assert gateway.wait() == 0


def test_host_that_is_to_be_emptied_reports_when_it_is(own):
    first = _name()
    assert _turn(own, 0, first, b'one|').status == 200
    host = own.group()['members'][0]['host']
    body = {'metadata': {'name': host}, 'spec': {'duration_s': 5}}
    own.store('POST', '/objects/retirements', body)
    own.wait_for(
        lambda: (
            b'"completed"'
            in own.store('GET', f'/objects/retirements/{host}').body
        )
    )
    members = [member['host'] for member in own.group()['members']]
    assert len(members) == 2
    assert host not in members
    own.keepers[int(host[-1])].kill()
    own.wait_for(
        lambda: _turn(own, 1, _name(), b'x', Previous_Turn=first).status == 200
    )


def test_gateways_say_so_while_too_few_copies_answer(own):
    for keeper in own.keepers[:2]:
        keeper.kill()
    # Refusals are immediate; some of them have to come first.
    own.wait_for(
        lambda: (
            _turn(own, 0, _name(), b'x').status == 503 and not own.is_ready(0)
        )
    )
    own.keepers[0].start()
    own.wait_for(lambda: own.is_ready(0))
    own.wait_for(lambda: _turn(own, 0, _name(), b'x').status == 200)


def test_processes_go_on_when_asked_to_read_their_settings(shared):
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
    assert _turn(shared, 0, _name(), b'x').status == 200


def test_host_is_emptied_while_another_stands_by():
    """The spare takes the place; the group never waits for itself."""
    with hosted.HostedDeployment(keepers=4) as own:
        first = _name()
        assert _turn(own, 0, first, b'one|').status == 200
        for _ in range(2):
            host = own.group()['members'][0]['host']
            body = {'metadata': {'name': host}, 'spec': {'duration_s': 5}}
            own.store('POST', '/objects/retirements', body)
            own.wait_for(
                lambda at=host: (
                    b'"completed"'
                    in own.store('GET', f'/objects/retirements/{at}').body
                )
            )
            own.wait_for_replicas()
            own.keepers[int(host[-1])].kill()
        reply = _turn(own, 1, _name(), b'x', Previous_Turn=first)
        assert reply.status == 200


def test_request_that_crashed_two_upstreams_is_refused_everywhere(shared):
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'poison': 'bad'})
    statuses = []

    def is_refused():
        for gateway in range(2):
            reply = shared.call(gateway, '/once/page', _name(), b'bad')
            statuses.append(reply.status)
        return statuses[-2:] == [503, 503]

    shared.wait_for(is_refused)
    for upstream in shared.upstreams:
        shared.upstream(upstream, '/control/faults', {'poison': ''})
    # Each crashed an upstream once, and news of that travel for a moment.
    assert statuses.count(502) <= 4
    assert shared.call(0, '/once/page', _name(), b'good').status == 200


def test_request_id_that_is_used_again_is_charged_again(shared):
    """An attempt was refused and withdrawn; its id came back and ran."""
    name, program = _name(), _name('p')
    statuses = [
        _turn(
            shared, 0, name, b'x', Program_Id=program, Token_Budget='160'
        ).status
        for _ in range(3)
    ]
    assert statuses == [200, 200, 402]


def test_keepers_that_start_in_a_store_outage_learn_from_gateways(own):
    own.store('POST', '/control/faults', {'outage': True})
    for keeper in own.keepers:
        keeper.kill()
        keeper.start()
    own.wait_for(lambda: _turn(own, 0, _name(), b'x').status == 200)


def test_forgotten_idle_connections_are_no_crashes(own):
    """Upstreams that drop what rested are well, and so are the requests."""
    for upstream in own.upstreams:
        own.set_upstream_faults(upstream, forget_idle_seconds=0.1)
    statuses = []
    for _ in range(8):
        statuses.append(own.call(0, '/once/page', _name(), b'same').status)
        time.sleep(0.2)
    assert 503 not in statuses
    # One for each upstream, since nothing tells of it before.
    assert statuses.count(502) <= len(own.upstreams)
