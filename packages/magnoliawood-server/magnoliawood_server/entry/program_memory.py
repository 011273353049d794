"""Limit on the memory of the programs of an entry."""

import dataclasses
import datetime
import logging

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.programs import call as calls
from magnoliawood.programs import footprint
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import retention as retentions

_RETRY_AFTER = datetime.timedelta(seconds=2)
# Ended programs are dropped until this share of the limit is left, so that
# they need not be looked through again soon.
_SHARE_LEFT = 0.9
# Pause before ended programs are looked through again.
_LOOK_INTERVAL = datetime.timedelta(seconds=1)
_LOG_INTERVAL = datetime.timedelta(seconds=10)

_log = logging.getLogger(__name__)


class ProgramMemory:
    """Admits programs and calls only while there is memory for them.

    Explanation
    ===========

    A program is kept with its whole history for as long as its client
    likes, so what is accepted can't be dropped later. Only ended programs
    can; others are refused before anything is recorded or runs. A part of
    the limit is left to small calls.

    :param limit_bytes: memory of all programs
    """

    def __init__(
        self,
        programs: tables.ProgramTable,
        retention: retentions.EndedProgramRetention,
        limit_bytes: int,
        clock: clocks.Clock,
        metrics: registries.Registry,
    ) -> None:
        self._programs = programs
        self._retention = retention
        self._limit_bytes = limit_bytes
        self._clock = clock
        self._metrics = metrics
        self._looked: datetime.timedelta | None = None
        self._logged: datetime.timedelta | None = None

    def check_room(self, size: int) -> None:
        """Check that there is memory for a program or a call.

        :param size: in bytes
        :raises MagnoliawoodError: with ``host_overloaded``; nothing has run
        """
        if self._has_room(size):
            return
        if self._is_due(self._looked, _LOOK_INTERVAL):
            self._looked = self._clock.monotonic()
            limit = client_budget.limit_for(size, self._limit_bytes)
            left = int(limit * _SHARE_LEFT) - size
            self._retention.free(left)
        if self._has_room(size):
            return
        self._metrics.count('program_memory_refusals_total')
        self._log_refusals()
        raise errors.MagnoliawoodError(
            errors.ErrorCode.HOST_OVERLOADED,
            'programs hold all memory that they may',
            retry_after=_RETRY_AFTER,
        )

    def fit_outcome(self, outcome: calls.CallOutcome) -> calls.CallOutcome:
        """Return an outcome without its content if there is no memory for it.

        The call has run, so the outcome itself is kept in any case.
        """
        size = footprint.of_outcome(outcome)
        if size <= client_budget.SMALL_BYTES:
            return outcome
        try:
            self.check_room(size)
        except errors.MagnoliawoodError as error:
            return dataclasses.replace(
                outcome,
                content='',
                status=error.status,
                finish_reason='error',
                code=str(error.code),
                detail=f'the call ran, but for its response {error.detail}',
            )
        return outcome

    def _has_room(self, size: int) -> bool:
        limit = client_budget.limit_for(size, self._limit_bytes)
        return self._programs.held_bytes + size <= limit

    def _is_due(
        self, last: datetime.timedelta | None, interval: datetime.timedelta
    ) -> bool:
        return last is None or self._clock.monotonic() - last >= interval

    def _log_refusals(self) -> None:
        if not self._is_due(self._logged, _LOG_INTERVAL):
            return
        self._logged = self._clock.monotonic()
        _log.warning(
            'programs hold all memory that they may',
            extra={
                'held_bytes': self._programs.held_bytes,
                'limit_bytes': self._limit_bytes,
                'programs': len(self._programs),
            },
        )
