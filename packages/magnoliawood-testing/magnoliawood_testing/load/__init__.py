"""Load generator and experiments on a deployment of real processes."""

from magnoliawood_testing.load.capacity import EngineModel
from magnoliawood_testing.load.capacity import programs_per_second
from magnoliawood_testing.load.experiment import Experiment
from magnoliawood_testing.load.experiment import run_experiment
from magnoliawood_testing.load.workload import Workload

__all__ = [
    'EngineModel',
    'Experiment',
    'Workload',
    'programs_per_second',
    'run_experiment',
]
