"""Which waiting call an upstream runs first."""

import dataclasses
import datetime
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramProgress:
    """What is known of a program when one of its calls is ordered.

    :param opened_at: when the program was opened
    :param target: time within which its class wants it finished
    :param calls_done: calls finished so far
    :param tokens_done: tokens generated so far
    """

    opened_at: datetime.datetime
    target: datetime.timedelta
    calls_done: int
    tokens_done: int


class Priority(typing.Protocol):
    """Ranks waiting calls."""

    def rank(self, progress: ProgramProgress, now: datetime.datetime) -> float:
        """Return the rank of a call; the lowest runs first."""
        ...


class FirstComeFirstServed:
    """Baseline: calls run in the order of their arrival."""

    def rank(self, progress: ProgramProgress, now: datetime.datetime) -> float:
        """Return the time of arrival in seconds."""
        return now.timestamp()


class EarliestProgramDeadline:
    """The program whose deadline comes first runs first."""

    def rank(self, progress: ProgramProgress, now: datetime.datetime) -> float:
        """Return the program's deadline in seconds."""
        return (progress.opened_at + progress.target).timestamp()
