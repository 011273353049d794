"""Priority, routing and cache admission of calls."""

import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.programs import call as calls
from magnoliawood.programs import message as conversation
from magnoliawood.programs import program as programs
from magnoliawood.scheduling import growth
from magnoliawood.scheduling import policies
from magnoliawood.scheduling import priority as priorities
from magnoliawood.scheduling import routing
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import quarantine_registry
from magnoliawood_server.entry import sidecar_directory

CACHE_WAIT_LIMIT = datetime.timedelta(seconds=30)


class CallScheduler:
    """Chooses the upstream of each call and its rank in the queue."""

    def __init__(
        self,
        sidecars: sidecar_directory.SidecarDirectory,
        clock: clocks.Clock,
        metrics: registries.Registry,
        policy: policies.Policy,
        quarantine: quarantine_registry.QuarantineRegistry,
    ) -> None:
        self._sidecars = sidecars
        self._clock = clock
        self._metrics = metrics
        self._policy = policy
        self._quarantine = quarantine
        self._growth = growth.PromptGrowth()

    def choose(
        self,
        program: programs.Program,
        request: calls.Request,
        excluded: set[str],
    ) -> sidecar_directory.Sidecar:
        """Choose the upstream for a request.

        :raises MagnoliawoodError: if none is available
        """
        router = self._policy.router
        demand = self._demand(program, request)
        kind_and_name = _kind_and_name(request)
        available = self._sidecars.candidates(
            *kind_and_name, router.sample_size, demand.last_upstream
        )
        eligible = self._quarantine.filter_candidates(
            calls.content_fingerprint(program.digest, request),
            available,
            []
            if demand.last_upstream
            else self._sidecars.reachable(*kind_and_name),
            excluded,
        )
        views = [sidecar_directory.view_of(sidecar) for sidecar in eligible]
        chosen = router.choose(demand, views)
        sidecar = next(s for s in eligible if s.name == chosen.name)
        if chosen.name != demand.last_upstream:
            sidecar.placed_tokens += demand.prompt_tokens
            if demand.last_upstream:
                self._metrics.count('program_moves_total')
        return sidecar

    def rank(
        self, program: programs.Program, target: datetime.timedelta
    ) -> float:
        """Return the rank of a program's call; the lowest rank runs first."""
        ledger = program.ledger
        progress = priorities.ProgramProgress(
            program.opened.opened_at,
            target,
            ledger.calls_made,
            ledger.tokens_spent,
        )
        return self._policy.priority.rank(progress, self._clock.now())

    def cache_wait_deadline(
        self,
        program: programs.Program,
        request: calls.Request,
        target: datetime.timedelta,
    ) -> datetime.datetime | None:
        """Return until when a program's first turn may wait for cache space.

        :returns: none if the call is no first turn of a root program or if
            the policy allows no wait
        """
        may_wait = (
            self._policy.cache_wait_share > 0
            and program.key.parent is None
            and isinstance(request, calls.ModelRequest)
            and not any(
                isinstance(call.request, calls.ModelRequest)
                for call in program.calls[:-1]
            )
        )
        if not may_wait:
            return None
        wait_limit = min(
            target * self._policy.cache_wait_share, CACHE_WAIT_LIMIT
        )
        return program.opened.opened_at + wait_limit

    def _demand(
        self, program: programs.Program, request: calls.Request
    ) -> routing.Demand:
        last_upstream = _last_upstream(program, request)
        if not isinstance(request, calls.ModelRequest):
            return routing.Demand(program.key, last_upstream, 0)
        prompt = [*program.history, *request.messages]
        tokens = conversation.token_estimate(prompt)
        self._growth.record_prompt_length(program.work_class, tokens)
        expected = self._growth.expected_tokens(program.work_class)
        return routing.Demand(
            program.key, last_upstream, tokens, expected - tokens
        )


def _kind_and_name(request: calls.Request) -> tuple[str, str]:
    """Return the kind and the name of the upstream that a request needs."""
    if isinstance(request, calls.ModelRequest):
        return 'engine', request.model
    return 'service', request.service


def _last_upstream(program: programs.Program, request: calls.Request) -> str:
    if not isinstance(request, calls.ModelRequest):
        return ''
    turns = (
        call.upstream
        for call in reversed(program.calls)
        if call.is_done
        and isinstance(call.request, calls.ModelRequest)
        and call.request.model == request.model
    )
    return next(turns, '')
