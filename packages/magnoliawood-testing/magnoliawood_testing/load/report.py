"""Report of runs: rows, latency histograms and a table."""

import collections
import dataclasses
import json
import pathlib
import subprocess

import hdrh.histogram

from magnoliawood_testing.load import driver as drivers
from magnoliawood_testing.load import experiment as experiments
from magnoliawood_testing.load import workload as workloads

OUT_FOLDER = pathlib.Path('out')
_PERCENTILES = (50, 95, 99)
_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_LATENCY_MICROSECONDS = 3_600 * _MICROSECONDS_PER_SECOND
_SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(slots=True)
class ClassFigures:
    """Figures of one work class in one run; seconds are unscaled.

    :param programs: number of programs of the class
    :param finished: number of programs that finished without an error
    :param within: share of its programs that finished within the target
    :param histogram: encoded HDR histogram of latencies in microseconds
    """

    programs: int
    finished: int
    within: float
    p50: float
    p95: float
    p99: float
    histogram: str


@dataclasses.dataclass(slots=True)
class Row:
    """Figures of one run.

    :param within: share of all programs that finished within the target
    :param goodput: programs finished per scaled second of the run
    :param good_goodput: programs per scaled second that met their target
    :param urgent_p95: 95th percentile of the latencies of urgent classes,
        in unscaled seconds
    :param wasted: ratio of wasted cache blocks to blocks written to a cache
    """

    workload: str
    policy: str
    load: float
    seed: int
    scale: float
    fault: str
    commit: str
    programs: int
    within: float
    urgent_p95: float
    wasted: float
    filled_blocks: int
    goodput: float
    good_goodput: float
    retries: dict[str, int]
    errors: dict[str, int]
    counters: dict[str, int]
    classes: dict[str, ClassFigures]
    lateness_seconds: float
    load_average: float


def row_of(run: experiments.RunResult) -> Row:
    """Return the report row of a run."""
    experiment = run.experiment
    workload = workloads.WORKLOADS[experiment.workload]
    results = run.results
    on_target = [
        result
        for result in results
        if _met_target(result, workload, experiment)
    ]
    finished = [result for result in results if not result.error]
    span = max((r.starts_at + r.seconds for r in results), default=1.0)
    urgent = [r for r in results if workload.find(r.work_class).is_urgent]
    return Row(
        experiment.workload,
        experiment.policy,
        experiment.load,
        experiment.seed,
        experiment.scale,
        experiment.fault,
        current_commit(),
        len(results),
        len(on_target) / max(1, len(results)),
        _percentile(_histogram(urgent, experiment.scale), 95),
        run.cache.wasted_ratio,
        run.cache.filled,
        len(finished) / span,
        len(on_target) / span,
        dict(run.retries),
        dict(collections.Counter(r.error for r in results if r.error)),
        dict(run.counters),
        {
            item.name: _class_figures(
                item.name, results, on_target, experiment
            )
            for item in workload.classes
        },
        run.lateness_seconds,
        run.load_average,
    )


def append_row(row: Row, folder: pathlib.Path = OUT_FOLDER) -> None:
    """Append a row with its histograms to ``rows.jsonl`` in the folder."""
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / 'rows.jsonl').open('a', encoding='utf-8') as file:
        file.write(json.dumps(dataclasses.asdict(row)) + '\n')


def table(rows: list[Row]) -> str:
    """Return a table of all runs, then their means over the seeds."""
    lines = [
        f'{"workload":9} {"load":>4} {"policy":18} {"seed":>4} {"n":>4} '
        f'{"within":>6} {"urg p95":>7} {"wasted":>6} {"fin/s":>6} '
        f'{"good/s":>6} {"retry":>5} {"err":>4} {"late":>5} {"avg":>5}',
        *map(_table_row, rows),
    ]
    groups: dict[tuple[str, float, str, str], list[Row]] = {}
    for row in rows:
        key = (row.workload, row.load, row.policy, row.fault)
        groups.setdefault(key, []).append(row)
    for key, group in groups.items():
        lines += ['', *_group_summary(key, group)]
    return '\n'.join(lines)


