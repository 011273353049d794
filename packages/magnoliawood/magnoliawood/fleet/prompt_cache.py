"""Prompt parts that each upstream may have cached."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools

from magnoliawood.fleet import engine_memory

# Maximum number of parts of which the last upstream is known.
_MAX_HOLDERS = 50_000
# Maximum number of sent prompts kept for reports to peers.
_MAX_SENT_PROMPTS = 200


PromptPart = engine_memory.PromptPart


@dataclasses.dataclass(frozen=True, slots=True)
class SentPrompt:
    """Parts of a prompt that was sent to an upstream.

    :param tokens: their tokens, if the memory of the upstream is known
    """

    upstream_id: str
    part_ids: list[str]
    tokens: list[int] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class NewSentPrompts:
    """Prompts sent after a given count, and the total count so far."""

    sent_prompts: list[SentPrompt]
    count: int


class PromptCaches:
    """Prompt parts sent to each upstream by this gateway and its peers.

    Examples
    ========

    >>> caches = PromptCaches()
    >>> shared, own = PromptPart('shared', 12_600), PromptPart('own', 800)
    >>> caches.record_sent_prompt('i-1', (shared,))
    >>> caches.missing_tokens('i-1', (shared, own))
    800
    >>> caches.missing_tokens('i-2', (shared, own))
    13400
    """

    def __init__(self) -> None:
        self._memories: dict[str, engine_memory.EngineMemory] = {}
        self._sent_prompts: collections.deque[SentPrompt] = collections.deque(
            maxlen=_MAX_SENT_PROMPTS
        )
        self._sent_prompt_count = 0
        # The upstream that was sent a part last, by part.
        self._holders: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def holders(self, parts: tuple[PromptPart, ...]) -> set[str]:
        """Return some upstreams that may have cached parts of a prompt."""
        return {
            self._holders[part.id]
            for part in parts
            if part.id in self._holders
        }

    def missing_tokens(
        self,
        upstream_id: str,
        parts: tuple[PromptPart, ...],
        total: int | None = None,
    ) -> int:
        """Return the tokens of the first uncached part and all after it.

        :param total: tokens of all parts, if they have been added up
        """
        memory = self._memories.get(upstream_id, _NO_PARTS)
        return memory.missing_tokens(parts, total)

    def configure(
        self,
        upstream_id: str,
        capacity: int,
        started_at: datetime.datetime | None,
        now: datetime.timedelta,
    ) -> None:
        """Set the memory of an upstream; a new start of it has nothing.

        :param capacity: tokens that it holds; 0 if unknown
        :param started_at: time at which its process started, if known
        :param now: monotonic time
        """
        self._memory(upstream_id).configure(capacity, started_at, now)

    def fits(
        self, upstream_id: str, run: engine_memory.Run, others: int
    ) -> bool:
        """Return whether a run fits beside those at an upstream.

        :param others: requests of other gateways there
        """
        return self._memories.get(upstream_id, _NO_PARTS).fits(run, others)

    def begin_run(
        self,
        upstream_id: str,
        number: int,
        run: engine_memory.Run,
        others: int,
    ) -> None:
        """Record a run of this gateway that is about to begin.

        :param number: number that tells it from other runs
        """
        self._memory(upstream_id).begin(number, run, others)

    def end_run(self, upstream_id: str, number: int) -> None:
        """Record the end of a run."""
        self._memories.get(upstream_id, _NO_PARTS).end(number)

    def record_sent_prompt(
        self, upstream_id: str, parts: collections.abc.Iterable[PromptPart]
    ) -> None:
        """Record the prompt of a request that an upstream has run."""
        prompt = list(parts)
        memory = self._memory(upstream_id)
        memory.record_parts(prompt)
        tokens = [part.tokens for part in prompt]
        sent_prompt = SentPrompt(
            upstream_id,
            [part.id for part in prompt],
            tokens if memory.has_capacity else [],
        )
        self._record_holders(sent_prompt)
        self._sent_prompts.append(sent_prompt)
        self._sent_prompt_count += 1

    def record_from_peer(self, sent_prompt: SentPrompt) -> None:
        """Record a prompt that another gateway has sent."""
        self._memory(sent_prompt.upstream_id).record_parts(
            itertools.starmap(
                PromptPart,
                itertools.zip_longest(
                    sent_prompt.part_ids,
                    sent_prompt.tokens[: len(sent_prompt.part_ids)],
                    fillvalue=0,
                ),
            )
        )
        self._record_holders(sent_prompt)

    def sent_prompts_after(self, count: int) -> NewSentPrompts:
        """Return the prompts this process sent after the first ``count``.

        At most :data:`_MAX_SENT_PROMPTS` are returned, the newest ones.
        """
        new_count = min(
            self._sent_prompt_count - count, len(self._sent_prompts)
        )
        start = len(self._sent_prompts) - new_count
        sent_prompts = list(itertools.islice(self._sent_prompts, start, None))
        return NewSentPrompts(sent_prompts, self._sent_prompt_count)

    def retain_only(self, upstream_ids: set[str]) -> None:
        """Drop the prompt parts of upstreams that are not listed."""
        for upstream_id in self._memories.keys() - upstream_ids:
            del self._memories[upstream_id]

    def _record_holders(self, sent_prompt: SentPrompt) -> None:
        for part_id in sent_prompt.part_ids:
            self._holders[part_id] = sent_prompt.upstream_id
            self._holders.move_to_end(part_id)
        while len(self._holders) > _MAX_HOLDERS:
            self._holders.popitem(last=False)

    def _memory(self, upstream_id: str) -> engine_memory.EngineMemory:
        return self._memories.setdefault(
            upstream_id, engine_memory.EngineMemory()
        )


_NO_PARTS = engine_memory.EngineMemory()
