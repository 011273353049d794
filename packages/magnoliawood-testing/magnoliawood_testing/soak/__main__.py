"""Runs the soak test with the given seeds and prints the results."""

import argparse
import random
import sys

from magnoliawood_testing.soak import experiment as experiments


def main() -> None:
    """Run the seeds; exit with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[])
    parser.add_argument('--fresh', type=int, default=0, help='new seeds')
    parser.add_argument('--faults', type=int, default=12)
    parser.add_argument('--losses', type=int, default=1)
    parser.add_argument(
        '--crashing', action='store_true', help='requests crash upstreams'
    )
    parser.add_argument(
        '--limits', action='store_true', help='upstreams name rate limits'
    )
    parser.add_argument(
        '--accounts',
        action='store_true',
        help='keys and limits of a client account change',
    )
    options = parser.parse_args()
    generator = random.SystemRandom()
    fresh = [generator.randrange(10**6) for _ in range(options.fresh)]
    size = experiments.Size(
        keepers=2 * options.losses + 2,
        losses=options.losses,
        has_crashing_caller=options.crashing,
        has_limits=options.limits,
        has_accounts=options.accounts,
    )
    has_problems = False
    for seed in (*options.seeds, *fresh):
        report = experiments.Experiment(seed, options.faults, size).run()
        print_report(report)
        has_problems |= bool(report.problems)
    sys.exit(int(has_problems))


def print_report(report: experiments.Report) -> None:
    """Print the faults, the outcomes and the violations of one seed."""
    kinds = ', '.join(
        f'{fault.start_seconds:.1f}s {fault.kind}' for fault in report.faults
    )
    print(f'seed {report.seed}: {kinds}')
    print(f'  {report.outcomes.total()} requests, {dict(report.outcomes)}')
    if report.limit_windows:
        print(f'  {report.limit_windows} windows with rate limits checked')
    if report.quota_windows:
        print(f'  {report.quota_windows} windows with quotas checked')
    for problem in report.problems:
        print(f'  BROKEN {problem}')
    if report.logs:
        print(f'  logs in {report.logs}', flush=True)


if __name__ == '__main__':
    main()
