"""Limit on the memory of the calls of a sidecar."""

import datetime

from magnoliawood.budgets import client_budget
from magnoliawood.core import errors
from magnoliawood.programs import call as calls
from magnoliawood.programs import footprint
from magnoliawood.programs import identity
from magnoliawood_server.http import client as http_client
from magnoliawood_server.peer import messages

_RETRY_AFTER = datetime.timedelta(seconds=1)
# Copies of a call's texts until it ends: the order, the request to the
# upstream and its encoded form.
_COPIES = 3


class CallMemory:
    """Memory of the calls that wait, run, or whose outcome is kept.

    Explanation
    ===========

    Memory is taken before a call is accepted. One call is always accepted,
    so that each legal one can run; a part of the limit is left to small ones.

    :param limit_bytes: memory of all calls
    """

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[identity.CallId, int] = {}
        self._total_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Memory of all calls."""
        return self._total_bytes

    def take(self, order: messages.Order) -> None:
        """Take the memory of a call before it is accepted.

        :raises MagnoliawoodError: with ``overloaded``; it must not run
        """
        size = _COPIES * _size_of(order)
        limit = client_budget.limit_for(size, self._limit_bytes)
        if self._held and self._total_bytes + size > limit:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.OVERLOADED,
                'calls hold all memory that they may',
                retry_after=_RETRY_AFTER,
            )
        self._set(order.intended.call, size)

    def take_response(self, call: identity.CallId, size: int) -> None:
        """Take memory for more of the response to a call that runs.

        The only call may always go on.

        :param size: in bytes, with all copies
        :raises ResponseTooLong: if there is none; the call may have run
        """
        if len(self._held) > 1 and self._total_bytes + size > (
            self._limit_bytes
        ):
            raise http_client.ResponseTooLong(
                'calls hold all memory that they may'
            )
        if call in self._held:
            self._set(call, self._held[call] + size)

    def settle(
        self, order: messages.Order, outcome: calls.CallOutcome
    ) -> None:
        """Give back what is not needed any more; the outcome is kept."""
        call = order.intended.call
        if call in self._held:
            self._set(call, _size_of(order) + footprint.of_outcome(outcome))

    def forget(self, call: identity.CallId) -> None:
        """Give back the memory of a call that is not kept any more."""
        self._total_bytes -= self._held.pop(call, 0)

    def _set(self, call: identity.CallId, size: int) -> None:
        self._total_bytes += size - self._held.get(call, 0)
        self._held[call] = size


def _size_of(order: messages.Order) -> int:
    return footprint.of_request(
        order.intended.request
    ) + footprint.of_messages(order.history)
