"""Random faults on the whole path, checked from callers and upstreams."""

from magnoliawood_testing.soak.experiment import Experiment
from magnoliawood_testing.soak.promises import PromiseChecker

__all__ = ['Experiment', 'PromiseChecker']
