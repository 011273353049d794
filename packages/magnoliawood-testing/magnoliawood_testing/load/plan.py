"""What a caller does in one program, decided before the run."""

import dataclasses
import itertools


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A model turn.

    :param words: length of the new message
    :param max_tokens: most tokens to generate
    :param system: text shared by all programs of the class, or empty
    """

    words: int
    max_tokens: int
    system: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service."""

    service: str
    operation: str
    is_idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """Time between two calls, in seconds of the unscaled engine."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class SubAgents:
    """Child programs that run at the same time."""

    plans: tuple[tuple['Step', ...], ...]


Step = Turn | ServiceCall | Pause | SubAgents


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramPlan:
    """One program.

    :param name: unique within the run
    :param work_class: class of work
    :param starts_at: arrival in seconds of the unscaled engine
    """

    name: str
    work_class: str
    starts_at: float
    steps: tuple[Step, ...]


def turns_of(steps: tuple[Step, ...]) -> list[Turn]:
    """Return all model turns, those of sub-agents included.

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
