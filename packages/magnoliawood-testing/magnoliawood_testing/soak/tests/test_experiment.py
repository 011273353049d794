"""Short run of the soak test.

Seeds that violate a guarantee are added here.
"""

import pytest

from magnoliawood_testing.soak import experiment as experiments

SHORT_SEED = 5
FAULTS = 6


@pytest.mark.parametrize('has_crashing_caller', [False, True])
def test_guarantees_hold_under_random_faults(has_crashing_caller):
    size = experiments.Size(has_crashing_caller=has_crashing_caller)
    report = experiments.Experiment(SHORT_SEED, FAULTS, size).run()
    assert report.problems == []
    assert report.outcomes[200] > 0
