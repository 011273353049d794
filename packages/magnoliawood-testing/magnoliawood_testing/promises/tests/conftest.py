import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.promises import scenario as scenarios


@pytest.fixture(scope='module')
def shared_scenario():
    """Scenario with three entries, two engines and a two-process service."""
    with cluster.Deployment(
        engines=2,
        entries=3,
        service_pool=2,
        entry_settings={'suspicion_seconds': 1.0, 'segments_per_log': 10},
    ) as started:
        scenario = scenarios.Scenario(started)
        scenario.prepare()
        yield scenario


@pytest.fixture
def scenario(shared_scenario):
    """The shared deployment, healed after each test."""
    yield shared_scenario
    shared_scenario.heal()
