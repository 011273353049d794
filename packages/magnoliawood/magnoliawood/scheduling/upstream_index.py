"""Index of upstreams by what they serve, with random samples."""

import collections
import collections.abc
import random
import typing

Item = typing.TypeVar('Item')


class UpstreamIndex(typing.Generic[Item]):
    """Upstreams by kind and by the names that they serve.

    Explanation
    ===========

    The cost of a sample depends on its size, not on the number of upstreams.

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
        """Return the number of upstreams that serve a name, usable or not."""
        return self._serving[kind, name]

    def sample(
        self, kind: str, name: str, size: int, source: random.Random
    ) -> list[Item]:
        """Return a random sample of the distinct usable upstreams of a name.

        :param size: size of the sample, 0 for all usable upstreams
        """
        usable = self._usable.get((kind, name), [])
        if not 0 < size < len(usable):
            return list(usable)
        return source.sample(usable, size)
