"""Random faults on a real deployment while its promises are checked."""

from magnoliawood_testing.chaos.experiment import Experiment
from magnoliawood_testing.chaos.schedule import make_schedule

__all__ = ['Experiment', 'make_schedule']
