"""``magnoliactl platform`` on a deployment of real processes."""

import json
import subprocess
import sys

import pytest

from magnoliawood_testing.cluster import hosted


@pytest.fixture(scope='module')
def deployment():
    """Four disks, of which one stands by."""
    with hosted.HostedDeployment(keepers=4) as started:
        started.wait_for_replicas()
        yield started


def _ask(deployment, *arguments):
    command = [
        *(sys.executable, '-m', 'magnoliawood_cli.main'),
        *('--output', 'json', 'platform', *arguments),
        *('--store', deployment.store_address),
    ]
    done = subprocess.run(command, capture_output=True, check=False)
    if done.returncode:
        return done.returncode, done.stderr.decode()
    return 0, json.loads(done.stdout)['items']


def test_copies_show_members_and_spares(deployment):
    _, lines = _ask(deployment, 'copies')
    states = [line['state'] for line in lines]
    assert states == ['complete'] * 3 + ['standing_by']
    assert {line['host'] for line in lines} == {
        f'keeper-{number}' for number in range(4)
    }


def test_lost_spare_is_silent(deployment):
    _, lines = _ask(deployment, 'copies')
    spare = deployment.keepers[int(lines[-1]['host'][-1])]
    spare.kill()
    _, lines = _ask(deployment, 'copies')
    spare.start()
    assert lines[-1]['state'] == 'silent'


def test_evacuations_show_hosts_to_be_emptied(deployment):
    assert _ask(deployment, 'evacuations') == (0, [])


def test_gateways_are_compared_with_the_store(deployment):
    addresses = deployment.peer_addresses
    deployment.put_configuration(7, hosted.standard_routes())
    deployment.wait_for(
        lambda: all(
            line['configuration'] == 7
            for line in _ask(deployment, 'in-force', *addresses)[1]
        )
    )
    _, lines = _ask(deployment, 'in-force', *addresses, '127.0.0.1:1')
    assert [line['configuration'] for line in lines] == [7, 7, 7, None]


def test_store_that_does_not_answer_is_an_error(deployment):
    deployment.set_store_faults(outage=True)
    code, message = _ask(deployment, 'copies')
    deployment.set_store_faults(outage=False)
    assert code == 3
    assert 'store_unavailable' in message
