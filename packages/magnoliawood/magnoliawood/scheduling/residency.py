"""Which programs' prompts lie in the cache of one upstream."""

import collections
import dataclasses
import datetime

from magnoliawood.programs import identity

IDLE_LIMIT = datetime.timedelta(minutes=10)


@dataclasses.dataclass(slots=True)
class _Resident:
    prompt_tokens: int
    reserved_tokens: int
    used_at: datetime.datetime


class ResidencyTable:
    """Live programs whose last prompt an upstream took in.

    Explanation
    ===========

    It states what live programs want to find in the cache, not what the
    cache still holds. It needs no cache event, so late and lost events
    can't mislead it.

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
        # The order of the last use, the oldest first.
        self._residents: collections.OrderedDict[
            identity.ProgramKey, _Resident
        ] = collections.OrderedDict()
        self._tokens = 0

    def __len__(self) -> int:
        return len(self._residents)

    @property
    def tokens(self) -> int:
        """Room that all programs in the table take, in tokens."""
        return self._tokens

    def record_use(
        self,
        program: identity.ProgramKey,
        prompt_tokens: int,
        reserved_tokens: int,
        now: datetime.datetime,
    ) -> int:
        """Note a prompt and return how many of its tokens are new.

        :param reserved_tokens: room that the program takes while it lives
        """
        self._expire(now)
        known = self._residents.get(program)
        held = 0 if known is None else known.prompt_tokens
        self.release(program)
        self._residents[program] = _Resident(
            prompt_tokens, reserved_tokens, now
        )
        self._tokens += reserved_tokens
        return max(0, prompt_tokens - held)

    def release(self, program: identity.ProgramKey) -> None:
        """Forget a program that ended or moved away."""
        known = self._residents.pop(program, None)
        if known is not None:
            self._tokens -= known.reserved_tokens

    def _expire(self, now: datetime.datetime) -> None:
        while self._residents:
            program, oldest = next(iter(self._residents.items()))
            if now - oldest.used_at <= IDLE_LIMIT:
                return
            self.release(program)
