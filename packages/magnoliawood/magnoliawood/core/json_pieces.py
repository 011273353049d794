"""JSON texts in pieces, so that long strings need no whole copy of theirs."""

import collections.abc
import itertools
import json
import typing

# Characters of a string that are copied at a time.
PIECE_LENGTH = 16 * 1024


def slices(text: str) -> collections.abc.Iterator[str]:
    """Return a string in slices of at most ``PIECE_LENGTH``.

    Examples
    ========

    >>> [len(part) for part in slices('x' * 20_000)]
    [16384, 3616]
    """
    return (
        text[start : start + PIECE_LENGTH]
        for start in range(0, len(text), PIECE_LENGTH)
    )


def of(
    value: typing.Any, sort_keys: bool = False
) -> collections.abc.Iterator[str]:
    """Return the pieces of what :func:`json.dumps` returns.

    Examples
    ========

    >>> ''.join(of({'text': 'one', 'numbers': [1, 2]}))
    '{"text": "one", "numbers": [1, 2]}'

    :param value: dictionaries with strings as keys, lists and scalars
    """
    if _is_short(value):
        yield json.dumps(value, sort_keys=sort_keys)
    elif isinstance(value, str):
        yield '"'
        for part in slices(value):
            yield json.dumps(part)[1:-1]
        yield '"'
    elif isinstance(value, dict):
        yield '{'
        items = sorted(value.items()) if sort_keys else value.items()
        for comma, (key, item) in zip(_commas(), items, strict=False):
            yield f'{comma}{json.dumps(key)}: '
            yield from of(item, sort_keys)
        yield '}'
    else:
        yield '['
        for comma, item in zip(_commas(), value, strict=False):
            yield comma
            yield from of(item, sort_keys)
        yield ']'


def encoded(
    pieces: collections.abc.Iterator[str], size_bytes: int
) -> collections.abc.Iterator[bytes]:
    """Return ASCII pieces joined to parts of at least a size, but the last.

    Examples
    ========

    >>> list(encoded(iter(['one', 'two', 'three']), 5))
    [b'onetwo', b'three']
    """
    waiting: list[str] = []
    length = 0
    for piece in pieces:
        waiting.append(piece)
        length += len(piece)
        if length >= size_bytes:
            yield ''.join(waiting).encode()
            waiting, length = [], 0
    if waiting:
        yield ''.join(waiting).encode()


def _commas() -> collections.abc.Iterator[str]:
    return itertools.chain([''], itertools.repeat(', '))


def _is_short(value: typing.Any) -> bool:
    """Whether a value has no long string and no further level but one."""
    if isinstance(value, str):
        return len(value) <= PIECE_LENGTH
    if isinstance(value, dict):
        return all(_is_short_scalar(item) for item in value.values())
    return not isinstance(value, list | tuple) or not value


def _is_short_scalar(value: typing.Any) -> bool:
    if isinstance(value, str):
        return len(value) <= PIECE_LENGTH
    return not isinstance(value, dict | list | tuple)
