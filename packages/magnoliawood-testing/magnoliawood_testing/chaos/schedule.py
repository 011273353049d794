"""Seeded schedules of faults."""

import collections.abc
import dataclasses
import enum
import random
import typing

Candidate = typing.TypeVar('Candidate')


class FaultKind(enum.StrEnum):
    """Kinds of faults that the chaos test injects."""

    KILL_ENTRY = 'kill_entry'
    FREEZE_ENTRY = 'freeze_entry'
    KILL_SIDECAR = 'kill_sidecar'
    FREEZE_SIDECAR = 'freeze_sidecar'
    KILL_ENGINE = 'kill_engine'
    STORE_OUTAGE = 'store_outage'
    STORE_SLOW = 'store_slow'
    STORE_LOSES_REPLIES = 'store_loses_replies'
    SERVICE_LOSES_REPLY = 'service_loses_reply'


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a schedule.

    :param start_seconds: time from the start of the run to the fault
    :param duration_seconds: time until the fault is reverted
    :param target: position of the target in the list of candidates, as a
        fraction from 0 (inclusive) to 1 (exclusive)
    """

    start_seconds: float
    duration_seconds: float
    kind: enum.StrEnum
    target: float

    def pick(
        self, candidates: collections.abc.Sequence[Candidate]
    ) -> Candidate:
        """Return the candidate at the position of the target."""
        return candidates[int(self.target * len(candidates))]


def make_schedule(
    seed: int,
    count: int,
    kinds: collections.abc.Sequence[enum.StrEnum] = tuple(FaultKind),
) -> list[Fault]:
    """Return ``count`` faults, some of which start at the same time.

    Examples
    ========

    >>> make_schedule(1, 3) == make_schedule(1, 3)
    True
    """
    generator = random.Random(seed)
    faults = []
    start_seconds = 0.5
    for _ in range(count):
        faults.append(
            Fault(
                start_seconds,
                generator.uniform(0.5, 5.0),
                generator.choice(kinds),
                generator.random(),
            )
        )
        start_seconds += generator.choice((0.0, 0.3, 1.0, 3.0))
    return faults
