"""Runs chaos experiments with several seeds and prints the results."""

import argparse
import sys

from magnoliawood_testing.chaos import experiment as experiments


def main() -> None:
    """Run the seeds; exit with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, nargs='+', default=[1, 2, 3])
    parser.add_argument('--faults', type=int, default=8)
    parser.add_argument('--calls', type=int, default=60)
    options = parser.parse_args()
    has_problems = False
    for seed in options.seeds:
        report = experiments.Experiment(
            seed, options.faults, calls=options.calls
        ).run()
        print_report(report)
        has_problems |= bool(report.problems)
    sys.exit(int(has_problems))


def print_report(report: experiments.Report) -> None:
    """Print faults, latencies and violations of one experiment."""
    latencies = report.latencies_seconds
    kinds = ', '.join(
        f'{fault.start_seconds:.1f}s {fault.kind}' for fault in report.faults
    )
    print(f'seed {report.seed}: {kinds}')
    print(
        f'  calls {len(latencies)}, verdicts {dict(report.verdicts)}, wait '
        f'p50 {_quantile(latencies, 0.5):.2f} s, '
        f'p95 {_quantile(latencies, 0.95):.2f} s, max {latencies[-1]:.2f} s'
    )
    for problem in report.problems:
        print(f'  BROKEN {problem}')


def _quantile(values: list[float], share: float) -> float:
    return values[min(len(values) - 1, int(share * len(values)))]


if __name__ == '__main__':
    main()
