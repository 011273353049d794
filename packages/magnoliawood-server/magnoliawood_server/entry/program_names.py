"""Validation of the program names that callers choose."""

from magnoliawood.core import errors
from magnoliawood.programs import identity

_NAME_LIMIT_CHARACTERS = 200
_OTHER_CHARACTERS = frozenset('-_.:')


def program_key(caller: str, name: str) -> identity.ProgramKey:
    """Return the key of a caller's program after checking its name.

    :raises MagnoliawoodError: with ``malformed_request`` if the name is not
        valid

    Examples
    ========

    >>> program_key('red-clay', 'pour-7:pump')
    ProgramKey(caller='red-clay', name='pour-7:pump')
    """
    is_valid = (
        0 < len(name) <= _NAME_LIMIT_CHARACTERS
        and name.isascii()
        and all(c.isalnum() or c in _OTHER_CHARACTERS for c in name)
        and all(name.split(identity.CHILD_SEPARATOR))
    )
    if not is_valid:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST,
            f'a program name must have 1 to {_NAME_LIMIT_CHARACTERS} letters, '
            'digits or "-_.", with sub-agents separated by ":"',
        )
    return identity.ProgramKey(caller, name)
