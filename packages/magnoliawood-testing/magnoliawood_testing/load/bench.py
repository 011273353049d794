"""Compare scheduling policies on both workloads (``make bench``)."""

import argparse
import itertools
import pathlib

from magnoliawood_testing.load import experiment as experiments
from magnoliawood_testing.load import faults
from magnoliawood_testing.load import plots
from magnoliawood_testing.load import report
from magnoliawood_testing.load import workload as workloads

_POLICIES = 'fcfs-least-loaded,fcfs-hash,standard'


def main() -> None:
    """Run all combinations in sequence and write rows, table and plots."""
    options = _parser().parse_args()
    rows = []
    for workload, load, seed, policy in itertools.product(
        options.workloads.split(','),
        map(float, options.loads.split(',')),
        map(int, options.seeds.split(',')),
        options.policies.split(','),
    ):
        experiment = experiments.Experiment(
            workload,
            policy,
            load,
            seed,
            scale=options.scale,
            seconds=options.seconds,
            drain_seconds=options.drain_seconds,
            fault=options.fault,
        )
        row = report.row_of(experiments.run_experiment(experiment))
        report.append_row(row, options.out)
        rows.append(row)
        print(report.table([row]).split('\n\n')[0], flush=True)
    text = report.table(rows)
    (options.out / 'table.txt').write_text(text + '\n', encoding='utf-8')
    print(text)
    plots.draw(rows, options.out)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workloads', default=','.join(workloads.WORKLOADS))
    parser.add_argument('--loads', default='0.9,1.2')
    parser.add_argument('--seeds', default='1,2,3')
    parser.add_argument('--policies', default=_POLICIES)
    parser.add_argument('--scale', type=float, default=0.15)
    parser.add_argument('--seconds', type=float, default=9.0)
    parser.add_argument('--drain-seconds', type=float, default=16.0)
    parser.add_argument('--fault', default='', choices=['', *faults.FAULTS])
    parser.add_argument('--out', type=pathlib.Path, default=report.OUT_FOLDER)
    return parser


if __name__ == '__main__':
    main()
