"""Memory that the text of a JSON body needs once it is decoded."""

_WIDE = 4
_MIDDLE = 2
_NARROW = 1
# First bytes of characters in UTF-8 that take four bytes as text.
_WIDE_LEADS = range(0xF0, 0xF5)
# Escapes of one half of such a character, and of any character.
_WIDE_ESCAPES = (b'\\ud', b'\\uD')
_ESCAPE = b'\\u'


def bytes_per_character(body: bytes | bytearray) -> int:
    """Return the most bytes that each character of a body's text may take.

    Explanation
    ===========

    A text takes as many bytes for each character as its widest one needs.
    There are no more characters than the body has bytes.

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
    if body.isascii():
        if _ESCAPE not in body:
            return _NARROW
    elif any(lead in body for lead in _WIDE_LEADS):
        return _WIDE
    if any(escape in body for escape in _WIDE_ESCAPES):
        return _WIDE
    return _MIDDLE
