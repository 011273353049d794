"""Memory of one model engine: what runs there and what it has cached."""

import collections
import collections.abc
import dataclasses
import datetime

from magnoliawood.fleet import upstream as upstreams

# Maximum number of prompt parts recorded for one upstream.
MAX_PARTS = 4000
# Part of the room that an eviction frees beyond what is needed, so that not
# each request has to look for parts to evict.
_EVICTION_RESERVE = 1 / 32
# Weight of the newest run in the mean memory of a run.
_RUN_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that engines may have cached."""

    id: str
    tokens: int


def sum_tokens(parts: collections.abc.Iterable[PromptPart]) -> int:
    """Return the tokens of all parts of a prompt."""
    return sum(part.tokens for part in parts)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Memory that a request needs while it runs.

    :param parts: parts of its prompt
    :param output_tokens: length that its response may reach
    :param program_end: monotonic time after which its program has ended, if
        it is known
    """

    parts: tuple[PromptPart, ...]
    output_tokens: int = 0
    program_end: datetime.timedelta | None = None


@dataclasses.dataclass(slots=True)
class _CachedPart:
    tokens: int
    program_end: datetime.timedelta | None = None


class EngineMemory:
    """Prompt parts that an engine has cached, and what runs beside them.

    Explanation
    ===========

    What runs, with its prompt, is not evicted. The rest of the memory holds
    other parts; those of programs that have ended are evicted first, then
    the least recently used. Without a known capacity, only the number of
    parts is bounded.

    Examples
    ========

    >>> memory = EngineMemory()
    >>> memory.configure(1_000, None, datetime.timedelta())
    >>> one, other = PromptPart('one', 600), PromptPart('other', 500)
    >>> memory.record_parts([one])
    >>> memory.missing_tokens((one,))
    0
    >>> memory.fits(Run((other,), 100), 0)
    True
    >>> memory.begin(1, Run((other,), 100), 0)
    >>> memory.missing_tokens((one,))
    600
    >>> memory.fits(Run((one,)), 0)
    False
    """

    def __init__(self) -> None:
        self._capacity = 0
        self._started_at: datetime.datetime | None = None
        self._now = datetime.timedelta()
        self._parts: collections.OrderedDict[str, _CachedPart] = (
            collections.OrderedDict()
        )
        self._runs: dict[int, Run] = {}
        # Number of runs by part, and the parts' tokens.
        self._pins: collections.Counter[str] = collections.Counter()
        self._pinned_tokens = 0
        self._output_tokens = 0
        # Cached and not part of a run.
        self._idle_tokens = 0
        # Requests of other gateways, and the mean memory of a run.
        self._others = 0
        self._mean_need = 0.0

    @property
    def has_capacity(self) -> bool:
        """Whether the size of the memory is known."""
        return self._capacity > 0

    @property
    def running_tokens(self) -> int:
        """Tokens of what runs, from all gateways."""
        others = int(self._others * self._mean_need)
        return self._pinned_tokens + self._output_tokens + others

    def configure(
        self,
        capacity: int,
        started_at: datetime.datetime | None,
        now: datetime.timedelta,
    ) -> None:
        """Set the size of the memory; a new start of the engine empties it.

        :param started_at: time at which the process of the engine started
        :param now: monotonic time
        """
        self._capacity = capacity
        self._now = now
        if not upstreams.is_same_start(self._started_at, started_at):
            self._parts.clear()
            self._idle_tokens = 0
        self._started_at = started_at or self._started_at

    def missing_tokens(
        self, parts: tuple[PromptPart, ...], total: int | None = None
    ) -> int:
        """Return the tokens of the first uncached part and all after it.

        :param total: tokens of all parts, if they have been added up
        """
        if total is None:
            total = sum_tokens(parts)
        for part in parts:
            if part.id not in self._parts:
                return total
            total -= part.tokens
        return total

    def record_parts(
        self, parts: collections.abc.Iterable[PromptPart]
    ) -> None:
        """Record the prompt of a request that the engine has run."""
        for part in parts:
            known = self._parts.get(part.id)
            if known is None:
                self._parts[part.id] = _CachedPart(part.tokens)
                self._add_idle(part.id, part.tokens)
            elif not known.tokens:
                known.tokens = part.tokens
                self._add_idle(part.id, part.tokens)
            self._parts.move_to_end(part.id)
        self._evict()

    def fits(self, run: Run, others: int) -> bool:
        """Return whether a run fits beside those that run.

        :param others: requests of other gateways at the engine
        """
        if not self._capacity:
            return True
        self._others = others
        return self.running_tokens + self._need(run) <= self._capacity

    def begin(self, number: int, run: Run, others: int) -> None:
        """Record a run that is about to begin.

        :param number: number that tells it from other runs
        """
        if not self._mean_need:
            self._mean_need = float(self._need(run))
        self._mean_need += (self._need(run) - self._mean_need) * _RUN_WEIGHT
        self._others = others
        self._runs[number] = run
        self._output_tokens += run.output_tokens
        for part in run.parts:
            if not self._pins[part.id]:
                self._pinned_tokens += part.tokens
                self._add_idle(part.id, -self._cached_tokens(part.id))
            self._pins[part.id] += 1
            self._mark_program(part.id, run.program_end)
        self._evict()

    def end(self, number: int) -> None:
        """Record the end of a run."""
        run = self._runs.pop(number, None)
        if run is None:
            return
        self._output_tokens -= run.output_tokens
        for part in run.parts:
            self._pins[part.id] -= 1
            if not self._pins[part.id]:
                del self._pins[part.id]
                self._pinned_tokens -= part.tokens
                self._add_idle(part.id, self._cached_tokens(part.id))
            self._mark_program(part.id, run.program_end)
        self._evict()

    def _need(self, run: Run) -> int:
        """Return the memory that a run adds to what runs."""
        added = sum(
            part.tokens for part in run.parts if not self._pins.get(part.id)
        )
        return added + run.output_tokens

    def _cached_tokens(self, part_id: str) -> int:
        cached = self._parts.get(part_id)
        return 0 if cached is None else cached.tokens

    def _add_idle(self, part_id: str, tokens: int) -> None:
        if not self._pins.get(part_id):
            self._idle_tokens += tokens

    def _mark_program(
        self, part_id: str, program_end: datetime.timedelta | None
    ) -> None:
        """Keep a part until the last program that uses it has ended."""
        cached = self._parts.get(part_id)
        if cached is None or program_end is None:
            return
        cached.program_end = max(
            program_end, cached.program_end or program_end
        )

    def _evict(self) -> None:
        while len(self._parts) > MAX_PARTS:
            self._drop(next(iter(self._parts)))
        if not self._capacity:
            return
        room = max(0, self._capacity - self.running_tokens)
        if self._idle_tokens <= room:
            return
        target = room * (1 - _EVICTION_RESERVE)
        for part_id in self._eviction_order():
            if self._idle_tokens <= target:
                return
            self._drop(part_id)

    def _eviction_order(self) -> list[str]:
        idle = [
            (part_id, part)
            for part_id, part in self._parts.items()
            if not self._pins.get(part_id)
        ]
        # The sort keeps the order of the last use otherwise.
        idle.sort(key=lambda entry: not self._has_ended(entry[1]))
        return [part_id for part_id, _ in idle]

    def _has_ended(self, part: _CachedPart) -> bool:
        return part.program_end is not None and part.program_end < self._now

    def _drop(self, part_id: str) -> None:
        part = self._parts.pop(part_id)
        self._add_idle(part_id, -part.tokens)
