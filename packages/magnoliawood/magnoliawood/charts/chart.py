"""State charts, loaded from JSON files."""

import functools
import importlib.resources

import pydantic
import transitions


class TransitionModel(pydantic.BaseModel):
    """One transition in a chart file."""

    model_config = pydantic.ConfigDict(extra='forbid')

    trigger: str
    source: str | list[str]
    dest: str


class ChartModel(pydantic.BaseModel):
    """The content of a chart file."""

    model_config = pydantic.ConfigDict(extra='forbid')

    states: list[str]
    initial: str
    transitions: list[TransitionModel]


class Chart:
    """State transition table of one kind of object.

    Explanation
    ===========

    The file is validated by :mod:`transitions` when it is loaded. The table
    is then flattened, so that an event takes one dictionary lookup.

    Examples
    ========

    >>> chart = load_chart('program')
    >>> chart.initial
    'open'
    >>> chart.next_state('open', 'end')
    'ended'
    >>> chart.next_state('ended', 'end')
    Traceback (most recent call last):
    ...
    ValueError: no transition 'end' from state 'ended'
    """

    def __init__(self, model: ChartModel) -> None:
        machine = transitions.Machine(
            model=None,
            states=model.states,
            initial=model.initial,
            transitions=[t.model_dump() for t in model.transitions],
            auto_transitions=False,
        )
        self._initial = model.initial
        self._table: dict[tuple[str, str], str] = {
            (source, trigger): step.dest
            for trigger, event in machine.events.items()
            for source, steps in event.transitions.items()
            for step in steps
            if step.dest is not None
        }

    @property
    def initial(self) -> str:
        """Initial state of an object."""
        return self._initial

    def next_state(self, state: str, trigger: str) -> str:
        """Return the state after an event.

        :raises ValueError: if the chart has no such transition
        """
        try:
            return self._table[state, trigger]
        except KeyError:
            raise ValueError(
                f'no transition {trigger!r} from state {state!r}'
            ) from None


@functools.cache
def load_chart(name: str) -> Chart:
    """Load and validate the chart file ``name``.json of this package.

    :raises pydantic.ValidationError: if the file is malformed
    """
    directory = importlib.resources.files('magnoliawood.charts')
    text = (directory / f'{name}.json').read_text(encoding='utf-8')
    return Chart(ChartModel.model_validate_json(text))
