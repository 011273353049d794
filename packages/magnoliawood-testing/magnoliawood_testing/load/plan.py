"""Steps of a program, fixed before the run starts."""

import dataclasses
import itertools


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A call of the model.

    :param words: length of the new user message in words
    :param max_tokens: maximum number of tokens to generate
    :param system: system message shared by all programs of the class, or
        empty
    """

    words: int
    max_tokens: int
    system: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a service that is not a model."""

    service: str
    operation: str
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Idle time between two calls, in unscaled seconds."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class SubAgents:
    """Child programs that run concurrently."""

    plans: tuple[tuple['Step', ...], ...]


Step = Turn | ServiceCall | Pause | SubAgents


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramPlan:
    """Name, class, arrival time and steps of one program.

    :param name: unique within the run
    :param work_class: name of the work class
    :param starts_at: arrival time in unscaled seconds
    """

    name: str
    work_class: str
    starts_at: float
    steps: tuple[Step, ...]


def turns_of(steps: tuple[Step, ...]) -> list[Turn]:
    """Return all model turns, including those of sub-agents.

    Examples
    ========

    >>> turn = Turn(10, 5)
    >>> len(turns_of((turn, Pause(1.0), SubAgents(((turn,), (turn,))))))
    3
    """
    nested = itertools.chain.from_iterable(
        turns_of(child)
        for step in steps
        if isinstance(step, SubAgents)
        for child in step.plans
    )
    return [*(step for step in steps if isinstance(step, Turn)), *nested]
