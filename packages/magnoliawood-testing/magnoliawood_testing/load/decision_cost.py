"""Measures time and memory of scheduling decisions at several sizes."""

import collections.abc
import datetime
import gc
import itertools
import random
import time
import tracemalloc
import typing

from magnoliawood.programs import identity
from magnoliawood.scheduling import cache_admission
from magnoliawood.scheduling import policies
from magnoliawood.scheduling import priority as priorities
from magnoliawood.scheduling import residency
from magnoliawood.scheduling import routing
from magnoliawood.scheduling import upstream_index

UPSTREAMS = (10, 100, 1_000)
PROGRAMS = (1_000, 100_000)
_DECISIONS = 5_000
_SEED = 1
_START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
_PROMPT_TOKENS = 2_000
_NANOSECONDS_PER_MICROSECOND = 1_000


class RouteCost:
    """Routing of a call: sampling upstreams and choosing one of them."""

    def __init__(self, upstreams: int, programs: int) -> None:
        self._random = random.Random(_SEED)
        self._router = policies.make_policy(policies.STANDARD).router
        self._views = make_views(upstreams)
        self._index = make_index(self._views)
        self._demands = itertools.cycle(
            [
                routing.Demand(
                    identity.ProgramKey('caller', f'program-{number}'),
                    self._views[number % upstreams].name,
                    _PROMPT_TOKENS,
                )
                for number in range(programs)
            ]
        )

    def decide(self) -> None:
        """Choose an upstream for one call."""
        demand = next(self._demands)
        sampled = self._index.sample(
            'engine', 'model', self._router.sample_size, self._random
        )
        self._router.choose(demand, sampled)


class RankCost:
    """Ranking of a call and its admission to the cache."""

    def __init__(self, upstreams: int, programs: int) -> None:
        self._priority = policies.make_policy(policies.STANDARD).priority
        self._admission = cache_admission.WaitForCacheSpace()
        self._table = make_residency(programs)
        self._keys = itertools.cycle(make_keys(programs))

    def decide(self) -> None:
        """Rank a call, check its admission and record its prompt."""
        progress = priorities.ProgramProgress(
            _START, datetime.timedelta(seconds=30), 3, 60
        )
        self._priority.rank(progress, _START)
        demand = cache_admission.CacheDemand(True, 100, 4_000, _START)
        self._admission.admits(demand, self._table.tokens, 100_000, _START)
        self._table.record_use(
            next(self._keys), _PROMPT_TOKENS, _PROMPT_TOKENS, _START
        )


class _Decider(typing.Protocol):
    def decide(self) -> None: ...


def make_views(upstreams: int) -> list[routing.UpstreamView]:
    """Return views of upstreams with different loads."""
    return [
        routing.UpstreamView(
            f'engine-{number}', 'dc-1', number % 7, 0.05, 1_000, 0.0001
        )
        for number in range(upstreams)
    ]


def make_index(
    views: list[routing.UpstreamView],
) -> upstream_index.UpstreamIndex[routing.UpstreamView]:
    """Return an index in which all upstreams serve one model."""
    index: upstream_index.UpstreamIndex[routing.UpstreamView] = (
        upstream_index.UpstreamIndex()
    )
    for view in views:
        index.add(view, 'engine', ['model'], True)
    return index


def make_keys(programs: int) -> list[identity.ProgramKey]:
    """Return the keys of active programs."""
    return [
        identity.ProgramKey('caller', f'program-{number}')
        for number in range(programs)
    ]


def make_residency(programs: int) -> residency.ResidencyTable:
    """Return a residency table with one prompt per active program."""
    table = residency.ResidencyTable()
    for key in make_keys(programs):
        table.record_use(key, _PROMPT_TOKENS, _PROMPT_TOKENS, _START)
    return table


def microseconds_per_decision(decider: _Decider) -> float:
    """Return the mean time of a decision in microseconds.

    Garbage collection is off while the decisions are timed.
    """
    gc.disable()
    started = time.perf_counter_ns()
    for _ in range(_DECISIONS):
        decider.decide()
    elapsed = time.perf_counter_ns() - started
    gc.enable()
    return elapsed / _DECISIONS / _NANOSECONDS_PER_MICROSECOND


def bytes_each(make: collections.abc.Callable[[], object], count: int) -> int:
    """Return the bytes that ``make`` allocates per item.

    :param count: number of items that ``make`` creates
    """
    tracemalloc.start()
    built = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return size // count


def main() -> None:
    """Print the time per decision, then the memory per item."""
    print(f'{"upstreams":>9} {"programs":>9} {"route us":>9} {"rank us":>9}')
    for upstreams, programs in itertools.product(UPSTREAMS, PROGRAMS):
        route = microseconds_per_decision(RouteCost(upstreams, programs))
        rank = microseconds_per_decision(RankCost(upstreams, programs))
        print(f'{upstreams:9} {programs:9} {route:9.2f} {rank:9.2f}')
    print(f'{"count":>9} {"bytes each":>11} what')
    for count in PROGRAMS:
        size = bytes_each(lambda n=count: make_residency(n), count)
        print(
            f'{count:9} {size:11} active program at its sidecar, including key'
        )
    for count in UPSTREAMS:
        size = bytes_each(lambda n=count: make_index(make_views(n)), count)
        print(f'{count:9} {size:11} upstream at an entry')


if __name__ == '__main__':
    main()
