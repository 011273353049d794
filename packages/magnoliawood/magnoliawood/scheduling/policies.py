"""Named combinations of decisions, for experiments."""

import dataclasses

from magnoliawood.scheduling import priority as priorities
from magnoliawood.scheduling import routing

STANDARD = 'standard'
CACHE_WAIT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """The decisions of one entry.

    :param cache_wait_share: part of its class's target that a new program may
        wait for room in a cache
    """

    router: routing.Router
    priority: priorities.Priority
    cache_wait_share: float = 0.0


def make_policy(name: str) -> Policy:
    """Return a policy by its name.

    Examples
    ========

    >>> type(make_policy('fcfs-hash').router).__name__
    'HashAffinity'

    :raises KeyError: if there is none of this name
    """
    return _MAKERS[name]()


def _standard() -> Policy:
    return Policy(
        routing.LeastCost(),
        priorities.EarliestProgramDeadline(),
        CACHE_WAIT_SHARE,
    )


def _least_cost() -> Policy:
    return Policy(routing.LeastCost(), priorities.EarliestProgramDeadline())


def _stay_or_least_loaded() -> Policy:
    return Policy(
        routing.StayOrLeastLoaded(), priorities.EarliestProgramDeadline()
    )


def _fcfs_least_loaded() -> Policy:
    return Policy(routing.LeastLoaded(), priorities.FirstComeFirstServed())


def _fcfs_hash() -> Policy:
    return Policy(routing.HashAffinity(), priorities.FirstComeFirstServed())


_MAKERS = {
    STANDARD: _standard,
    'least-cost': _least_cost,
    'stay-or-least-loaded': _stay_or_least_loaded,
    'fcfs-least-loaded': _fcfs_least_loaded,
    'fcfs-hash': _fcfs_hash,
}
NAMES = tuple(_MAKERS)
