"""Memory that a JSON body needs once it is decoded."""

import re

_WIDE = 4
_MIDDLE = 2
_NARROW = 1
# First bytes of characters in UTF-8 that take four bytes as text.
_WIDE_LEADS = range(0xF0, 0xF5)
# Escapes of one half of such a character, and of any character.
_WIDE_ESCAPES = (b'\\ud', b'\\uD')
_ESCAPE = b'\\u'
# A string, which the possessive repeats match without a stack.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"', re.DOTALL)
# Memory for each object, array, field and further value, beside its text.
_STRUCTURE_BYTES = {b'{': 512, b'[': 96, b':': 320, b',': 72}


def text_width(data: bytes | bytearray) -> int:
    """Return the most bytes that each character of UTF-8 text may take.

    Explanation
    ===========

    A text takes as many bytes for each character as its widest one needs.
    There are no more characters than the data has bytes.

    Examples
    ========

    >>> text_width(b'plain'), text_width('plain \u20ac'.encode())
    (1, 2)
    >>> text_width('plain \U0001f600'.encode())
    4

    :returns: 1, 2 or 4
    """
    if data.isascii():
        return _NARROW
    return _WIDE if any(lead in data for lead in _WIDE_LEADS) else _MIDDLE


def bytes_per_character(body: bytes | bytearray) -> int:
    """Return the same as :func:`text_width`, with the escapes of JSON.

    Examples
    ========

    >>> bytes_per_character(b'"plain"')
    1
    >>> bytes_per_character('"plain \\u20ac"'.encode())
    2
    >>> bytes_per_character('"plain \\U0001f600"'.encode())
    4

    :returns: 1, 2 or 4
    """
    width = text_width(body)
    if _ESCAPE not in body:
        return width
    if any(escape in body for escape in _WIDE_ESCAPES):
        return _WIDE
    return max(width, _MIDDLE)


def structure_bytes(body: bytes | bytearray, limit_bytes: int) -> int:
    """Return the memory for the objects, arrays and values of a body.

    Explanation
    ===========

    All bytes that may be structure are counted first. Only if they exceed the
    limit, those in strings are left out, which takes longer.

    Examples
    ========

    >>> structure_bytes(b'{"a": [1, 2]}', 10_000)
    1000
    >>> structure_bytes(b'["{{{{{{{{"]', 1000)
    96

    :param limit_bytes: amount up to which the exact one doesn't matter; it is
        not counted much further
    """
    total = _count(body, 0, len(body))
    if total <= limit_bytes:
        return total
    total = end = 0
    for string in _STRING.finditer(body):
        total += _count(body, end, string.start())
        end = string.end()
        if total > limit_bytes:
            return total
    return total + _count(body, end, len(body))


def _count(body: bytes | bytearray, start: int, end: int) -> int:
    return sum(
        size * body.count(mark, start, end)
        for mark, size in _STRUCTURE_BYTES.items()
    )
