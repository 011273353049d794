"""Runs programs on a real deployment and kills an entry midway.

Checks each response, history and budget, and that every booking ran exactly
once.
"""

import dataclasses
import itertools
import sys
import time

import curio

from magnoliawood.programs import message as conversation
from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.standins import reference

_TURNS = 6
_PROGRAMS_OF_EACH_KIND = 6
_KILL_AFTER_RESPONSES = 25
_MAX_TOKENS = 64


@dataclasses.dataclass(slots=True)
class ProgramKind:
    """A kind of program: its caller, work class and service operation."""

    caller: str
    name: str
    service: str
    operation: str
    target_seconds: float


KINDS = (
    ProgramKind('red-clay', 'pour-booking', 'pours', 'book', 20.0),
    ProgramKind('kessick', 'concierge-chat', 'lifts', 'book', 30.0),
)


@dataclasses.dataclass(slots=True)
class Result:
    """Outcome of one program.

    :param seconds: time from the first to the last request
    :param mismatches: checks that failed
    """

    name: str
    kind: ProgramKind
    seconds: float = 0.0
    responses: int = 0
    mismatches: list[str] = dataclasses.field(default_factory=list)


class Demonstration:
    """Runs the programs of both callers on one cluster."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._response_count = 0
        self._entry_to_kill = next(iter(deployment.entries.values()))
        self._addresses = [node.http for node in deployment.entries.values()]
        self._tokens: dict[str, str] = {}

    async def run(self) -> list[Result]:
        """Run all programs and return their results."""
        for kind in KINDS:
            self._deployment.create_class(kind.name, kind.target_seconds)
            token = self._deployment.create_account(kind.caller)
            self._tokens[kind.caller] = token
        await curio.sleep(1)
        async with curio.TaskGroup() as group:
            for kind, number in itertools.product(
                KINDS, range(_PROGRAMS_OF_EACH_KIND)
            ):
                await group.spawn(self._run_program, kind, number)
        return group.results

    async def _run_program(self, kind: ProgramKind, number: int) -> Result:
        # Both callers use the same program names, which must be kept apart.
        name = f'program-{number}'
        result = Result(name, kind)
        caller = cluster.Caller(
            self._addresses[number % 2 :] + self._addresses[: number % 2],
            self._tokens[kind.caller],
        )
        started = time.monotonic()
        history: list[conversation.Message] = []
        await caller.open(name, kind.name, tokens=4000, calls=20)
        for turn in range(1, _TURNS + 1):
            await self._turn(caller, result, history, 2 * turn - 1)
            await self._book(caller, result, history, 2 * turn)
        await self._check_program(caller, result, history)
        result.seconds = time.monotonic() - started
        return result

    async def _turn(
        self,
        caller: cluster.Caller,
        result: Result,
        history: list[conversation.Message],
        sequence: int,
    ) -> None:
        text = f'{result.kind.caller} {result.name} asks {sequence}'
        response = await caller.turn(result.name, sequence, text, _MAX_TOKENS)
        history.append(conversation.Message('user', text))
        expected = reference.answer_text(history, _MAX_TOKENS)
        if response['content'] != expected:
            result.mismatches.append(f'response {sequence}')
        history.append(conversation.Message('assistant', expected))
        self._count_response(result)

    async def _book(
        self,
        caller: cluster.Caller,
        result: Result,
        history: list[conversation.Message],
        sequence: int,
    ) -> None:
        kind = result.kind
        response = await caller.service(
            result.name, sequence, kind.service, kind.operation
        )
        name = f'{kind.service}/{kind.operation}'
        content = f'{name}: {response["content"]}'
        history.append(conversation.Message('tool', content))
        self._count_response(result)

    async def _check_program(
        self,
        caller: cluster.Caller,
        result: Result,
        history: list[conversation.Message],
    ) -> None:
        path = f'/v1/programs/{result.name}'
        history_reply = await caller.request('GET', f'{path}/history')
        stored_history = [
            conversation.Message(**m) for m in history_reply['messages']
        ]
        if stored_history != history:
            result.mismatches.append('history')
        status = await caller.request('DELETE', path)
        expected_tokens = sum(
            len(message.content.split())
            for message in history
            if message.role == 'assistant'
        )
        if status['tokens_spent'] != expected_tokens:
            result.mismatches.append(
                f'budget {status["tokens_spent"]} instead of {expected_tokens}'
            )

    def _count_response(self, result: Result) -> None:
        result.responses += 1
        self._response_count += 1
        if self._response_count == _KILL_AFTER_RESPONSES:
            self._entry_to_kill.process.kill()


def check_runs(deployment: deployments.Deployment) -> list[str]:
    """Return a message for each booking that did not run exactly once."""
    runs = itertools.chain.from_iterable(
        deployment.runs(kind.service).items() for kind in KINDS
    )
    run_counts = dict(runs)
    expected_count = _TURNS * _PROGRAMS_OF_EACH_KIND * len(KINDS)
    mismatches = [
        f'{key} ran {count} times'
        for key, count in run_counts.items()
        if count != 1
    ]
    if len(run_counts) != expected_count:
        mismatches.append(
            f'{len(run_counts)} bookings instead of {expected_count}'
        )
    return mismatches


def main() -> None:
    """Run the demonstration; exit with 1 if any check fails."""
    services = tuple(kind.service for kind in KINDS)
    with deployments.Deployment(
        engines=3, services=services, entries=2
    ) as deployment:
        results = curio.run(Demonstration(deployment).run)
        mismatches = check_runs(deployment)
        if mismatches or any(result.mismatches for result in results):
            print(deployment.logs())
    print(
        f'{"caller":10} {"class":15} {"program":10} replies seconds mismatches'
    )
    for result in results:
        kind = result.kind
        print(
            f'{kind.caller:10} {kind.name:15} {result.name:10} '
            f'{result.responses:7} {result.seconds:7.2f} '
            f'{", ".join(result.mismatches) or "none"}'
        )
    for mismatch in mismatches:
        print(mismatch)
    has_mismatch = bool(mismatches) or any(
        result.mismatches for result in results
    )
    print('missed' if has_mismatch else 'all programs checked out')
    sys.exit(int(has_mismatch))


if __name__ == '__main__':
    main()
