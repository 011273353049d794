"""Short run of the soak test.

Seeds that violate a guarantee are added here.
"""

from magnoliawood_testing.soak import experiment as experiments

SHORT_SEED = 5
FAULTS = 6


def test_guarantees_hold_under_random_faults():
    size = experiments.Size()
    report = experiments.Experiment(SHORT_SEED, FAULTS, size).run()
    assert report.problems == []
    assert report.outcomes[200] > 0
