import pytest

from magnoliawood_cli import exit_codes
from magnoliawood_cli.tests import conftest
from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments

Code = exit_codes.ExitCode


@pytest.fixture
def faulty_deployment():
    """Deployment of its own for a test that injects faults."""
    with cluster.Deployment(engines=1, services=(), entries=2) as started:
        started.create_class('booking', 30)
        started.wait_for_configuration()
        yield started


def test_store_outage_keeps_current_configuration(faulty_deployment):
    control = conftest.Control(faulty_deployment.entries['entry-1'].http)
    before = control.read('status')['items']
    faulty_deployment.set_faults(faulty_deployment.platform, outage=True)
    code, _, stderr = control.run(
        'class', 'create', 'later', '--target-seconds', '3'
    )
    assert code == Code.NO_ANSWER
    assert 'store_unavailable' in stderr
    during = control.read('status')['items']
    assert all('store_unavailable' in item['store'] for item in during)
    versions = [item['configuration_version'] for item in before]
    assert [item['configuration_version'] for item in during] == versions
    faulty_deployment.set_faults(faulty_deployment.platform, outage=False)
    deployments.wait_until(
        lambda: control.run('class', 'list')[0] == Code.SUCCESS, 'the store'
    )
    names = [item['name'] for item in control.read('class', 'list')['items']]
    assert names == ['booking', 'chat']


def test_unreachable_entry_is_reported_as_missing(faulty_deployment):
    control = conftest.Control(faulty_deployment.entries['entry-1'].http)
    faulty_deployment.entries['entry-2'].process.kill()
    for command in (['status'], ['program', 'list'], ['counters']):
        assert list(control.read(*command)['missing_entries']) == ['entry-2']
    code, _, stderr = control.run('class', 'delete', 'booking')
    assert code == Code.NO_ANSWER
    assert 'entry-2' in stderr
