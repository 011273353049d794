"""Choice of the upstream for a request by its expected cost in time."""

import collections
import collections.abc
import dataclasses
import hashlib
import itertools

from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import load as loads

# Prompt tokens that an engine reads in a millisecond.
_READ_TOKENS_PER_MS = 147.0
# How much a running request slows each token of the others, in ms.
_SLOWDOWN_MS_PER_TOKEN = 0.0377
# A request slows the others as much as they slow it.
_BOTH_WAYS = 2.0
# Usual time of a request in a slot, in ms, for those that have to queue.
_GENERATION_MS = 400.0
_CALL_MS = 50.0
# What a send to another data centre costs in time and bytes, in ms.
_FAR_MS = 3.0
# Ranks an upstream that just failed behind all that work.
_AVOIDED_MS = 10_000.0
# Shared parts that are remembered for one upstream.
_PART_LIMIT = 4000
# Notes that are kept for peers.
_NOTE_LIMIT = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that engines may have cached."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDemand:
    """What a request asks of an upstream.

    :param parts: parts of the prompt in order; empty if it has none
    :param output_tokens: expected tokens of the response
    :param key: requests with equal keys are best served by one upstream
    """

    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    key: str = ''


class _PartMemory:
    """Parts that one upstream was sent, the least recent ones dropped."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record_parts(self, part_ids: collections.abc.Iterable[str]) -> None:
        for part_id in part_ids:
            self._parts[part_id] = None
            self._parts.move_to_end(part_id)
        while len(self._parts) > _PART_LIMIT:
            self._parts.popitem(last=False)

    def missing_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens after the first part that is not cached."""
        total = sum(part.tokens for part in parts)
        for part in parts:
            if part.id not in self._parts:
                return total
            total -= part.tokens
        return total


@dataclasses.dataclass(frozen=True, slots=True)
class SentPrompt:
    """Parts of a prompt that an upstream was sent."""

    upstream_id: str
    part_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class NewSentPrompts:
    """Notes, and how many there are with those before."""

    sent_prompts: list[SentPrompt]
    count: int


class Selector:
    """Chooses the upstream with the least expected cost.

    Explanation
    ===========

    The cost adds the wait for a slot, the tokens of the prompt that the
    upstream has not cached, and how much the requests at an engine slow
    each other. Between equal costs, rendezvous hashing of the first part
    of the prompt decides, so that all gateways start a shared part at the
    same upstream.

    :param data_centre: where this process stands
    """

    def __init__(
        self, load_tracker: loads.LoadTracker, data_centre: str
    ) -> None:
        self._load_tracker = load_tracker
        self._data_centre = data_centre
        self._memories: dict[str, _PartMemory] = {}
        self._sent_prompts: collections.deque[SentPrompt] = collections.deque(
            maxlen=_NOTE_LIMIT
        )
        self._sent_prompt_count = 0

    def choose(
        self,
        candidates: collections.abc.Iterable[directories.Upstream],
        demand: RequestDemand,
    ) -> directories.Upstream | None:
        """Return the best of several upstreams, or ``None`` without any."""
        return min(
            candidates,
            key=lambda upstream: (
                self._cost(upstream, demand),
                _rendezvous(upstream.id, demand),
            ),
            default=None,
        )

    def record_sent_prompt(
        self, upstream_id: str, parts: collections.abc.Iterable[PromptPart]
    ) -> None:
        """Remember the prompt of a request that an upstream has run."""
        sent_prompt = SentPrompt(upstream_id, [part.id for part in parts])
        self.record_from_peer(sent_prompt)
        self._sent_prompts.append(sent_prompt)
        self._sent_prompt_count += 1

    def record_from_peer(self, sent_prompt: SentPrompt) -> None:
        """Take over what another gateway has sent."""
        memory = self._memories.setdefault(
            sent_prompt.upstream_id, _PartMemory()
        )
        memory.record_parts(sent_prompt.part_ids)

    def sent_prompts_after(self, count: int) -> NewSentPrompts:
        """Return the notes of this process after the first ``count``.

        The oldest are left out if they are too many.
        """
        fresh = min(self._sent_prompt_count - count, len(self._sent_prompts))
        start = len(self._sent_prompts) - fresh
        sent_prompts = list(itertools.islice(self._sent_prompts, start, None))
        return NewSentPrompts(sent_prompts, self._sent_prompt_count)

    def retain_only(self, upstream_ids: set[str]) -> None:
        """Drop what is known of upstreams that are gone."""
        for upstream_id in self._memories.keys() - upstream_ids:
            del self._memories[upstream_id]

    def _cost(
        self, upstream: directories.Upstream, demand: RequestDemand
    ) -> float:
        requests = self._load_tracker.requests(upstream.id)
        cost = 0.0
        if upstream.data_centre != self._data_centre:
            cost += _FAR_MS
        if self._load_tracker.is_avoided(upstream.id):
            cost += _AVOIDED_MS
        busy_ms = _GENERATION_MS if demand.parts else _CALL_MS
        queued = max(0, requests - upstream.slots + 1)
        cost += queued * busy_ms / max(1, upstream.slots)
        if not demand.parts:
            return cost + busy_ms * requests / max(1, upstream.slots)
        memory = self._memories.get(upstream.id, _PartMemory())
        running = min(requests, upstream.slots)
        # While an engine reads a prompt, all that run on it wait.
        missing = memory.missing_tokens(demand.parts)
        cost += missing / _READ_TOKENS_PER_MS * (1 + running)
        return cost + (
            running
            * demand.output_tokens
            * _SLOWDOWN_MS_PER_TOKEN
            * _BOTH_WAYS
        )


def _rendezvous(upstream_id: str, demand: RequestDemand) -> bytes:
    name = demand.parts[0].id if demand.parts else demand.key
    text = f'{upstream_id}:{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