def _table_row(row: Row) -> str:
    return (
        f'{row.workload:9} {row.load:4.2g} {row.policy:18} {row.seed:4} '
        f'{row.programs:4} {row.within:6.3f} {row.urgent_p95:7.2f} '
        f'{row.wasted:6.3f} {row.goodput:6.2f} {row.good_goodput:6.2f} '
        f'{sum(row.retries.values()):5} {sum(row.errors.values()):4} '
        f'{row.lateness_seconds:5.2f} {row.load_average:5.1f} {row.fault}'
    )


def _group_summary(
    key: tuple[str, float, str, str], rows: list[Row]
) -> list[str]:
    workload, load, policy, fault = key
    title = f'{workload} at {load:g}, {policy} {fault}'.rstrip()
    lines = [
        f'{title}, mean of {len(rows)}: '
        f'within {mean([r.within for r in rows]):.3f}, '
        f'urgent p95 {mean([r.urgent_p95 for r in rows]):.2f} s, '
        f'wasted {mean([r.wasted for r in rows]):.3f}, '
        f'finished {mean([r.goodput for r in rows]):.2f}/s, '
        f'within target {mean([r.good_goodput for r in rows]):.2f}/s'
    ]
    for name in rows[0].classes:
        figures = [row.classes[name] for row in rows]
        lines.append(
            f'  {name:11} within {mean([f.within for f in figures]):.3f}  '
            f'p50 {mean([f.p50 for f in figures]):7.2f}  '
            f'p95 {mean([f.p95 for f in figures]):7.2f}  '
            f'p99 {mean([f.p99 for f in figures]):7.2f}  '
            f'finished {sum(f.finished for f in figures)} of '
            f'{sum(f.programs for f in figures)}'
        )
    for label in ('retries', 'errors', 'counters'):
        total = sum(
            (collections.Counter(getattr(row, label)) for row in rows),
            collections.Counter(),
        )
        if total:
            lines.append(f'  {label}: {dict(total)}')
    return lines


def mean(values: list[float]) -> float:
    """Return the arithmetic mean, or 0 for an empty list."""
    return sum(values) / len(values) if values else 0.0


def current_commit() -> str:
    """Return the short commit hash, with ``+`` if tracked files changed."""
    try:
        name = _git('rev-parse', '--short', 'HEAD')
        changed = _git('status', '--porcelain', '--untracked-files=no')
    except (OSError, subprocess.CalledProcessError):
        return 'unknown'
    return name + ('+' if changed else '')


def _git(*arguments: str) -> str:
    return subprocess.run(
        ['git', *arguments],
        capture_output=True,
        text=True,
        check=True,
        cwd=pathlib.Path(__file__).parent,
    ).stdout.strip()


def _met_target(
    result: drivers.ProgramResult,
    workload: workloads.Workload,
    experiment: experiments.Experiment,
) -> bool:
    target = workload.find(result.work_class).target_seconds
    return not result.error and result.seconds <= target * experiment.scale


def _class_figures(
    name: str,
    results: list[drivers.ProgramResult],
    on_target: list[drivers.ProgramResult],
    experiment: experiments.Experiment,
) -> ClassFigures:
    class_results = [result for result in results if result.work_class == name]
    histogram = _histogram(class_results, experiment.scale)
    return ClassFigures(
        len(class_results),
        sum(not result.error for result in class_results),
        sum(r.work_class == name for r in on_target)
        / max(1, len(class_results)),
        *(_percentile(histogram, percentile) for percentile in _PERCENTILES),
        histogram.encode().decode('ascii'),
    )


def _histogram(
    results: list[drivers.ProgramResult], scale: float
) -> hdrh.histogram.HdrHistogram:
    """Return the unscaled latencies of programs.

    A failed program is included with the time until its failure.
    """
    histogram = hdrh.histogram.HdrHistogram(
        1, _MAX_LATENCY_MICROSECONDS, _SIGNIFICANT_DIGITS
    )
    for result in results:
        microseconds = int(result.seconds / scale * _MICROSECONDS_PER_SECOND)
        histogram.record_value(max(1, microseconds))
    return histogram


def _percentile(
    histogram: hdrh.histogram.HdrHistogram, percentile: float
) -> float:
    return (
        histogram.get_value_at_percentile(percentile)
        / _MICROSECONDS_PER_SECOND
    )
