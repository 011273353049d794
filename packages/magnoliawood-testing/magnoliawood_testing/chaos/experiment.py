"""One chaos experiment: programs, faults and the checks at the end."""

import collections
import dataclasses
import itertools

import curio

from magnoliawood_testing.chaos import checker as checkers
from magnoliawood_testing.chaos import injector as injectors
from magnoliawood_testing.chaos import schedule as schedules
from magnoliawood_testing.chaos import workload
from magnoliawood_testing.cluster import deployment as deployments

SERVICES = {'red-clay': 'pours', 'kessick': 'lifts'}
FINISH_LIMIT_SECONDS = 120.0
_WORK_CLASS = 'chaos'


@dataclasses.dataclass(slots=True)
class Report:
    """Result of an experiment.

    :param problems: a line for each violated guarantee
    :param verdicts: number of calls with each verdict
    :param latencies_seconds: time to the final response of each call, sorted
    """

    seed: int
    faults: list[schedules.Fault]
    problems: list[str]
    verdicts: collections.Counter[str]
    latencies_seconds: list[float]


class Experiment:
    """Runs programs of two callers while scheduled faults are injected.

    :param seed: determines the faults and the calls of the programs
    :param fault_count: number of faults
    :param programs: number of programs of each caller
    :param calls: number of calls of each program
    """

    def __init__(
        self,
        seed: int,
        fault_count: int = 8,
        programs: int = 6,
        calls: int = 60,
        kinds: tuple[schedules.FaultKind, ...] = tuple(schedules.FaultKind),
    ) -> None:
        self._seed = seed
        self._faults = schedules.make_schedule(seed, fault_count, kinds)
        self._programs = programs
        self._calls = calls

    def run(self) -> Report:
        """Start a deployment, run the programs and check the guarantees."""
        with deployments.Deployment(
            engines=3, services=tuple(SERVICES.values()), entries=3
        ) as deployment:
            deployment.create_class(_WORK_CLASS, 30)
            tokens = {
                caller: deployment.create_account(caller)
                for caller in SERVICES
            }
            deployment.wait_for_configuration()
            traces = self._make_traces()
            curio.run(self._run_all, deployment, tokens, traces)
            deployments.wait_until(deployment.is_ready, 'ready entries')
            checker = checkers.Checker(deployment, tokens, SERVICES)
            problems = checker.check(traces)
            if problems:
                print(deployment.logs())
        return self._report(traces, problems)

    def _make_traces(self) -> list[workload.ProgramTrace]:
        return [
            workload.ProgramTrace(caller, f'program-{number}')
            for caller, number in itertools.product(
                SERVICES, range(self._programs)
            )
        ]

    async def _run_all(
        self,
        deployment: deployments.Deployment,
        tokens: dict[str, str],
        traces: list[workload.ProgramTrace],
    ) -> None:
        addresses = [node.http for node in deployment.entries.values()]
        injector = injectors.Injector(deployment)
        faults = await curio.spawn(injector.run, self._faults)
        async with curio.ignore_after(FINISH_LIMIT_SECONDS):
            async with curio.TaskGroup(wait=all) as group:
                for number, trace in enumerate(traces):
                    runner = workload.ProgramRunner(
                        trace,
                        addresses,
                        tokens[trace.caller],
                        SERVICES[trace.caller],
                        _WORK_CLASS,
                        self._seed * 1_000 + number,
                    )
                    await group.spawn(runner.run, self._calls)
        await faults.join()

    def _report(
        self, traces: list[workload.ProgramTrace], problems: list[str]
    ) -> Report:
        verdicts = sum(
            (trace.verdicts for trace in traces), collections.Counter()
        )
        latencies = itertools.chain.from_iterable(
            trace.latencies_seconds for trace in traces
        )
        return Report(
            self._seed, self._faults, problems, verdicts, sorted(latencies)
        )
