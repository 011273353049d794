"""Estimate of the use of an upstream's prefix cache."""

import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood.scheduling import cache_admission
from magnoliawood.scheduling import growth
from magnoliawood.scheduling import residency as residencies
from magnoliawood_server.sidecar import call_run


class CacheTracker:
    """Tracks cache space used by active programs and admits new ones.

    Explanation
    ===========

    ``capacity_tokens`` is the size of the cache as the upstream reports it,
    and 0 as long as it is unknown.

    :param admission: decides whether the space suffices for a call
    """

    def __init__(
        self,
        clock: clocks.Clock,
        admission: cache_admission.CacheAdmission,
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._residency = residencies.ResidencyTable()
        self._growth = growth.PromptGrowth()
        self.capacity_tokens = 0

    @property
    def resident_tokens(self) -> int:
        """Estimated cache space used by active programs, in tokens."""
        return self._residency.tokens

    def may_start(self, run: call_run.CallRun) -> bool:
        """Return whether a call may start with the present cache use."""
        return self._admission.admits(
            self._demand(run),
            self._residency.tokens,
            self.capacity_tokens,
            self._clock.now(),
        )

    def record_start(self, run: call_run.CallRun) -> None:
        """Add the prompt of a starting call to the tracked cache use."""
        if not isinstance(run.order.intended.request, calls.ModelRequest):
            return
        demand = self._demand(run)
        opened = run.order.opened
        self._growth.record_prompt_length(
            opened.work_class, demand.prompt_tokens
        )
        run.new_tokens = self._residency.record_use(
            opened.program,
            demand.prompt_tokens,
            demand.mean_tokens,
            self._clock.now(),
        )

    def release(self, program: identity.ProgramKey) -> None:
        """Remove a program that ended from the tracked cache use."""
        self._residency.release(program)

    def _demand(self, run: call_run.CallRun) -> cache_admission.CacheDemand:
        order = run.order
        request = order.intended.request
        new_messages = (
            request.messages if isinstance(request, calls.ModelRequest) else []
        )
        hold_until = order.hold_until
        return cache_admission.CacheDemand(
            hold_until is not None,
            conversation.token_estimate([*order.history, *new_messages]),
            self._growth.expected_tokens(order.opened.work_class),
            hold_until or datetime.datetime.min,
        )
