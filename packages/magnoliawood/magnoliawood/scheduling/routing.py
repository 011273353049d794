"""Which upstream a call goes to."""

import dataclasses
import hashlib
import typing

from magnoliawood.programs import identity

SAMPLE_SIZE = 6


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """What an entry knows of one upstream.

    :param name: name of the host
    :param data_centre: where it stands
    :param waiting: calls waiting or running there, own orders included
    :param seconds_per_call: time in which one waiting call fewer waits
    :param resident_tokens: prompts of live programs placed there
    :param prefill_seconds: time to take in one token that is not cached
    """

    name: str
    data_centre: str
    waiting: int
    seconds_per_call: float = 0.0
    resident_tokens: int = 0
    prefill_seconds: float = 0.0

    @property
    def wait_seconds(self) -> float:
        """Estimate of the wait in its queue."""
        return self.waiting * self.seconds_per_call


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a call asks of an upstream.

    :param last: upstream of the program's previous turn, or empty
    :param prompt_tokens: length of the history and the new messages
    :param growth_tokens: what later turns are expected to add
    """

    program: identity.ProgramKey
    last: str
    prompt_tokens: int
    growth_tokens: int = 0


class Router(typing.Protocol):
    """Chooses an upstream for a call.

    :param sample_size: upstreams to compare besides the program's last
        one, 0 for all
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
    """Baseline: a program stays where its hash puts it."""

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
    """Stay with the last upstream unless it is clearly busier."""

    sample_size = SAMPLE_SIZE
    _SLACK_CALLS = 4

    def choose(
        self, demand: Demand, candidates: list[UpstreamView]
    ) -> UpstreamView:
        """Return the last upstream or the least loaded one."""
        best = min(candidates, key=lambda view: (view.waiting, view.name))
        stay = next((v for v in candidates if v.name == demand.last), None)
        if stay and stay.waiting <= best.waiting + self._SLACK_CALLS:
            return stay
        return best


class LeastCost:
    """The upstream where the call costs everyone the least time.

    Explanation
    ===========

    The cost is the wait in the queue, the prefill of what is not cached
    there, and the prefill that others repeat because this program takes
    their room. The last part is taken in proportion to how full the
    cache is, compared with the other candidates.

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
    """Return a cost in seconds."""
    if view.name == demand.last:
        return view.wait_seconds
    fullness = view.resident_tokens / mean_tokens if mean_tokens else 0.0
    # A first prompt is mostly what its class shares, cached everywhere.
    own = demand.prompt_tokens if demand.last else 0
    tokens = own + (own + demand.growth_tokens) * fullness
    return view.wait_seconds + tokens * view.prefill_seconds


def _score(program: str, upstream: str) -> bytes:
    return hashlib.blake2b(f'{program}\0{upstream}'.encode()).digest()
