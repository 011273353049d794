"""Whether the replicas have room for the records of further turns."""

import collections.abc
import datetime
import logging
import typing

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.keeper import messages

# Retry delay of a turn for which there is no room; records expire slowly.
_RETRY_AFTER = datetime.timedelta(seconds=2)
_LOG_INTERVAL = datetime.timedelta(seconds=10)

_log = logging.getLogger(__name__)


class RecordRoom:
    """Room that the replicas have left, as of their last replies.

    Explanation
    ===========

    A turn whose record finds no room has run for nothing, so it is refused
    before that. Programs under way go on for longer than others may begin.

    :param registry: counts the turns that are refused
    """

    def __init__(
        self, registry: registries.Registry, clock: clocks.Clock
    ) -> None:
        self._registry = registry
        self._clock = clock
        self._logged: datetime.timedelta | None = None
        self._takes_first_turns = True
        self._takes_next_turns = True

    @property
    def is_scarce(self) -> bool:
        """Whether some turns are refused."""
        return not self._takes_first_turns

    def record(self, replies: collections.abc.Iterable[typing.Any]) -> None:
        """Record what the replicas of a quorum have replied to a write."""
        written = [
            reply
            for reply in replies
            if isinstance(reply, messages.RecordsWritten)
        ]
        self._takes_first_turns = all(
            reply.takes_first_turns for reply in written
        )
        self._takes_next_turns = all(
            reply.takes_next_turns for reply in written
        )

    def record_full(self) -> None:
        """Record that too few replicas had room for a record."""
        self._takes_first_turns = False
        self._takes_next_turns = False

    def check(self, is_first: bool) -> None:
        """Check that there is room for a turn.

        :param is_first: whether it is the first one of a program
        :raises MagnoliawoodError: with ``store_unavailable``; the turn must
            not run
        """
        takes = self._takes_first_turns if is_first else self._takes_next_turns
        if takes:
            return
        turn = 'first' if is_first else 'next'
        self._registry.count('record_room_refusals_total', turn=turn)
        self._log_refusals()
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            'the replicas of the records have no room for further turns',
            retry_after=_RETRY_AFTER,
        )

    def _log_refusals(self) -> None:
        """Log that turns are refused, now and then."""
        now = self._clock.monotonic()
        if self._logged is not None and now - self._logged < _LOG_INTERVAL:
            return
        self._logged = now
        _log.warning(
            'replicas have no room for further turns',
            extra={'takes_next_turns': self._takes_next_turns},
        )
