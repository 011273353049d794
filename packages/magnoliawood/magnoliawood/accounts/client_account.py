"""Client accounts that operators declare."""

import dataclasses
import hashlib


@dataclasses.dataclass(frozen=True, slots=True)
class ClientAccount:
    """Client account, whose requests carry one of its keys.

    :param name: name that upstreams are told
    :param key_digests: digests of its keys; the keys are not kept
    :param rank: priority, which goes before that of the route; 0 is the
        highest, ``None`` if only that of the route applies
    :param rate: requests per second through all gateways; 0 if not limited
    :param burst: requests that it may send beyond the rate
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    rank: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the account has a quota."""
        return self.rate > 0


def digest_of_key(key: bytes) -> bytes:
    """Return the digest by which a key is recognised.

    Explanation
    ===========

    Keys are long and random, so a plain digest is sufficient; a slow password
    hash would only delay every request.

    Examples
    ========

    >>> digest_of_key(b'key') == digest_of_key(b'key')
    True
    >>> len(digest_of_key(b'key'))
    32
    """
    return hashlib.sha256(key).digest()
