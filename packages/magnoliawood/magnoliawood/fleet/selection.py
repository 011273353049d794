"""Selection of the upstream with the least expected latency cost."""

import collections
import collections.abc
import dataclasses
import hashlib
import itertools

from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import load as loads

# Prompt tokens that an engine processes per millisecond.
_PREFILL_TOKENS_PER_MS = 147.0
# Delay that a running request adds to each output token of the others, in ms.
_SLOWDOWN_MS_PER_TOKEN = 0.0377
# A request slows the other requests as much as they slow it.
_MUTUAL_SLOWDOWN_FACTOR = 2.0
# Typical time that a request occupies a slot, in ms; used to estimate the
# wait of queued requests.
_GENERATION_MS = 400.0
_SERVICE_CALL_MS = 50.0
# Cost of sending to another data centre, for latency and traffic, in ms.
_CROSS_DATA_CENTRE_MS = 3.0
# Larger than the usual sum of the other costs, so that an upstream that failed
# recently ranks last.
_AVOIDANCE_PENALTY_MS = 10_000.0
# Maximum number of prompt parts recorded for one upstream.
_MAX_PARTS_PER_UPSTREAM = 4000
# Maximum number of sent prompts kept for reports to peers.
_MAX_SENT_PROMPTS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that engines may have cached."""

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDemand:
    """Work that a request causes at an upstream.

    :param parts: parts of the prompt in order; empty if there is no prompt
    :param output_tokens: expected number of tokens of the response
    :param key: affinity key; requests with equal keys prefer the same
        upstream
    """

    parts: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    key: str = ''


class _SentParts:
    """Prompt parts sent to one upstream, with least recently used eviction."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def record_parts(self, part_ids: collections.abc.Iterable[str]) -> None:
        for part_id in part_ids:
            self._parts[part_id] = None
            self._parts.move_to_end(part_id)
        while len(self._parts) > _MAX_PARTS_PER_UPSTREAM:
            self._parts.popitem(last=False)

    def missing_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens of the first uncached part and all after it."""
        total = sum(part.tokens for part in parts)
        for part in parts:
            if part.id not in self._parts:
                return total
            total -= part.tokens
        return total


@dataclasses.dataclass(frozen=True, slots=True)
class SentPrompt:
    """Parts of a prompt that was sent to an upstream."""

    upstream_id: str
    part_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class NewSentPrompts:
    """Prompts sent after a given count, and the total count so far."""

    sent_prompts: list[SentPrompt]
    count: int


class Selector:
    """Chooses the upstream with the least expected cost.

    Explanation
    ===========

    The cost is the sum of the wait for a slot, the time to process the
    prompt tokens that the upstream has not cached, and the mutual slowdown
    of the requests at an engine. Ties are broken by rendezvous hashing of
    the first part of the prompt, so that all gateways send a new shared part
    to the same upstream.

    :param load_tracker: requests at each upstream, and recent failures
    :param data_centre: data centre of this process
    """

    def __init__(
        self, load_tracker: loads.LoadTracker, data_centre: str
    ) -> None:
        self._load_tracker = load_tracker
        self._data_centre = data_centre
        self._sent_parts: dict[str, _SentParts] = {}
        self._sent_prompts: collections.deque[SentPrompt] = collections.deque(
            maxlen=_MAX_SENT_PROMPTS
        )
        self._sent_prompt_count = 0

    def choose(
        self,
        candidates: collections.abc.Iterable[directories.Upstream],
        demand: RequestDemand,
        prices: collections.abc.Mapping[str, float] | None = None,
    ) -> directories.Upstream | None:
        """Return the candidate with the least cost, or ``None`` if empty.

        :param prices: costs in ms that are added, by upstream
        """
        added = prices or {}
        return min(
            candidates,
            key=lambda upstream: (
                self._cost(upstream, demand) + added.get(upstream.id, 0.0),
                _rendezvous(upstream.id, demand),
            ),
            default=None,
        )

    def record_sent_prompt(
        self, upstream_id: str, parts: collections.abc.Iterable[PromptPart]
    ) -> None:
        """Record the prompt of a request that an upstream has run."""
        sent_prompt = SentPrompt(upstream_id, [part.id for part in parts])
        self.record_from_peer(sent_prompt)
        self._sent_prompts.append(sent_prompt)
        self._sent_prompt_count += 1

    def record_from_peer(self, sent_prompt: SentPrompt) -> None:
        """Record a prompt that another gateway has sent."""
        sent_parts = self._sent_parts.setdefault(
            sent_prompt.upstream_id, _SentParts()
        )
        sent_parts.record_parts(sent_prompt.part_ids)

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
        for upstream_id in self._sent_parts.keys() - upstream_ids:
            del self._sent_parts[upstream_id]

    def _cost(
        self, upstream: directories.Upstream, demand: RequestDemand
    ) -> float:
        requests = self._load_tracker.requests(upstream.id)
        cost = 0.0
        if upstream.data_centre != self._data_centre:
            cost += _CROSS_DATA_CENTRE_MS
        if self._load_tracker.is_avoided(upstream.id):
            cost += _AVOIDANCE_PENALTY_MS
        busy_ms = _GENERATION_MS if demand.parts else _SERVICE_CALL_MS
        queued = max(0, requests - upstream.slots + 1)
        cost += queued * busy_ms / max(1, upstream.slots)
        if not demand.parts:
            return cost + busy_ms * requests / max(1, upstream.slots)
        sent_parts = self._sent_parts.get(upstream.id, _SentParts())
        running = min(requests, upstream.slots)
        # While an engine processes a prompt, all requests running on it wait.
        uncached_tokens = sent_parts.missing_tokens(demand.parts)
        cost += uncached_tokens / _PREFILL_TOKENS_PER_MS * (1 + running)
        return cost + (
            running
            * demand.output_tokens
            * _SLOWDOWN_MS_PER_TOKEN
            * _MUTUAL_SLOWDOWN_FACTOR
        )


def _rendezvous(upstream_id: str, demand: RequestDemand) -> bytes:
    name = demand.parts[0].id if demand.parts else demand.key
    text = f'{upstream_id}:{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
