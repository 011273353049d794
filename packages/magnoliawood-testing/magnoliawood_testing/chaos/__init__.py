"""Chaos test: random faults on a deployment of real processes.

The guarantees to callers are checked when all programs have run.
"""

from magnoliawood_testing.chaos.experiment import Experiment
from magnoliawood_testing.chaos.schedule import make_schedule

__all__ = ['Experiment', 'make_schedule']
