import pytest

from magnoliawood_testing import cluster


@pytest.fixture(scope='package')
def deployment():
    """A small deployment that the tests of this package share."""
    with cluster.Deployment(engines=2, entries=2) as started:
        started.create_class('booking', 30)
        started.create_account('red-clay')
        started.create_account('kessick')
        started.create_account('support', 'viewer')
        started.wait_for_configuration()
        yield started
