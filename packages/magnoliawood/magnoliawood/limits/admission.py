"""Which calls a sidecar takes into its queue."""

import dataclasses
import datetime
import enum
import random
import typing

NEW_PROGRAM_SHARE = 0.5
RETRY_AFTER_FLOOR = datetime.timedelta(seconds=1)
RETRY_AFTER_JITTER = 0.5


class Decision(enum.StrEnum):
    """Whether a call is taken, or why it is not."""

    ADMIT = 'admit'
    QUEUE_FULL = 'queue_full'
    NEW_PROGRAM = 'new_program'
    TOO_LATE = 'too_late'


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """State of the queue that a call would join.

    :param waiting: calls that wait
    :param limit: calls that may wait
    :param seconds_per_call: time in which one waiting call leaves
    """

    waiting: int
    limit: int
    seconds_per_call: float

    @property
    def drain_time(self) -> datetime.timedelta:
        """Time until all waiting calls have left."""
        return datetime.timedelta(seconds=self.waiting * self.seconds_per_call)


class Admission(typing.Protocol):
    """Decides on each call that arrives at a queue."""

    def decide(
        self,
        is_new_program: bool,
        is_over_share: bool,
        time_left: datetime.timedelta,
        queue: QueueState,
    ) -> Decision:
        """Return whether a call is taken.

        :param is_new_program: whether it is its program's first call
        :param is_over_share: whether its caller fills its share of the
            part of the queue that new programs may fill
        :param time_left: time until its deadline
        """
        ...


class NewProgramsLast:
    """Refuse new programs before those under way, and lost causes at once.

    Explanation
    ===========

    New programs may fill half of the queue; the rest is kept for programs
    that already cost work, and for new ones of callers below their share.
    A call whose turn would come after its deadline is refused on arrival
    instead of waiting in vain.

    Examples
    ========

    >>> admission = NewProgramsLast()
    >>> half = QueueState(4, 8, 0.1)
    >>> minute = datetime.timedelta(minutes=1)
    >>> str(admission.decide(True, True, minute, half))
    'new_program'
    >>> str(admission.decide(True, False, minute, half))
    'admit'
    >>> str(admission.decide(False, True, minute, half))
    'admit'
    """

    def decide(
        self,
        is_new_program: bool,
        is_over_share: bool,
        time_left: datetime.timedelta,
        queue: QueueState,
    ) -> Decision:
        """Return whether a call is taken."""
        if queue.waiting >= queue.limit:
            return Decision.QUEUE_FULL
        if queue.drain_time > time_left:
            return Decision.TOO_LATE
        is_scarce = queue.waiting >= queue.limit * NEW_PROGRAM_SHARE
        if is_new_program and is_over_share and is_scarce:
            return Decision.NEW_PROGRAM
        return Decision.ADMIT


class UntilFull:
    """Baseline: take everything until the queue is full."""

    def decide(
        self,
        is_new_program: bool,
        is_over_share: bool,
        time_left: datetime.timedelta,
        queue: QueueState,
    ) -> Decision:
        """Return whether a call is taken."""
        is_full = queue.waiting >= queue.limit
        return Decision.QUEUE_FULL if is_full else Decision.ADMIT


def retry_after(
    queue: QueueState, source: random.Random
) -> datetime.timedelta:
    """Return when a refused caller should come back.

    Explanation
    ===========

    It is the time that the queue takes to drain, at least a second, and up
    to half as long again at random, so that callers refused together don't
    return together.

    Examples
    ========

    >>> time = retry_after(QueueState(8, 8, 1.0), random.Random(1))
    >>> 8 <= time.total_seconds() <= 12
    True
    """
    base = max(RETRY_AFTER_FLOOR, queue.drain_time)
    return base * (1 + source.random() * RETRY_AFTER_JITTER)
