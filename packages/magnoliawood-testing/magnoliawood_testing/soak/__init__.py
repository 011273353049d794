"""Soak test: random faults on a complete deployment.

The responses that callers receive are compared with the requests that the
upstreams ran.
"""

from magnoliawood_testing.soak.experiment import Experiment
from magnoliawood_testing.soak.promises import GuaranteeChecker

__all__ = ['Experiment', 'GuaranteeChecker']
