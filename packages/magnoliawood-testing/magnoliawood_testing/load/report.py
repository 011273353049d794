"""Figures of runs: rows, histograms and a table."""

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
_QUANTILES = (50, 95, 99)
_MICROSECONDS = 1_000_000
_HIGHEST_MICROSECONDS = 3_600 * _MICROSECONDS
_DIGITS = 2


@dataclasses.dataclass(slots=True)
class ClassFigures:
    """Figures of one class in one run; seconds are unscaled.

    :param within: share of its programs that finished within the target
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

    :param goodput: programs finished in a scaled second of the run
    :param good_goodput: those of them that met their target
    :param urgent_p95: p95 over the programs of urgent classes, unscaled
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


def row_of(measured: experiments.RunResult) -> Row:
    """Return the figures of a run."""
    experiment = measured.experiment
    workload = workloads.WORKLOADS[experiment.workload]
    results = measured.results
    good = [
        result for result in results if _is_good(result, workload, experiment)
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
        len(good) / max(1, len(results)),
        _quantile(_histogram(urgent, experiment.scale), 95),
        measured.cache.wasted_ratio,
        measured.cache.filled,
        len(finished) / span,
        len(good) / span,
        dict(measured.retries),
        dict(collections.Counter(r.error for r in results if r.error)),
        dict(measured.counters),
        {
            item.name: _class_figures(item.name, results, good, experiment)
            for item in workload.classes
        },
        measured.lateness_seconds,
        measured.load_average,
    )


def append_row(row: Row, folder: pathlib.Path = OUT_FOLDER) -> None:
    """Keep a row, histograms included, in the folder's ``rows.jsonl``."""
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / 'rows.jsonl').open('a', encoding='utf-8') as file:
        file.write(json.dumps(dataclasses.asdict(row)) + '\n')


def table(rows: list[Row]) -> str:
    """Return a table of all runs and the means over their seeds."""
    lines = [
        f'{"workload":9} {"load":>4} {"policy":18} {"seed":>4} {"n":>4} '
        f'{"within":>6} {"urg p95":>7} {"wasted":>6} {"fin/s":>6} '
        f'{"good/s":>6} {"retry":>5} {"err":>4} {"late":>5} {"avg":>5}',
        *map(_line, rows),
    ]
    groups: dict[tuple[str, float, str, str], list[Row]] = {}
    for row in rows:
        key = (row.workload, row.load, row.policy, row.fault)
        groups.setdefault(key, []).append(row)
    for key, found in groups.items():
        lines += ['', *_group_lines(key, found)]
    return '\n'.join(lines)


def _line(row: Row) -> str:
    return (
        f'{row.workload:9} {row.load:4.2g} {row.policy:18} {row.seed:4} '
        f'{row.programs:4} {row.within:6.3f} {row.urgent_p95:7.2f} '
        f'{row.wasted:6.3f} {row.goodput:6.2f} {row.good_goodput:6.2f} '
        f'{sum(row.retries.values()):5} {sum(row.errors.values()):4} '
        f'{row.lateness_seconds:5.2f} {row.load_average:5.1f} {row.fault}'
    )


def _group_lines(
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
        found = [row.classes[name] for row in rows]
        lines.append(
            f'  {name:11} within {mean([f.within for f in found]):.3f}  '
            f'p50 {mean([f.p50 for f in found]):7.2f}  '
            f'p95 {mean([f.p95 for f in found]):7.2f}  '
            f'p99 {mean([f.p99 for f in found]):7.2f}  '
            f'finished {sum(f.finished for f in found)} of '
            f'{sum(f.programs for f in found)}'
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
    """Return the arithmetic mean, 0 for no values."""
    return sum(values) / len(values) if values else 0.0


def current_commit() -> str:
    """Return the short name of the commit, with ``+`` if files differ."""
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


def _is_good(
    result: drivers.ProgramResult,
    workload: workloads.Workload,
    experiment: experiments.Experiment,
) -> bool:
    target = workload.find(result.work_class).target_seconds
    return not result.error and result.seconds <= target * experiment.scale


def _class_figures(
    name: str,
    results: list[drivers.ProgramResult],
    good: list[drivers.ProgramResult],
    experiment: experiments.Experiment,
) -> ClassFigures:
    own = [result for result in results if result.work_class == name]
    histogram = _histogram(own, experiment.scale)
    return ClassFigures(
        len(own),
        sum(not result.error for result in own),
        sum(r.work_class == name for r in good) / max(1, len(own)),
        *(_quantile(histogram, quantile) for quantile in _QUANTILES),
        histogram.encode().decode('ascii'),
    )


def _histogram(
    results: list[drivers.ProgramResult], scale: float
) -> hdrh.histogram.HdrHistogram:
    """Return latencies; a failed program counts with its time so far."""
    histogram = hdrh.histogram.HdrHistogram(1, _HIGHEST_MICROSECONDS, _DIGITS)
    for result in results:
        microseconds = int(result.seconds / scale * _MICROSECONDS)
        histogram.record_value(max(1, microseconds))
    return histogram


def _quantile(
    histogram: hdrh.histogram.HdrHistogram, quantile: float
) -> float:
    return histogram.get_value_at_percentile(quantile) / _MICROSECONDS
