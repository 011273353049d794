"""Exit codes of ``magnoliactl``."""

import enum

from magnoliawood.core import errors


class ExitCode(enum.IntEnum):
    """Exit code of a command, by the kind of result or error."""

    SUCCESS = 0
    FAILED = 1
    USAGE = 2
    NO_ANSWER = 3
    NOT_FOUND = 4
    CONFLICT = 5
    NOT_PERMITTED = 6
    REFUSED = 7


_BY_STATUS = {
    400: ExitCode.REFUSED,
    401: ExitCode.NOT_PERMITTED,
    403: ExitCode.NOT_PERMITTED,
    404: ExitCode.NOT_FOUND,
    409: ExitCode.CONFLICT,
    412: ExitCode.CONFLICT,
    413: ExitCode.REFUSED,
    422: ExitCode.REFUSED,
    429: ExitCode.NO_ANSWER,
    503: ExitCode.NO_ANSWER,
}


def exit_code_of(error: errors.MagnoliawoodError) -> ExitCode:
    """Return the exit code for an error, by its HTTP status.

    Examples
    ========

    >>> exit_code_of(
    ...     errors.MagnoliawoodError(errors.ErrorCode.NOT_FOUND, 'no x')
    ... ).name
    'NOT_FOUND'
    """
    return _BY_STATUS.get(error.status, ExitCode.FAILED)
