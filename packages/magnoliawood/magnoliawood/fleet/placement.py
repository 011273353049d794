"""Preferred upstreams of keys, such that few keys move.

Weighted rendezvous hashing: each key ranks the upstreams of a service by a
hash that is weighted by their sizes. An upstream that is added takes only its
share of the keys, one that is removed gives only its own. In a service with
very many upstreams a key ranks a part of them; then up to twice as many keys
move.
"""

import bisect
import collections
import collections.abc
import dataclasses
import hashlib
import heapq
import math

from magnoliawood.fleet import upstream as upstreams

# Number of upstreams that a key prefers, the first and where it moves to.
PREFERRED_COUNT = 2
# Maximum number of keys whose ranking is remembered.
_MAX_KEYS = 10_000
# Number of upstreams that a key ranks, so that its work doesn't grow with the
# service: those that follow the key on a ring of hashes.
_MAX_RANKED = 64
_MASK = 2**64 - 1
# Odd multipliers that mix the bits of a hash (of the SplitMix64 generator).
_MIX_1 = 0xBF58476D1CE4E5B9
_MIX_2 = 0x94D049BB133111EB


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class _Member:
    """An upstream at its point on the ring."""

    point: int
    id: str
    size: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Ranking:
    ids: list[str]
    version: int


class _Service:
    """Members of a service in the order of the ring."""

    def __init__(self) -> None:
        self.version = 0
        self._members: list[_Member] = []
        self._sizes: dict[str, float] = {}

    def update(self, sizes: collections.abc.Mapping[str, float]) -> None:
        """Set the members, and count a version if they changed."""
        if sizes == self._sizes:
            return
        self._sizes = dict(sizes)
        self._members = sorted(
            _Member(_hash(name), name, size) for name, size in sizes.items()
        )
        self.version += 1

    def rank(self, key: str) -> _Ranking:
        """Return the members that a key prefers."""
        key_hash = _hash(key)
        start = bisect.bisect(
            self._members, key_hash, key=lambda member: member.point
        )
        ranked = self._members[start : start + _MAX_RANKED]
        ranked += self._members[: min(start, _MAX_RANKED - len(ranked))]
        best = heapq.nsmallest(
            PREFERRED_COUNT,
            ranked,
            key=lambda member: _score(key_hash, member),
        )
        return _Ranking([member.id for member in best], self.version)


class Placement:
    """Ranks the upstreams of each service for each key.

    Explanation
    ===========

    There is no state to share: gateways that know the same upstreams and
    sizes agree. A ranking is remembered until the upstreams change.

    Examples
    ========

    >>> placement = Placement()
    >>> placement.update({'app': {'i-1': 6.0, 'i-2': 6.0, 'i-3': 6.0}})
    >>> first, second = placement.preferred('app', 'object')
    >>> placement.update({'app': {second: 6.0, 'i-4': 0.001}})
    >>> placement.preferred('app', 'object')[0] == second
    True
    """

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}
        self._rankings: collections.OrderedDict[tuple[str, str], _Ranking] = (
            collections.OrderedDict()
        )

    def update(
        self,
        sizes: collections.abc.Mapping[
            str, collections.abc.Mapping[str, float]
        ],
    ) -> None:
        """Set the upstreams that accept new work.

        :param sizes: by service and id of the upstream, how much work it
            does relative to others
        """
        for name in self._services.keys() - sizes.keys():
            self._services[name].update({})
        for name, by_id in sizes.items():
            self._services.setdefault(name, _Service()).update(by_id)

    def preferred(self, service_name: str, key: str) -> list[str]:
        """Return the ids that a key prefers in a service, the best first."""
        service = self._services.get(service_name)
        if service is None:
            return []
        name = service_name, key
        ranking = self._rankings.get(name)
        if ranking is None or ranking.version != service.version:
            ranking = self._rankings[name] = service.rank(key)
        self._rankings.move_to_end(name)
        if len(self._rankings) > _MAX_KEYS:
            self._rankings.popitem(last=False)
        return ranking.ids


def sizes_by_service(
    known: collections.abc.Iterable[upstreams.Upstream],
    slowness: collections.abc.Callable[[upstreams.Upstream], float],
) -> dict[str, dict[str, float]]:
    """Return the sizes of the upstreams that accept new work.

    :param slowness: returns the time that work takes relative to others
    """
    sizes: dict[str, dict[str, float]] = {}
    for upstream in known:
        if not upstream.is_leaving:
            by_id = sizes.setdefault(upstream.service, {})
            by_id[upstream.id] = upstream.slots / slowness(upstream)
    return sizes


def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest)


def _score(key_hash: int, member: _Member) -> float:
    """Return an exponentially distributed value of rate ``member.size``."""
    mixed = key_hash ^ member.point
    mixed = (mixed ^ (mixed >> 30)) * _MIX_1 & _MASK
    mixed = (mixed ^ (mixed >> 27)) * _MIX_2 & _MASK
    mixed ^= mixed >> 31
    return -math.log((mixed + 1) / (_MASK + 2)) / member.size
