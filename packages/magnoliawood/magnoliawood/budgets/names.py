"""Names that clients choose, in a form whose length is limited.

A process remembers names after the requests that stated them, so what it
remembers is only bounded if each name is.
"""

import hashlib

# A longer name is replaced by a digest of it.
MAX_LENGTH = 256
_PREFIX = 'sha256:'


def bounded(name: str) -> str:
    """Return a name as it is remembered.

    Examples
    ========

    >>> bounded('program-1')
    'program-1'
    >>> len(bounded('p' * 10_000))
    71

    :param name: text of a header field; each character is one byte of it
    """
    if len(name) <= MAX_LENGTH:
        return name
    return _PREFIX + hashlib.sha256(name.encode('latin-1')).hexdigest()
