"""Hosts with a disk that are to be emptied, with real processes."""

import itertools

from magnoliawood_testing.cluster import hosted

_numbers = itertools.count(1)


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


def _new_id():
    return f'evacuation-{next(_numbers)}'


def _evacuate_first_member(deployment):
    """Wait until the host of the first member is empty, and return it."""
    host = deployment.group()['members'][0]['host']
    body = {'metadata': {'name': host}, 'spec': {'duration_s': 5}}
    deployment.store('POST', '/objects/retirements', body)
    target = f'/objects/retirements/{host}'
    deployment.wait_for(
        lambda: b'"completed"' in deployment.store('GET', target).body
    )
    return host


def test_evacuation_of_a_host_is_reported_as_completed():
    with hosted.HostedDeployment() as fresh:
        first = _new_id()
        assert _turn(fresh, 0, first, b'one|').status == 200
        host = _evacuate_first_member(fresh)
        members = [member['host'] for member in fresh.group()['members']]
        assert len(members) == 2
        assert host not in members
        fresh.keepers[int(host[-1])].kill()
        fresh.wait_for(
            lambda: (
                _turn(fresh, 1, _new_id(), b'x', Previous_Turn=first).status
                == 200
            )
        )


def test_hosts_are_evacuated_with_a_standby_disk():
    """The standby disk replaces the member of the evacuated host.

    Guards against a change of the replica group that waits for itself to
    complete.
    """
    with hosted.HostedDeployment(keepers=4) as fresh:
        first = _new_id()
        assert _turn(fresh, 0, first, b'one|').status == 200
        for _ in range(2):
            host = _evacuate_first_member(fresh)
            fresh.wait_for_replicas()
            fresh.keepers[int(host[-1])].kill()
        response = _turn(fresh, 1, _new_id(), b'x', Previous_Turn=first)
        assert response.status == 200
