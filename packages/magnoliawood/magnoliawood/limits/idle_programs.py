"""Detection of programs whose cached prompts can be released."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.programs import identity
from magnoliawood.programs import program as programs


@dataclasses.dataclass(frozen=True, slots=True)
class _Observation:
    next_sequence: int
    since: datetime.timedelta


class IdlePrograms:
    """Decides whether the cache of a program may be released.

    :param idle_limit: time without a new call after which a program is idle
    """

    def __init__(
        self, clock: clocks.Clock, idle_limit: datetime.timedelta
    ) -> None:
        self._clock = clock
        self._idle_limit = idle_limit
        self._observations: dict[identity.ProgramKey, _Observation] = {}

    def release_reason(
        self, key: identity.ProgramKey, program: programs.Program | None
    ) -> str:
        """Return why the cache may be released, or an empty string if not."""
        if program is None:
            return 'unknown'
        if program.is_ended:
            return 'ended'
        if program.pending is not None:
            self._observations.pop(key, None)
            return ''
        if self._has_exceeded_time_budget(program):
            return 'time_over'
        return 'idle' if self._is_idle(key, program) else ''

    def retain_only(
        self, keys: collections.abc.Set[identity.ProgramKey]
    ) -> None:
        """Discard the observations of all programs except ``keys``."""
        for key in self._observations.keys() - keys:
            del self._observations[key]

    def _has_exceeded_time_budget(self, program: programs.Program) -> bool:
        opened = program.opened
        limit = datetime.timedelta(seconds=opened.budget.seconds)
        return self._clock.now() - opened.opened_at > limit

    def _is_idle(
        self, key: identity.ProgramKey, program: programs.Program
    ) -> bool:
        now = self._clock.monotonic()
        observation = self._observations.get(key)
        if (
            observation is None
            or observation.next_sequence != program.next_sequence
        ):
            observation = _Observation(program.next_sequence, now)
            self._observations[key] = observation
        return now - observation.since > self._idle_limit
