"""Upstreams on which a request that was not seen before may start."""

import hashlib

AFFINITY_COUNT = 2


def affinity_upstreams(fingerprint: str, names: list[str]) -> list[str]:
    """Return the affinity upstreams of a fingerprint, most preferred first.

    Explanation
    ===========

    Rendezvous hashing gives the same names in every process that has the
    same list of hosts. Equal requests that arrive through several entries at
    the same time therefore start on the same two upstreams, without any
    communication between the entries.

    Examples
    ========

    >>> names = ['a', 'b', 'c', 'd']
    >>> affinity = affinity_upstreams('request', names)
    >>> affinity == affinity_upstreams('request', names[::-1])
    True
    >>> affinity_upstreams('request', affinity[:1]) == affinity[:1]
    True
    """
    ranked = sorted(
        names, key=lambda name: _score(fingerprint, name), reverse=True
    )
    return ranked[:AFFINITY_COUNT]


def _score(fingerprint: str, name: str) -> bytes:
    text = f'{fingerprint}\0{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
