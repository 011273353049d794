"""Checks of the promises after an experiment."""

import itertools
import typing

from magnoliawood.programs import message as conversation
from magnoliawood_testing.chaos import workload
from magnoliawood_testing.cluster import deployment as deployments


class Checker:
    """Compares what callers were told with what upstreams counted."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        tokens: dict[str, str],
        services: dict[str, str],
    ) -> None:
        self._deployment = deployment
        self._tokens = tokens
        self._services = services

    def check(self, journeys: list[workload.Journey]) -> list[str]:
        """Return a line for each broken promise."""
        found = itertools.chain.from_iterable(
            map(self._check_journey, journeys)
        )
        return [*found, *self._check_cache(journeys)]

    def _check_journey(self, journey: workload.Journey) -> list[str]:
        problems = [
            *journey.violations,
            *self._check_bookings(journey),
            *self._check_program(journey),
        ]
        if not journey.is_finished:
            problems.append('did not finish')
        return [f'{journey.caller}/{journey.name}: {p}' for p in problems]

    def _check_bookings(self, journey: workload.Journey) -> list[str]:
        runs = self._deployment.runs(self._services[journey.caller])
        problems = []
        for sequence, verdict in journey.bookings.items():
            count = runs.get(f'{journey.caller}/{journey.name}/{sequence}', 0)
            allowed = {'ran': (1,), 'may_have_run': (0, 1)}
            if count not in allowed.get(verdict, (0,)):
                problems.append(
                    f'booking {sequence}, told {verdict}, ran {count} times'
                )
        return problems

    def _check_program(self, journey: workload.Journey) -> list[str]:
        path = f'/v1/programs/{journey.name}'
        _, kept = self._get(journey, f'{path}/history')
        _, status = self._get(journey, path)
        problems = []
        messages = [
            conversation.Message(**item) for item in kept.get('messages', [])
        ]
        if messages != journey.history:
            problems.append(
                f'history of {len(messages)} messages, expected '
                f'{len(journey.history)}'
            )
        spent = status.get('tokens_spent', -1)
        used = sum(
            len(message.content.split())
            for message in journey.history
            if message.role == 'assistant'
        )
        if not used <= spent <= workload.TOKEN_BUDGET:
            problems.append(f'budget: spent {spent}, used {used}')
        for sequence, content in journey.answers.items():
            _, answer = self._get(journey, f'{path}/calls/{sequence}')
            if answer.get('content') != content:
                problems.append(f'call {sequence} reads differently')
        return problems

    def _check_cache(self, journeys: list[workload.Journey]) -> list[str]:
        for journey in journeys:
            self._request(journey, 'DELETE', f'/v1/programs/{journey.name}')
        try:
            deployments.wait_until(lambda: not self._held(), 'freed cache')
        except TimeoutError:
            return [f'cache held for ended programs: {self._held()}']
        return []

    def _held(self) -> dict[str, int]:
        held: dict[str, int] = {}
        for engine in self._deployment.engines():
            held |= self._deployment.engine_state(engine.name)['held']
        return held

    def _get(
        self, journey: workload.Journey, path: str
    ) -> tuple[int, typing.Any]:
        return self._request(journey, 'GET', path)

    def _request(
        self, journey: workload.Journey, method: str, path: str
    ) -> tuple[int, typing.Any]:
        entry = next(iter(self._deployment.entries.values()))
        token = self._tokens[journey.caller]
        return deployments.call(
            entry.http,
            method,
            path,
            headers={'authorization': f'Bearer {token}'},
        )
