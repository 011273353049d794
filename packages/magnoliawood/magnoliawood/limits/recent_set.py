"""Names that were added recently."""

import collections

# Number of names that are remembered.
RECENT_LIMIT = 10_000


class RecentSet:
    """Least recently used set of names.

    Examples
    ========

    >>> recent = RecentSet(limit=1)
    >>> recent.add('a')
    >>> recent.add('b')
    >>> 'a' in recent, 'b' in recent
    (False, True)

    :param limit: maximum number of names
    """

    def __init__(self, limit: int = RECENT_LIMIT) -> None:
        self._limit = limit
        self._names: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, name: str) -> bool:
        return name in self._names

    def add(self, name: str) -> None:
        """Add a name, or mark it as used."""
        self._names[name] = None
        self._names.move_to_end(name)
        while len(self._names) > self._limit:
            self._names.popitem(last=False)

    def discard(self, name: str) -> None:
        """Remove a name, if it is in the set."""
        self._names.pop(name, None)
