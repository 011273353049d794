"""Removal of programs from memory some time after their end."""

import datetime

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.programs import identity
from magnoliawood.programs import program as program_states
from magnoliawood.programs import table as tables

ENDED_RETENTION = datetime.timedelta(minutes=10)
_INTERVAL = datetime.timedelta(seconds=10)
# Why a program ended that no client can name; its end is its last use.
SINGLE_REQUEST = 'single request'
# Time for which other ended programs stay readable though memory is scarce.
MIN_RETENTION = datetime.timedelta(minutes=1)


class EndedProgramRetention:
    """Keeps ended programs readable for a limited time, then drops them.

    Explanation
    ===========

    A root program and its sub-agents are dropped together, since sub-agents
    spend the budget of their parent. Dropped programs are no longer in the
    journal once its log is replaced.

    :param retention: time between the end of the last program of a family
        and the removal of the family
    """

    def __init__(
        self,
        programs: tables.ProgramTable,
        clock: clocks.Clock,
        retention: datetime.timedelta = ENDED_RETENTION,
    ) -> None:
        self._programs = programs
        self._clock = clock
        self._retention = retention
        self._ended_since: dict[identity.ProgramKey, datetime.timedelta] = {}

    async def run(self) -> None:
        """Drop expired programs at regular intervals."""
        while True:
            await curio.sleep(_INTERVAL.total_seconds())
            self.step()

    def step(self) -> None:
        """Drop the families whose retention time has passed."""
        now = self._clock.monotonic()
        roots = {
            program.key
            for program in self._programs.all()
            if program.key.parent is None
            and self._has_family_ended(program.key)
        }
        self._ended_since = {
            key: self._ended_since.get(key, now) for key in roots
        }
        for key, since in list(self._ended_since.items()):
            if now - since >= self._retention:
                self._drop_family(key)

    def free(self, held_bytes: int) -> None:
        """Drop ended families early, those that ended first.

        :param held_bytes: memory of all programs that may be left
        """
        self.step()
        now = self._clock.monotonic()
        for key, since in list(self._ended_since.items()):
            if self._programs.held_bytes <= held_bytes:
                return
            program = self._programs.get(key)
            if _is_unnamed(program) or now - since >= MIN_RETENTION:
                self._drop_family(key)

    def _has_family_ended(self, root: identity.ProgramKey) -> bool:
        return all(
            member.is_ended and member.pending is None
            for member in self._programs.family(root)
        )

    def _drop_family(self, root: identity.ProgramKey) -> None:
        for member in self._programs.family(root):
            self._programs.drop(member.key)
        del self._ended_since[root]


def _is_unnamed(program: program_states.Program) -> bool:
    return program.end_reason == SINGLE_REQUEST
