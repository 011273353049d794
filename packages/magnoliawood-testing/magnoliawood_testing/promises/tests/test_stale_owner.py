import signal

from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises import scenario as scenarios


def ask_through(node, path):
    """Send one request through one entry and return its answer."""
    headers = {'authorization': f'Bearer token-of-{scenarios.CALLER}'}
    return deployments.call(
        node.http, 'GET', f'/v1/programs/{path}', headers=headers
    )


def test_owner_that_wakes_in_an_outage_shows_no_old_state(scenario):
    name = scenario.open()
    scenario.turn(name, 1, 'one')
    former = scenario.owner_of(name)
    former.process.send_signal(signal.SIGSTOP)
    deployments.wait_until(
        lambda: scenario.owner_of(name) is not former, 'a new owner'
    )
    for number in (2, 3):
        scenario.turn(name, number, f'number {number}')
    expected = scenario.history(name)
    assert len(expected) == 6
    scenario.deployment.set_faults(scenario.deployment.platform, outage=True)
    former.process.send_signal(signal.SIGCONT)
    status, kept = ask_through(former, f'{name}/history')
    assert status == 200
    assert len(kept['messages']) == 6
    _, shown = ask_through(former, name)
    assert shown['next_sequence'] == 4
