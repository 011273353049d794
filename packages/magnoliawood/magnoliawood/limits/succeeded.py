"""Requests that were completed recently, by fingerprint."""

import collections

# Number of requests that are remembered.
SUCCEEDED_LIMIT = 10_000


class SucceededRequests:
    """Least recently used set of the fingerprints of completed requests.

    Examples
    ========

    >>> succeeded = SucceededRequests(limit=1)
    >>> succeeded.add('a')
    >>> succeeded.add('b')
    >>> 'a' in succeeded, 'b' in succeeded
    (False, True)

    :param limit: maximum number of fingerprints
    """

    def __init__(self, limit: int = SUCCEEDED_LIMIT) -> None:
        self._limit = limit
        self._fingerprints: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, fingerprint: str) -> bool:
        return fingerprint in self._fingerprints

    def add(self, fingerprint: str) -> None:
        """Add a request, or mark it as used."""
        self._fingerprints[fingerprint] = None
        self._fingerprints.move_to_end(fingerprint)
        while len(self._fingerprints) > self._limit:
            self._fingerprints.popitem(last=False)

    def discard(self, fingerprint: str) -> None:
        """Remove a request, if it is in the set."""
        self._fingerprints.pop(fingerprint, None)
