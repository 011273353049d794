"""Runs a workload against a deployment of real processes."""

import collections
import collections.abc
import contextlib
import dataclasses
import os
import threading

import curio

from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.load import capacity
from magnoliawood_testing.load import driver as drivers
from magnoliawood_testing.load import faults
from magnoliawood_testing.load import workload as workloads

_ENTRIES = 3
_CALLER = 'callers'
_COUNTERS = (
    'refusals_total',
    'retries_total',
    'program_moves_total',
    'calls_held_total',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Experiment:
    """Parameters of a run.

    Explanation
    ===========

    Workloads and engine models state times in unscaled seconds. A run
    multiplies them by ``scale``, which makes it shorter; times measured
    during the run are in scaled seconds.

    :param load: arrival rate as a multiple of the computed capacity
    :param scale: scaled seconds for each unscaled second
    :param seconds: length of the arrival period in scaled seconds
    :param drain_seconds: scaled time to finish after the last arrival
    :param fault: name of the fault to inject, or empty
    """

    workload: str
    policy: str
    load: float
    seed: int
    scale: float = 0.15
    seconds: float = 9.0
    drain_seconds: float = 16.0
    fault: str = ''
    engine: capacity.EngineModel = dataclasses.field(
        default_factory=capacity.EngineModel
    )


@dataclasses.dataclass(slots=True)
class CacheUse:
    """Cache blocks of all running engines.

    :param filled: blocks that were written to a cache
    :param wasted: those of them that were never reused, whether evicted or
        still cached
    """

    filled: int = 0
    wasted: int = 0

    @property
    def wasted_ratio(self) -> float:
        """Ratio of wasted blocks to blocks written to a cache."""
        return self.wasted / self.filled if self.filled else 0.0


@dataclasses.dataclass(slots=True)
class RunResult:
    """Results and counters of a run.

    :param capacity: computed capacity in programs per scaled second
    :param response_counts: number of responses by status and error code
    :param retries: number of retries by error code
    :param counters: counters of entries and sidecars, summed by series
    :param lateness_seconds: largest delay of a start behind its schedule
    :param load_average: one-minute load average of the machine at the end
    """

    experiment: Experiment
    capacity: float
    results: list[drivers.ProgramResult]
    response_counts: collections.Counter[str]
    retries: collections.Counter[str]
    cache: CacheUse
    counters: collections.Counter[str]
    lateness_seconds: float
    load_average: float


def run_experiment(experiment: Experiment) -> RunResult:
    """Start a deployment, run the workload and return the measurements."""
    workload = workloads.WORKLOADS[experiment.workload]
    engine = experiment.engine
    rate = capacity.programs_per_second(workload, engine)
    plans = workload.plans(
        experiment.seed,
        rate * experiment.load,
        experiment.seconds / experiment.scale,
    )
    with _make_deployment(experiment, workload) as deployment:
        token = _configure(deployment, workload, experiment.scale)
        driver = drivers.Driver(
            [node.http for node in deployment.entries.values()],
            token,
            experiment.scale,
        )
        with _scheduled_fault(deployment, experiment):
            curio.run(driver.run, plans, experiment.drain_seconds)
        cache = _total_cache_use(deployment)
        counters = _sum_counters(deployment)
    return RunResult(
        experiment,
        rate / experiment.scale,
        driver.results,
        driver.response_counts,
        driver.retries,
        cache,
        counters,
        driver.lateness_seconds,
        os.getloadavg()[0],
    )


def _make_deployment(
    experiment: Experiment, workload: workloads.Workload
) -> deployments.Deployment:
    engine = experiment.engine
    return deployments.Deployment(
        engines=engine.engines,
        services=workload.services,
        entries=_ENTRIES,
        step_seconds=engine.step_seconds * experiment.scale,
        entry_settings={'policy': experiment.policy},
        sidecar_settings={'concurrency': engine.batch_size},
        engine_settings={
            'cache_blocks': engine.cache_blocks,
            'batch_size': engine.batch_size,
            'prefill_blocks': engine.prefill_blocks,
        },
    )


def _configure(
    deployment: deployments.Deployment,
    workload: workloads.Workload,
    scale: float,
) -> str:
    for item in workload.classes:
        deployment.create_class(item.name, item.target_seconds * scale)
    token = deployment.create_account(_CALLER)
    deployment.wait_for_configuration()
    return token


@contextlib.contextmanager
def _scheduled_fault(
    deployment: deployments.Deployment, experiment: Experiment
) -> collections.abc.Iterator[None]:
    """Inject the fault after a third of the arrival period."""
    if not experiment.fault:
        yield
        return
    timer = threading.Timer(
        experiment.seconds / 3,
        faults.FAULTS[experiment.fault],
        [deployment, experiment.engine.step_seconds * experiment.scale],
    )
    timer.start()
    try:
        yield
    finally:
        timer.cancel()
        timer.join()


def _total_cache_use(deployment: deployments.Deployment) -> CacheUse:
    total = CacheUse()
    for name, node in deployment.upstreams.items():
        if name.startswith('engine-') and node.process.is_running:
            state = deployment.engine_state(name)
            total.filled += state['filled']
            total.wasted += state['wasted'] + state['unused']
    return total


def _sum_counters(
    deployment: deployments.Deployment,
) -> collections.Counter[str]:
    """Sum counters of rejections, retries, moves and held calls by series."""
    totals: collections.Counter[str] = collections.Counter()
    nodes = [*deployment.entries.values(), *deployment.sidecars.values()]
    for node in nodes:
        if not node.process.is_running:
            continue
        _, page = deployments.call(node.http, 'GET', '/metrics')
        for line in page.splitlines():
            if line.startswith(_COUNTERS):
                series, value = line.rsplit(' ', 1)
                totals[series] += int(float(value))
    return totals
