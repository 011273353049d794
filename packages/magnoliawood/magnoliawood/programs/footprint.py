"""Memory that programs and their calls take."""

import collections.abc
import sys

from magnoliawood.programs import call as calls
from magnoliawood.programs import message as messages
from magnoliawood.programs import records

# Memory of a program, of a call and of a message, beside their texts.
PROGRAM_BYTES = 4096
_CALL_BYTES = 1024
_MESSAGE_BYTES = 128


def of_messages(
    conversation: collections.abc.Iterable[messages.Message],
) -> int:
    """Return the memory of messages.

    :returns: bytes
    """
    return sum(
        _MESSAGE_BYTES + sys.getsizeof(message.content)
        for message in conversation
    )


def of_request(request: calls.Request) -> int:
    """Return the memory of a call with its request.

    Examples
    ========

    >>> request = calls.ServiceRequest('pours', 'list', 'x' * 10_000, True)
    >>> of_request(request) > 10_000
    True

    :returns: bytes
    """
    if isinstance(request, calls.ModelRequest):
        return _CALL_BYTES + of_messages(request.messages)
    return _CALL_BYTES + sys.getsizeof(request.body)


def of_outcome(outcome: calls.CallOutcome) -> int:
    """Return the memory of an outcome.

    :returns: bytes
    """
    return sys.getsizeof(outcome.content)


def of_record(record: records.Record) -> int:
    """Return the memory of a journal record.

    Examples
    ========

    >>> from magnoliawood.programs import identity
    >>> of_record(records.Ended(identity.ProgramKey('c', 'p'), 'done'))
    1024

    :returns: bytes
    """
    if isinstance(record, records.Intended):
        return of_request(record.request)
    if isinstance(record, records.Settled):
        return _CALL_BYTES + of_outcome(record.outcome)
    return _CALL_BYTES


class Tally:
    """Sum of the memory of all programs of a table."""

    def __init__(self) -> None:
        self._bytes = 0

    @property
    def total_bytes(self) -> int:
        """Memory of all programs."""
        return self._bytes

    def add(self, size: int) -> None:
        """Add memory, or take it away if it is negative."""
        self._bytes += size
