"""Parses JSON that contains values which no program of ours writes.

The store returns the entries of all writers in one list. One entry that is
nested very deeply, has a number of thousands of digits or bytes that are no
text must not make the others unreadable.
"""

import json
import re
import typing

# Values within this many arrays and objects are kept.
_MAX_DEPTH = 32
# Longer numbers are dropped; the longest 64-bit integer has 20 characters.
_MAX_NUMBER_CHARACTERS = 40
_NULL = 'null'

_TOKEN = re.compile(
    r'(?P<text>"(?:[^"\\]|\\.)*+"?)'
    r'|(?P<open>[\[{])'
    r'|(?P<close>[\]}])'
    r'|(?P<number>-?[0-9][0-9.eE+-]*+)',
    re.DOTALL,
)


def loads(data: bytes) -> typing.Any:
    """Parse JSON; values that cannot be represented become ``None``.

    Examples
    ========

    >>> loads(b'[1, {"a": [2]}]')
    [1, {'a': [2]}]
    >>> loads(b'[1, ' + b'[' * 5000 + b']' * 5000 + b', 3]')[::2]
    [1, 3]
    >>> loads(b'[1, ' + b'9' * 5000 + b', 3]')
    [1, None, 3]

    :raises ValueError: if it is not JSON
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        return json.loads(_reduce(data.decode('utf-8', 'replace')))


def _reduce(text: str) -> str:
    """Return JSON without values that are too deep or numbers too long."""
    kept: list[str] = []
    depth = 0
    position = 0
    for token in _TOKEN.finditer(text):
        if depth <= _MAX_DEPTH:
            kept.append(text[position : token.start()])
        position = token.end()
        kind = token.lastgroup
        depth += kind == 'open'
        if depth <= _MAX_DEPTH:
            kept.append(_reduce_token(token))
        elif depth == _MAX_DEPTH + 1 and kind == 'open':
            kept.append(_NULL)
        depth -= kind == 'close'
    return ''.join(kept) + text[position:]


def _reduce_token(token: re.Match[str]) -> str:
    is_long = len(token.group()) > _MAX_NUMBER_CHARACTERS
    if token.lastgroup == 'number' and is_long:
        return _NULL
    return token.group()
