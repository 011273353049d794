"""Short run of the soak test.

Seeds that violate a guarantee are added here.
"""

import pytest

from magnoliawood_testing.soak import experiment as experiments

SHORT_SEED = 5
FAULTS = 6
# The store takes a change of the configuration and loses its answer; the check
# expected the version before it.
LOST_ANSWER_SEED = 48
LOST_ANSWER_FAULTS = 12


@pytest.mark.parametrize('has_crashing_caller', [False, True])
def test_guarantees_hold_under_random_faults(has_crashing_caller):
    size = experiments.Size(has_crashing_caller=has_crashing_caller)
    report = experiments.Experiment(SHORT_SEED, FAULTS, size).run()
    assert report.problems == []
    assert report.outcomes[200] > 0


# Guards against a check that takes a lost answer of the store for a change
# that was not made.
def test_configuration_whose_answer_was_lost_is_served():
    size = experiments.Size()
    report = experiments.Experiment(
        LOST_ANSWER_SEED, LOST_ANSWER_FAULTS, size
    ).run()
    assert report.problems == []
