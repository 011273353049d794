"""Drops programs some time after their end."""

import datetime

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.programs import identity
from magnoliawood.programs import table as tables

ENDED_RETENTION = datetime.timedelta(minutes=10)
_INTERVAL = datetime.timedelta(seconds=10)


class EndedProgramRetention:
    """Keeps ended programs readable for a while, then forgets them.

    Explanation
    ===========

    A family is dropped as a whole, since sub-agents draw on their parent.
    What is dropped leaves the journal with the next log.
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
        self._ended: dict[identity.ProgramKey, datetime.timedelta] = {}

    async def run(self) -> None:
        """Drop programs again and again."""
        while True:
            await curio.sleep(_INTERVAL.total_seconds())
            self.step()

    def step(self) -> None:
        """Drop the families that ended long enough ago."""
        now = self._clock.monotonic()
        roots = {
            program.key
            for program in self._programs.all()
            if program.key.parent is None and self._has_ended(program.key)
        }
        self._ended = {key: self._ended.get(key, now) for key in roots}
        for key, since in list(self._ended.items()):
            if now - since >= self._retention:
                self._drop(key)

    def _has_ended(self, root: identity.ProgramKey) -> bool:
        return all(
            member.is_ended and member.pending is None
            for member in self._programs.family(root)
        )

    def _drop(self, root: identity.ProgramKey) -> None:
        for member in self._programs.family(root):
            self._programs.drop(member.key)
        del self._ended[root]
