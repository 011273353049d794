"""Which programs need no cache at present."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.programs import identity
from magnoliawood.programs import program as programs


@dataclasses.dataclass(frozen=True, slots=True)
class _Sighting:
    next_sequence: int
    since: datetime.timedelta


class IdlePrograms:
    """Tells why a program's cache may be freed.

    :param idle_limit: time without a new call
    """

    def __init__(
        self, clock: clocks.Clock, idle_limit: datetime.timedelta
    ) -> None:
        self._clock = clock
        self._idle_limit = idle_limit
        self._sightings: dict[identity.ProgramKey, _Sighting] = {}

    def release_reason(
        self, key: identity.ProgramKey, program: programs.Program | None
    ) -> str:
        """Return why the cache may go, empty if it stays."""
        if program is None:
            return 'unknown'
        if program.is_ended:
            return 'ended'
        if program.pending is not None:
            self._sightings.pop(key, None)
            return ''
        if self._is_past_its_time(program):
            return 'time_over'
        return 'idle' if self._is_idle(key, program) else ''

    def retain_only(
        self, keys: collections.abc.Set[identity.ProgramKey]
    ) -> None:
        """Forget all programs but these."""
        for key in self._sightings.keys() - keys:
            del self._sightings[key]

    def _is_past_its_time(self, program: programs.Program) -> bool:
        opened = program.opened
        limit = datetime.timedelta(seconds=opened.budget.seconds)
        return self._clock.now() - opened.opened_at > limit

    def _is_idle(
        self, key: identity.ProgramKey, program: programs.Program
    ) -> bool:
        now = self._clock.monotonic()
        seen = self._sightings.get(key)
        if seen is None or seen.next_sequence != program.next_sequence:
            seen = _Sighting(program.next_sequence, now)
            self._sightings[key] = seen
        return now - seen.since > self._idle_limit
