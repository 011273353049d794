"""Choice of the upstream for a call."""

import dataclasses
import hashlib
import typing

from magnoliawood.programs import identity

# Number of upstreams that are compared for a call.
SAMPLE_SIZE = 6


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """Load and cache state of an upstream, as an entry estimates them.

    :param name: name of the host
    :param data_centre: data centre of the host
    :param waiting: number of calls that wait or run there, including those
        that this entry sent
    :param seconds_per_call: mean time between two calls that leave its queue
    :param resident_tokens: cache space, in tokens, of the active programs
        placed there
    :param prefill_seconds: prefill time of one token that is not cached
    """

    name: str
    data_centre: str
    waiting: int
    seconds_per_call: float = 0.0
    resident_tokens: int = 0
    prefill_seconds: float = 0.0

    @property
    def wait_seconds(self) -> float:
        """Estimated wait in its queue."""
        return self.waiting * self.seconds_per_call


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Resources that a call needs from an upstream.

    :param last_upstream: upstream of the previous turn of the program; empty
        if there is none
    :param prompt_tokens: length of the history and the new messages
    :param growth_tokens: tokens that later turns are expected to add
    """

    program: identity.ProgramKey
    last_upstream: str
    prompt_tokens: int
    growth_tokens: int = 0


class Router(typing.Protocol):
    """Chooses an upstream for a call.

    :param sample_size: number of upstreams to compare in addition to the
        last one of the program, 0 for all
    """

    sample_size: int

    def choose(
        self, demand: Demand, candidates: list[UpstreamView]
    ) -> UpstreamView:
        """Return one of ``candidates``, which is never empty."""
        ...


class LeastLoaded:
    """Baseline: the upstream with the fewest calls."""

    sample_size = 0

    def choose(
        self, demand: Demand, candidates: list[UpstreamView]
    ) -> UpstreamView:
        """Return the candidate with the fewest calls."""
        return min(candidates, key=lambda view: (view.waiting, view.name))


class HashAffinity:
    """Baseline: rendezvous hashing assigns each program to an upstream."""

    sample_size = 0

    def choose(
        self, demand: Demand, candidates: list[UpstreamView]
    ) -> UpstreamView:
        """Return the candidate with the highest hash."""
        return max(
            candidates,
            key=lambda view: _score(str(demand.program), view.name),
        )


class StayOrLeastLoaded:
    """The last upstream, unless another one has clearly fewer calls."""

    sample_size = SAMPLE_SIZE
    # Calls by which the last upstream may exceed the least loaded one.
    _SLACK_CALLS = 4

    def choose(
        self, demand: Demand, candidates: list[UpstreamView]
    ) -> UpstreamView:
        """Return the last upstream or the least loaded one."""
        best = min(candidates, key=lambda view: (view.waiting, view.name))
        stay = next(
            (v for v in candidates if v.name == demand.last_upstream), None
        )
        if stay and stay.waiting <= best.waiting + self._SLACK_CALLS:
            return stay
        return best


class LeastCost:
    """The upstream on which a call costs all programs the least time.

    Explanation
    ===========

    The cost is the sum of the wait in the queue, the prefill of the tokens
    that are not cached there, and the prefill that other programs repeat
    because this program evicts their prompts. The last term is weighted by
    the use of the cache relative to the mean of the candidates.

    Examples
    ========

    >>> program = identity.ProgramKey('kessick', 'chat-1')
    >>> near = UpstreamView('a', 'dc-1', 6, 0.05, 9_000, 0.001)
    >>> idle = UpstreamView('b', 'dc-1', 0, 0.05, 9_000, 0.001)
    >>> router = LeastCost()
    >>> router.choose(Demand(program, 'a', 900), [near, idle]).name
    'a'
    >>> router.choose(Demand(program, 'a', 90), [near, idle]).name
    'b'
    """

    sample_size = SAMPLE_SIZE

    def choose(
        self, demand: Demand, candidates: list[UpstreamView]
    ) -> UpstreamView:
        """Return the candidate with the least cost."""
        mean = sum(v.resident_tokens for v in candidates) / len(candidates)
        return min(
            candidates,
            key=lambda view: (_cost(demand, view, mean), view.name),
        )


def _cost(demand: Demand, view: UpstreamView, mean_tokens: float) -> float:
    """Return the cost of a call on an upstream, in seconds."""
    if view.name == demand.last_upstream:
        return view.wait_seconds
    relative_use = view.resident_tokens / mean_tokens if mean_tokens else 0.0
    # Most of a first prompt is shared by its class and cached everywhere.
    uncached = demand.prompt_tokens if demand.last_upstream else 0
    tokens = uncached + (uncached + demand.growth_tokens) * relative_use
    return view.wait_seconds + tokens * view.prefill_seconds


def _score(program: str, upstream: str) -> bytes:
    return hashlib.blake2b(f'{program}\0{upstream}'.encode()).digest()
