from magnoliawood_testing.capacity import chart_slopes
from magnoliawood_testing.capacity import projection
from magnoliawood_testing.capacity import state_slopes
from magnoliawood_testing.capacity import wire_slopes

PROCESS_SLOPES = {
    'memory of an entry': 40.0,
    'memory of a sidecar': 40.0,
    'idle entry': 1.0,
    'idle sidecar': 1.0,
    'entry token': 50.0,
    'entry turn': 500.0,
    'sidecar token': 50.0,
    'sidecar turn': 500.0,
    'idle store calls': 3.0,
}


def test_every_slope_is_positive_and_projected():
    measured = [
        *chart_slopes.measure(),
        *state_slopes.measure(),
        *wire_slopes.measure(),
    ]
    assert all(slope.value > 0 for slope in measured)
    measured += [
        projection.slopes.Slope(name, value, '')
        for name, value in PROCESS_SLOPES.items()
    ]
    figures = projection.project(measured)
    assert all(figure.value > 0 for figure in figures)


def test_verdict_compares_figure_with_limit():
    within_limit = projection.ProjectedFigure('a', 3.0, 'MB', '', 4.0)
    over_limit = projection.ProjectedFigure('a', 8.0, 'MB', '', 4.0)
    assert within_limit.verdict == 'holds'
    assert over_limit.verdict == 'misses 2 times over'
