"""Programs whose prompts are expected in the cache of an upstream."""

import collections
import dataclasses
import datetime

from magnoliawood.programs import identity

# Time since its last prompt after which a program is removed.
IDLE_LIMIT = datetime.timedelta(minutes=10)


@dataclasses.dataclass(slots=True)
class _Resident:
    prompt_tokens: int
    reserved_tokens: int
    used_at: datetime.datetime


class ResidencyTable:
    """Active programs whose last prompt an upstream processed.

    Explanation
    ===========

    The table contains what active programs need in the cache, not what the
    cache still contains. It does not depend on cache events, so late or lost
    events cannot make it wrong.

    Examples
    ========

    >>> now = datetime.datetime(2026, 1, 1)
    >>> table = ResidencyTable()
    >>> program = identity.ProgramKey('kessick', 'chat-1')
    >>> table.record_use(program, 300, 500, now)
    300
    >>> table.record_use(program, 340, 500, now)
    40
    >>> table.tokens
    500
    >>> table.release(program)
    >>> table.tokens
    0
    """

    def __init__(self) -> None:
        # Ordered by last use, least recently used first.
        self._residents: collections.OrderedDict[
            identity.ProgramKey, _Resident
        ] = collections.OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._residents)

    @property
    def tokens(self) -> int:
        """Space reserved for all programs in the table, in tokens."""
        return self._tokens

    def record_use(
        self,
        program: identity.ProgramKey,
        prompt_tokens: int,
        reserved_tokens: int,
        now: datetime.datetime,
    ) -> int:
        """Record a prompt and return how many of its tokens are new.

        :param reserved_tokens: space to reserve for the active program
        """
        self._expire(now)
        previous = self._residents.get(program)
        previous_tokens = 0 if previous is None else previous.prompt_tokens
        self.release(program)
        self._residents[program] = _Resident(
            prompt_tokens, reserved_tokens, now
        )
        self._tokens += reserved_tokens
        return max(0, prompt_tokens - previous_tokens)

    def release(self, program: identity.ProgramKey) -> None:
        """Remove a program that ended or moved to another upstream."""
        previous = self._residents.pop(program, None)
        if previous is not None:
            self._tokens -= previous.reserved_tokens

    def _expire(self, now: datetime.datetime) -> None:
        while self._residents:
            program, oldest = next(iter(self._residents.items()))
            if now - oldest.used_at <= IDLE_LIMIT:
                return
            self.release(program)
