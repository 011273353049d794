"""Cost of an event of a state chart."""

import transitions

from magnoliawood import charts
from magnoliawood_testing.capacity import slope as slopes

_REPEATS = 5_000


def measure() -> list[slopes.Slope]:
    """Return the cost of an event in ``charts`` and in ``transitions``."""
    chart = charts.load_chart('call')
    table = slopes.seconds_for_each(
        lambda: chart.next_state('accepted', 'record_intent'), _REPEATS
    )
    library = slopes.seconds_for_each(_library_model().toggle, _REPEATS)
    return [
        slopes.Slope('chart event', table * 1e6, 'us/event'),
        slopes.Slope('chart event in the library', library * 1e6, 'us/event'),
    ]


class _Model:
    """Object whose state is managed by the ``transitions`` library."""

    def toggle(self) -> None:
        """Switch to the other state; replaced by the library."""


def _library_model() -> _Model:
    model = _Model()
    transitions.Machine(
        model=model,
        states=['one', 'two'],
        initial='one',
        transitions=[
            {'trigger': 'toggle', 'source': 'one', 'dest': 'two'},
            {'trigger': 'toggle', 'source': 'two', 'dest': 'one'},
        ],
        auto_transitions=False,
        model_override=True,
    )
    return model
