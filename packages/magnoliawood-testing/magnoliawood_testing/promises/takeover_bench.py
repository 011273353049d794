"""Injects faults during bookings and reports verdicts and times.

Run with ``python -m magnoliawood_testing.promises.takeover_bench``.
"""

import argparse
import collections
import dataclasses
import random
import signal
import statistics
import time

from magnoliawood_testing import cluster
from magnoliawood_testing.promises import scenario as scenarios

FAULTS = (
    'owner killed',
    'sidecar killed',
    'owner and sidecar killed',
    'owner frozen',
    'reply of the service lost',
)
_MAX_FAULT_DELAY_SECONDS = 0.08
_SERVICE_TIME_SECONDS = 0.03


@dataclasses.dataclass(slots=True)
class Report:
    """Results of all rounds with one fault.

    :param verdicts: number of bookings with each final verdict
    :param early_verdicts: number of attempts with each verdict before the
        final one
    :param violations: number of rounds in which a verdict contradicted the
        number of runs
    :param seconds: times from the fault to the final response
    """

    verdicts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    early_verdicts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    violations: int = 0
    seconds: list[float] = dataclasses.field(default_factory=list)


def run_round(
    scenario: scenarios.Scenario, fault: str, seed: int, report: Report
) -> None:
    """Inject a fault at a seeded time and add the result to the report."""
    generator = random.Random(f'{fault} {seed}')
    name = scenario.open()
    owner = scenario.owner_of(name)
    for node in scenario.services():
        scenario.deployment.set_faults(
            node,
            delay_seconds=_SERVICE_TIME_SECONDS,
            lost_replies=int(fault.startswith('reply')),
        )
    others = [node for node in scenario.running_entries() if node is not owner]
    booking = scenario.start_booking(name, 1, others)
    time.sleep(generator.uniform(0, _MAX_FAULT_DELAY_SECONDS))
    started = time.monotonic()
    _inject(scenario, fault, owner, generator)
    response = booking.result()
    report.seconds.append(time.monotonic() - started)
    owner.process.send_signal(signal.SIGCONT)
    for node in scenario.services():
        scenario.deployment.set_faults(node, lost_replies=0)
    scenario.book(name, 2)
    runs = scenario.runs(name, 1)
    is_violated = runs > 1 or (response.verdict == 'ran' and runs != 1)
    report.violations += is_violated or response.false_verdicts > 0
    report.verdicts[_result_of(response)] += 1
    report.early_verdicts.update(response.verdicts[:-1])


def _result_of(response: scenarios.FinalResponse) -> str:
    if response.verdict in ('ran', 'may_have_run'):
        return response.verdict
    return (
        f'{response.verdict} ({response.status} {response.body.get("code")})'
    )


def _inject(
    scenario: scenarios.Scenario,
    fault: str,
    owner: scenarios.deployments.Node,
    generator: random.Random,
) -> None:
    sidecar = scenario.sidecar_of(generator.choice(scenario.services()).name)
    if fault == 'owner frozen':
        owner.process.send_signal(signal.SIGSTOP)
    if fault.startswith('owner') and fault.endswith('killed'):
        owner.process.kill()
    if 'sidecar' in fault:
        sidecar.process.kill()
        sidecar.process.start()


def _counts(counter: collections.Counter[str]) -> str:
    return ', '.join(f'{name} {count}' for name, count in counter.items())


def print_reports(reports: dict[str, Report]) -> None:
    """Print the table of verdicts and the distribution of times."""
    print('| fault | rounds | final verdicts | false | earlier answers |')
    print('|---|---|---|---|---|')
    for fault, report in reports.items():
        print(
            f'| {fault} | {len(report.seconds)} | '
            f'{_counts(report.verdicts)} | {report.violations} | '
            f'{_counts(report.early_verdicts)} |'
        )
    print('\n| fault | median s | p95 s | max s |\n|---|---|---|---|')
    for fault, report in reports.items():
        times = sorted(report.seconds)
        p95 = times[min(len(times) - 1, int(len(times) * 0.95))]
        print(
            f'| {fault} | {statistics.median(times):.2f} | {p95:.2f} | '
            f'{times[-1]:.2f} |'
        )


def main() -> None:
    """Run each fault with the seeds 0 to N-1 and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--rounds', type=int, default=20)
    parser.add_argument('--suspicion-seconds', type=float, default=2.0)
    options = parser.parse_args()
    reports = {fault: Report() for fault in FAULTS}
    with cluster.Deployment(
        engines=1,
        entries=3,
        service_pool=2,
        entry_settings={'suspicion_seconds': options.suspicion_seconds},
    ) as deployment:
        scenario = scenarios.Scenario(deployment)
        scenario.prepare()
        for fault, report in reports.items():
            for seed in range(options.rounds):
                run_round(scenario, fault, seed, report)
                scenario.heal()
    print_reports(reports)


if __name__ == '__main__':
    main()
