"""Named scheduling policies, with baselines for experiments."""

import dataclasses

from magnoliawood.scheduling import priority as priorities
from magnoliawood.scheduling import routing

STANDARD = 'standard'
CACHE_WAIT_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Scheduling policy of an entry.

    :param cache_wait_share: maximum time that a new program waits for cache
        space, as a share of the target of its class
    """

    router: routing.Router
    priority: priorities.Priority
    cache_wait_share: float = 0.0


def make_policy(name: str) -> Policy:
    """Create the policy of this name.

    Examples
    ========

    >>> type(make_policy('fcfs-hash').router).__name__
    'HashAffinity'

    :raises KeyError: if no policy has this name
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
