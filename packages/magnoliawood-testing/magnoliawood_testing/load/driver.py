"""Open-loop load generator: runs planned programs against the entries."""

import collections
import dataclasses
import datetime
import itertools
import json
import random
import time
import typing

import curio

from magnoliawood_server.http import client as http_client
from magnoliawood_testing.load import plan as plans

CALL_TIMEOUT = datetime.timedelta(seconds=60)
_MODEL = 'model-a'
_RETRY_STATUSES = frozenset({429, 503})
_DEFAULT_RETRY_SECONDS = 0.25
_BUDGET = {'tokens': 100_000, 'calls': 1_000, 'seconds': 3_600.0}
_VOCABULARY = tuple(f'w{number}' for number in range(500))


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramResult:
    """Latency and outcome of a program.

    :param starts_at: intended start in scaled seconds after the run began
    :param seconds: scaled time from the intended start to the last response
    :param error: code of the error that ended the program, or empty
    """

    name: str
    work_class: str
    starts_at: float
    seconds: float
    error: str


class ProgramFailed(Exception):
    """A request of the program failed and is not retried.

    :param code: error code from the response
    """

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


class Driver:
    """Load generator that keeps its schedule however slow the system is.

    Explanation
    ===========

    The latency of a program is measured from its intended start, which
    avoids coordinated omission: a system that falls behind cannot hide its
    delay by making callers wait before they start.

    :param addresses: HTTP addresses of the entries
    :param scale: scaled seconds for each unscaled second
    """

    def __init__(self, addresses: list[str], token: str, scale: float) -> None:
        self._clients = [http_client.HttpClient(item) for item in addresses]
        self._next_client = itertools.cycle(self._clients)
        self._authorization = f'Bearer {token}'
        self._scale = scale
        self._started = 0.0
        self._live: set[str] = set()
        self.results: list[ProgramResult] = []
        self.response_counts: collections.Counter[str] = collections.Counter()
        self.retries: collections.Counter[str] = collections.Counter()
        self.lateness_seconds = 0.0

    async def run(
        self, programs: list[plans.ProgramPlan], drain_seconds: float
    ) -> None:
        """Run programs; unfinished ones are recorded as ``late``.

        :param drain_seconds: scaled time to finish after the last arrival
        """
        self._started = time.monotonic()
        async with curio.TaskGroup() as group:
            for program in programs:
                await self._sleep_until(program.starts_at * self._scale)
                await group.spawn(self._run_program, program)
            async with curio.ignore_after(drain_seconds):
                await group.join()
            await group.cancel_remaining()

    async def _sleep_until(self, at: float) -> None:
        wait = at - self._elapsed()
        if wait > 0:
            await curio.sleep(wait)
        self.lateness_seconds = max(
            self.lateness_seconds, self._elapsed() - at
        )

    def _elapsed(self) -> float:
        return time.monotonic() - self._started

    async def _run_program(self, program: plans.ProgramPlan) -> None:
        error = 'late'
        try:
            await self._run_steps(
                program.name, program.work_class, program.steps
            )
            error = ''
        except ProgramFailed as failure:
            error = failure.code
        except curio.TaskTimeout:
            error = 'timeout'
        finally:
            starts_at = program.starts_at * self._scale
            self.results.append(
                ProgramResult(
                    program.name,
                    program.work_class,
                    starts_at,
                    self._elapsed() - starts_at,
                    error,
                )
            )

    async def _run_steps(
        self, name: str, work_class: str, steps: tuple[plans.Step, ...]
    ) -> None:
        path = f'/v1/programs/{name}'
        await self._request(
            'PUT', path, {'class': work_class, 'budget': _BUDGET}
        )
        rng = random.Random(name)
        sequence = 0
        for step in steps:
            if isinstance(step, plans.Pause):
                await curio.sleep(step.seconds * self._scale)
            elif isinstance(step, plans.SubAgents):
                await self._run_children(name, work_class, step)
            else:
                sequence += 1
                body = _call_body(step, rng)
                await self._request('PUT', f'{path}/calls/{sequence}', body)
        if ':' not in name:
            await self._request('DELETE', path)

    async def _run_children(
        self, name: str, work_class: str, step: plans.SubAgents
    ) -> None:
        children = [
            await curio.spawn(
                self._run_child, f'{name}:{number}', work_class, child
            )
            for number, child in enumerate(step.plans)
        ]
        try:
            codes = [await child.join() for child in children]
        except curio.CancelledError:
            for child in children:
                await child.cancel()
            raise
        if failed := [code for code in codes if code]:
            raise ProgramFailed(failed[0])

    async def _run_child(
        self, name: str, work_class: str, steps: tuple[plans.Step, ...]
    ) -> str:
        try:
            await self._run_steps(name, work_class, steps)
        except ProgramFailed as failure:
            return failure.code
        except curio.TaskTimeout:
            return 'timeout'
        return ''

    async def _request(
        self, method: str, path: str, body: typing.Any = None
    ) -> None:
        """Send a request, retrying after the delay that a response asks for.

        Lost connections and statuses 429 and 503 are retried.
        """
        while True:
            status, code, retry_seconds = await self._attempt(
                method, path, body
            )
            self.response_counts[f'{status} {code}'.strip()] += 1
            if status < 400:
                return
            if status not in _RETRY_STATUSES:
                raise ProgramFailed(code)
            self.retries[code] += 1
            await curio.sleep(retry_seconds)

    async def _attempt(
        self, method: str, path: str, body: typing.Any
    ) -> tuple[int, str, float]:
        request = http_client.json_request(
            method, path, body, authorization=self._authorization
        )
        client = next(self._next_client)
        try:
            reply, data = await client.fetch(request, CALL_TIMEOUT)
        except OSError:
            return 503, 'connection_lost', _DEFAULT_RETRY_SECONDS
        if reply.status < 400:
            return reply.status, '', 0.0
        problem = json.loads(data)
        wait = problem.get('retry_after_seconds', _DEFAULT_RETRY_SECONDS)
        return reply.status, problem.get('code', ''), wait


def _call_body(
    step: plans.Turn | plans.ServiceCall, rng: random.Random
) -> dict[str, typing.Any]:
    if isinstance(step, plans.ServiceCall):
        return {
            'kind': 'service',
            'service': step.service,
            'operation': step.operation,
            'idempotent': step.is_idempotent,
        }
    text = ' '.join(rng.choices(_VOCABULARY, k=step.words))
    system = [{'role': 'system', 'content': step.system}]
    return {
        'kind': 'model',
        'model': _MODEL,
        'messages': [
            *(system if step.system else []),
            {'role': 'user', 'content': text},
        ],
        'max_tokens': step.max_tokens,
    }
