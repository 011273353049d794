"""Upstreams that a request not seen before may start on."""

import hashlib

HOME_COUNT = 2


def home_upstreams(fingerprint: str, names: list[str]) -> list[str]:
    """Return the upstreams that a fingerprint prefers, the first first.

    Explanation
    ===========

    Rendezvous hashing gives the same names in every process that knows the
    same hosts. Equal requests that arrive through several entries at once
    therefore start on the same two upstreams, without any message.

    Examples
    ========

    >>> names = ['a', 'b', 'c', 'd']
    >>> home = home_upstreams('request', names)
    >>> home == home_upstreams('request', names[::-1])
    True
    >>> home_upstreams('request', home[:1]) == home[:1]
    True
    """
    ranked = sorted(
        names, key=lambda name: _score(fingerprint, name), reverse=True
    )
    return ranked[:HOME_COUNT]


def _score(fingerprint: str, name: str) -> bytes:
    text = f'{fingerprint}\0{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
