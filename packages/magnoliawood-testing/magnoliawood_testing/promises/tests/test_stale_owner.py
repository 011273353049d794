import signal

from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises import scenario as scenarios


def get_through(node, path):
    """Send one request through one entry and return its response."""
    headers = {'authorization': f'Bearer token-of-{scenarios.CALLER}'}
    return deployments.call(
        node.http, 'GET', f'/v1/programs/{path}', headers=headers
    )


def test_owner_that_resumes_in_an_outage_returns_no_stale_state(scenario):
    name = scenario.open()
    scenario.turn(name, 1, 'one')
    previous_owner = scenario.owner_of(name)
    previous_owner.process.send_signal(signal.SIGSTOP)
    deployments.wait_until(
        lambda: scenario.owner_of(name) is not previous_owner, 'a new owner'
    )
    for number in (2, 3):
        scenario.turn(name, number, f'number {number}')
    expected = scenario.history(name)
    assert len(expected) == 6
    scenario.deployment.set_faults(scenario.deployment.platform, outage=True)
    previous_owner.process.send_signal(signal.SIGCONT)
    status, response = get_through(previous_owner, f'{name}/history')
    assert status == 200
    assert len(response['messages']) == 6
    _, program = get_through(previous_owner, name)
    assert program['next_sequence'] == 4
