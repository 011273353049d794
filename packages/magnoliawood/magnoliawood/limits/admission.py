"""Admission control for the call queue of a sidecar."""

import dataclasses
import datetime
import enum
import random
import typing

# Share of the queue that new programs may fill.
NEW_PROGRAM_SHARE = 0.5
RETRY_AFTER_FLOOR = datetime.timedelta(seconds=1)
# Maximum random extension of the retry time, as a share of that time.
RETRY_AFTER_JITTER = 0.5


class Decision(enum.StrEnum):
    """Admission of a call, or the reason for its rejection."""

    ADMIT = 'admit'
    QUEUE_FULL = 'queue_full'
    NEW_PROGRAM = 'new_program'
    TOO_LATE = 'too_late'


@dataclasses.dataclass(frozen=True, slots=True)
class QueueState:
    """State of the queue at the arrival of a call.

    :param waiting: number of waiting calls
    :param limit: maximum number of waiting calls
    :param seconds_per_call: mean time between two calls that leave the queue
    """

    waiting: int
    limit: int
    seconds_per_call: float

    @property
    def drain_time(self) -> datetime.timedelta:
        """Estimated time until all waiting calls have left the queue."""
        return datetime.timedelta(seconds=self.waiting * self.seconds_per_call)


class Admission(typing.Protocol):
    """Decides whether an arriving call is admitted to a queue."""

    def decide(
        self,
        is_new_program: bool,
        is_over_share: bool,
        time_left: datetime.timedelta,
        queue: QueueState,
    ) -> Decision:
        """Return whether a call is admitted, or why it is rejected.

        :param is_new_program: whether it is the first call of its program
        :param is_over_share: whether its caller has used up its share of
            the part of the queue that new programs may fill
        :param time_left: time until the deadline of the call
        """
        ...


class NewProgramsLast:
    """Admission that rejects new programs before those in progress.

    Explanation
    ===========

    New programs may fill half of the queue. The rest is reserved for
    programs that have already consumed resources, and for new programs of
    callers below their share. A call whose deadline would pass while it
    waits is rejected on arrival.

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
        """Return whether a call is admitted, or why it is rejected."""
        if queue.waiting >= queue.limit:
            return Decision.QUEUE_FULL
        if queue.drain_time > time_left:
            return Decision.TOO_LATE
        is_scarce = queue.waiting >= queue.limit * NEW_PROGRAM_SHARE
        if is_new_program and is_over_share and is_scarce:
            return Decision.NEW_PROGRAM
        return Decision.ADMIT


class UntilFull:
    """Baseline: admit every call until the queue is full."""

    def decide(
        self,
        is_new_program: bool,
        is_over_share: bool,
        time_left: datetime.timedelta,
        queue: QueueState,
    ) -> Decision:
        """Return whether a call is admitted, or why it is rejected."""
        is_full = queue.waiting >= queue.limit
        return Decision.QUEUE_FULL if is_full else Decision.ADMIT


def retry_after(
    queue: QueueState, source: random.Random
) -> datetime.timedelta:
    """Return the time after which a rejected caller should retry.

    Explanation
    ===========

    It is the time that the queue takes to drain, but at least one second,
    plus a random extension of up to half of it, so that callers rejected at
    the same time do not retry at the same time.

    Examples
    ========

    >>> time = retry_after(QueueState(8, 8, 1.0), random.Random(1))
    >>> 8 <= time.total_seconds() <= 12
    True
    """
    return spread(max(RETRY_AFTER_FLOOR, queue.drain_time), source)


def spread(
    base: datetime.timedelta, source: random.Random
) -> datetime.timedelta:
    """Extend a time to return at random, so that callers come one by one.

    Examples
    ========

    >>> time = spread(datetime.timedelta(seconds=2), random.Random(1))
    >>> 2 <= time.total_seconds() <= 3
    True
    """
    return base * (1 + source.random() * RETRY_AFTER_JITTER)
