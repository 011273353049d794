"""Plots that compare policies."""

import pathlib

import matplotlib
import matplotlib.figure

from magnoliawood_testing.load import report

_INCHES = (10.0, 6.0)
_MEASURES = (
    ('within', 'share within target'),
    ('urgent_p95', 'urgent p95, s unscaled'),
    ('wasted', 'wasted cache ratio'),
    ('good_goodput', 'within target per second'),
)


def draw(rows: list[report.Row], folder: pathlib.Path) -> None:
    """Write plots of the measures and of latency by class per workload."""
    matplotlib.use('Agg')
    for workload in sorted({row.workload for row in rows}):
        selected_rows = [row for row in rows if row.workload == workload]
        _draw_measures(selected_rows, folder / f'{workload}-measures.png')
        _draw_latencies(selected_rows, folder / f'{workload}-latency.png')


def _draw_measures(rows: list[report.Row], path: pathlib.Path) -> None:
    figure = matplotlib.figure.Figure(figsize=_INCHES)
    for position, (field, title) in enumerate(_MEASURES, start=1):
        axes = figure.add_subplot(2, 2, position)
        for policy in _policies(rows):
            points = _means(rows, policy, field)
            axes.plot(points.keys(), points.values(), 'o-', label=policy)
        axes.set_title(title)
        axes.set_xlabel('load as a multiple of capacity')
    figure.axes[0].legend(fontsize='small')
    figure.tight_layout()
    figure.savefig(path)


def _draw_latencies(rows: list[report.Row], path: pathlib.Path) -> None:
    figure = matplotlib.figure.Figure(figsize=_INCHES)
    loads = sorted({row.load for row in rows})
    for position, load in enumerate(loads, start=1):
        axes = figure.add_subplot(1, len(loads), position)
        for policy in _policies(rows):
            selected_rows = [
                r for r in rows if (r.load, r.policy) == (load, policy)
            ]
            names = list(selected_rows[0].classes)
            for field, style in (('p50', ':'), ('p95', '-'), ('p99', '--')):
                values = [
                    report.mean(
                        [getattr(r.classes[n], field) for r in selected_rows]
                    )
                    for n in names
                ]
                axes.semilogy(names, values, style, label=f'{policy} {field}')
        axes.set_title(f'latency at {load:g}, s unscaled')
        axes.tick_params(axis='x', rotation=30)
    figure.axes[0].legend(fontsize='x-small')
    figure.tight_layout()
    figure.savefig(path)


def _policies(rows: list[report.Row]) -> list[str]:
    return list(dict.fromkeys(row.policy for row in rows))


def _means(
    rows: list[report.Row], policy: str, field: str
) -> dict[float, float]:
    selected_rows = [row for row in rows if row.policy == policy]
    return {
        load: report.mean(
            [getattr(r, field) for r in selected_rows if r.load == load]
        )
        for load in sorted({row.load for row in selected_rows})
    }
