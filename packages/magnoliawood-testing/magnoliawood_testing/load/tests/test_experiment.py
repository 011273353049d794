"""A short run of the load tool."""

import pytest

from magnoliawood_testing.load import bench
from magnoliawood_testing.load import capacity
from magnoliawood_testing.load import experiment as experiments
from magnoliawood_testing.load import report


@pytest.fixture(scope='module')
def measured():
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


def test_every_program_is_accounted_for(measured):
    row = report.row_of(measured)
    assert row.programs == len(measured.results) > 0
    assert sum(c.programs for c in row.classes.values()) == row.programs
    assert row.errors == {}
    assert measured.cache.filled >= measured.cache.wasted > 0


def test_rows_are_kept_with_seed_and_commit(measured, tmp_path):
    row = report.row_of(measured)
    report.append_row(row, tmp_path)
    text = (tmp_path / 'rows.jsonl').read_text()
    assert '"seed": 1' in text
    assert f'"commit": "{row.commit}"' in text
    assert 'kessick at 0.5, standard' in report.table([row])


def test_the_bench_draws_plots(measured, tmp_path):
    bench.plots.draw([report.row_of(measured)], tmp_path)
    assert (tmp_path / 'kessick-measures.png').stat().st_size > 0
