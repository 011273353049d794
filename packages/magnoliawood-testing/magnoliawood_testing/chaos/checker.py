"""Checks the guarantees after an experiment."""

import itertools
import typing

from magnoliawood.programs import message as conversation
from magnoliawood_testing.chaos import workload
from magnoliawood_testing.cluster import deployment as deployments


class Checker:
    """Compares the responses to callers with the runs that upstreams counted.

    :param tokens: credential of each caller
    :param services: service that each caller uses
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        tokens: dict[str, str],
        services: dict[str, str],
    ) -> None:
        self._deployment = deployment
        self._tokens = tokens
        self._services = services

    def check(self, traces: list[workload.ProgramTrace]) -> list[str]:
        """Return a line for each violated guarantee."""
        problems = itertools.chain.from_iterable(
            map(self._check_trace, traces)
        )
        return [*problems, *self._check_cache(traces)]

    def _check_trace(self, trace: workload.ProgramTrace) -> list[str]:
        problems = [
            *trace.violations,
            *self._check_bookings(trace),
            *self._check_program(trace),
        ]
        if not trace.is_finished:
            problems.append('program did not finish')
        return [f'{trace.caller}/{trace.name}: {p}' for p in problems]

    def _check_bookings(self, trace: workload.ProgramTrace) -> list[str]:
        runs = self._deployment.runs(self._services[trace.caller])
        problems = []
        for sequence, verdict in trace.bookings.items():
            count = runs.get(f'{trace.caller}/{trace.name}/{sequence}', 0)
            allowed = {'ran': (1,), 'may_have_run': (0, 1)}
            if count not in allowed.get(verdict, (0,)):
                problems.append(
                    f'booking {sequence}, verdict {verdict}, ran {count} times'
                )
        return problems

    def _check_program(self, trace: workload.ProgramTrace) -> list[str]:
        path = f'/v1/programs/{trace.name}'
        _, stored = self._get(trace, f'{path}/history')
        _, status = self._get(trace, path)
        problems = []
        messages = [
            conversation.Message(**item) for item in stored.get('messages', [])
        ]
        if messages != trace.history:
            problems.append(
                f'history of {len(messages)} messages, expected '
                f'{len(trace.history)}'
            )
        spent = status.get('tokens_spent', -1)
        used = sum(
            len(message.content.split())
            for message in trace.history
            if message.role == 'assistant'
        )
        if not used <= spent <= workload.TOKEN_BUDGET:
            problems.append(f'budget: spent {spent}, used {used}')
        for sequence, content in trace.contents.items():
            _, response = self._get(trace, f'{path}/calls/{sequence}')
            if response.get('content') != content:
                problems.append(
                    f'call {sequence}: content differs when read again'
                )
        return problems

    def _check_cache(self, traces: list[workload.ProgramTrace]) -> list[str]:
        for trace in traces:
            self._request(trace, 'DELETE', f'/v1/programs/{trace.name}')
        try:
            deployments.wait_until(
                lambda: not self._cached_blocks(),
                'freed cache of ended programs',
            )
        except TimeoutError:
            return [
                f'cache of ended programs not freed: {self._cached_blocks()}'
            ]
        return []

    def _cached_blocks(self) -> dict[str, int]:
        blocks: dict[str, int] = {}
        for engine in self._deployment.engines():
            blocks |= self._deployment.engine_state(engine.name)['held']
        return blocks

    def _get(
        self, trace: workload.ProgramTrace, path: str
    ) -> tuple[int, typing.Any]:
        return self._request(trace, 'GET', path)

    def _request(
        self, trace: workload.ProgramTrace, method: str, path: str
    ) -> tuple[int, typing.Any]:
        entry = next(iter(self._deployment.entries.values()))
        token = self._tokens[trace.caller]
        return deployments.call(
            entry.http,
            method,
            path,
            headers={'authorization': f'Bearer {token}'},
        )
