"""Random faults on the whole path, checked from callers and upstreams."""

from magnoliawood_testing.soak.experiment import Experiment
from magnoliawood_testing.soak.promises import GuaranteeChecker

__all__ = ['Experiment', 'GuaranteeChecker']
