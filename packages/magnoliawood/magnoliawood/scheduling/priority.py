"""Order in which an upstream runs its waiting calls."""

import dataclasses
import datetime
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramProgress:
    """Progress of a program when one of its calls is ranked.

    :param opened_at: when the program was opened
    :param target: target duration of its class
    :param calls_done: number of finished calls
    :param tokens_done: number of generated tokens
    """

    opened_at: datetime.datetime
    target: datetime.timedelta
    calls_done: int
    tokens_done: int


class Priority(typing.Protocol):
    """Ranks the waiting calls of an upstream."""

    def rank(self, progress: ProgramProgress, now: datetime.datetime) -> float:
        """Return the rank of a call; the lowest runs first."""
        ...


class FirstComeFirstServed:
    """Baseline: calls run in the order of their arrival."""

    def rank(self, progress: ProgramProgress, now: datetime.datetime) -> float:
        """Return the time of arrival in seconds."""
        return now.timestamp()


class EarliestProgramDeadline:
    """Calls of the program with the earliest deadline run first."""

    def rank(self, progress: ProgramProgress, now: datetime.datetime) -> float:
        """Return the program's deadline in seconds."""
        return (progress.opened_at + progress.target).timestamp()
