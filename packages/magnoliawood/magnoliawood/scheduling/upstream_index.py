"""Upstreams by what they serve, with draws of a few of them."""

import collections
import collections.abc
import random
import typing

Item = typing.TypeVar('Item')


class UpstreamIndex(typing.Generic[Item]):
    """Upstreams by kind and name.

    Explanation
    ===========

    A draw costs the size of the sample, whatever the size of the fleet.

    Examples
    ========

    >>> index = UpstreamIndex()
    >>> index.add('engine-1', 'engine', ['model-a'], True)
    >>> index.add('engine-2', 'engine', ['model-a'], False)
    >>> index.serving_count('engine', 'model-a')
    2
    >>> index.sample('engine', 'model-a', 5, random.Random(1))
    ['engine-1']
    """

    def __init__(self) -> None:
        self._usable: collections.defaultdict[tuple[str, str], list[Item]] = (
            collections.defaultdict(list)
        )
        self._serving: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    def add(
        self,
        item: Item,
        kind: str,
        names: collections.abc.Iterable[str],
        is_usable: bool,
    ) -> None:
        """Add an upstream under each name that it serves."""
        for name in names:
            self._serving[kind, name] += 1
            if is_usable:
                self._usable[kind, name].append(item)

    def serving_count(self, kind: str, name: str) -> int:
        """Return how many upstreams serve a name, usable or not."""
        return self._serving[kind, name]

    def sample(
        self, kind: str, name: str, size: int, source: random.Random
    ) -> list[Item]:
        """Draw usable upstreams without repetition, all if ``size`` is 0."""
        usable = self._usable.get((kind, name), [])
        if not 0 < size < len(usable):
            return list(usable)
        return source.sample(usable, size)
