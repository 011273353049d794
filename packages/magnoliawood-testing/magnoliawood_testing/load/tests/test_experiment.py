"""Tests of the load generator with one short run."""

import pytest

from magnoliawood_testing.load import bench
from magnoliawood_testing.load import capacity
from magnoliawood_testing.load import experiment as experiments
from magnoliawood_testing.load import report


@pytest.fixture(scope='module')
def run():
    experiment = experiments.Experiment(
        'kessick',
        'standard',
        0.5,
        seed=1,
        scale=0.02,
        seconds=1.0,
        engine=capacity.EngineModel(engines=2),
    )
    return experiments.run_experiment(experiment)


def test_row_counts_every_program(run):
    row = report.row_of(run)
    assert row.programs == len(run.results) > 0
    assert sum(c.programs for c in row.classes.values()) == row.programs
    assert row.errors == {}
    assert run.cache.filled >= run.cache.wasted > 0


def test_row_is_written_with_seed_and_commit(run, tmp_path):
    row = report.row_of(run)
    report.append_row(row, tmp_path)
    text = (tmp_path / 'rows.jsonl').read_text()
    assert '"seed": 1' in text
    assert f'"commit": "{row.commit}"' in text
    assert 'kessick at 0.5, standard' in report.table([row])


def test_bench_writes_plots(run, tmp_path):
    bench.plots.draw([report.row_of(run)], tmp_path)
    assert (tmp_path / 'kessick-measures.png').stat().st_size > 0
