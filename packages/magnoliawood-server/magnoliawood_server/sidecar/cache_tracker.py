"""What a sidecar knows of its upstream's cache."""

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
    """Room that live programs take and new ones wait for."""

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
        """Room that live programs take."""
        return self._residency.tokens

    def may_start(self, run: call_run.CallRun) -> bool:
        """Return whether there is room for a call."""
        return self._admission.admits(
            self._demand(run),
            self._residency.tokens,
            self.capacity_tokens,
            self._clock.now(),
        )

    def record_start(self, run: call_run.CallRun) -> None:
        """Take in the prompt of a call that starts."""
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
        """Forget a program that ended."""
        self._residency.release(program)

    def _demand(self, run: call_run.CallRun) -> cache_admission.CacheDemand:
        order = run.order
        request = order.intended.request
        new = (
            request.messages if isinstance(request, calls.ModelRequest) else []
        )
        hold_until = order.hold_until
        return cache_admission.CacheDemand(
            hold_until is not None,
            conversation.token_estimate([*order.history, *new]),
            self._growth.expected_tokens(order.opened.work_class),
            hold_until or datetime.datetime.min,
        )
