"""A short run of the soak test, and each seed that violated a guarantee."""

from magnoliawood_testing.soak import experiment as experiments

SHORT_SEED = 5
FAULTS = 6


def test_promises_hold_under_random_faults():
    size = experiments.Size()
    report = experiments.Experiment(SHORT_SEED, FAULTS, size).run()
    assert report.problems == []
    assert report.outcomes[200] > 0
