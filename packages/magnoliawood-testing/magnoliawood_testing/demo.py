"""Runs programs through a real deployment and kills an entry midway."""

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
_KILL_AFTER_ANSWERS = 25
_MAX_TOKENS = 64


@dataclasses.dataclass(slots=True)
class Kind:
    """A kind of program in the demonstration."""

    caller: str
    name: str
    service: str
    operation: str
    target_seconds: float


KINDS = (
    Kind('red-clay', 'pour-booking', 'pours', 'book', 20.0),
    Kind('kessick', 'concierge-chat', 'lifts', 'book', 30.0),
)


@dataclasses.dataclass(slots=True)
class Result:
    """What one program gave."""

    name: str
    kind: Kind
    seconds: float = 0.0
    answers: int = 0
    misses: list[str] = dataclasses.field(default_factory=list)


class Demonstration:
    """Programs of both deployments' kinds on one cluster."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self._deployment = deployment
        self._answers = 0
        self._victim = next(iter(deployment.entries.values()))
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

    async def _run_program(self, kind: Kind, number: int) -> Result:
        # Both callers use the same names, which must not mix.
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
        answer = await caller.turn(result.name, sequence, text, _MAX_TOKENS)
        history.append(conversation.Message('user', text))
        expected = reference.answer_text(history, _MAX_TOKENS)
        if answer['content'] != expected:
            result.misses.append(f'answer {sequence}')
        history.append(conversation.Message('assistant', expected))
        self._count_answer(result)

    async def _book(
        self,
        caller: cluster.Caller,
        result: Result,
        history: list[conversation.Message],
        sequence: int,
    ) -> None:
        kind = result.kind
        answer = await caller.service(
            result.name, sequence, kind.service, kind.operation
        )
        name = f'{kind.service}/{kind.operation}'
        content = f'{name}: {answer["content"]}'
        history.append(conversation.Message('tool', content))
        self._count_answer(result)

    async def _check_program(
        self,
        caller: cluster.Caller,
        result: Result,
        history: list[conversation.Message],
    ) -> None:
        path = f'/v1/programs/{result.name}'
        kept = await caller.request('GET', f'{path}/history')
        shown = [conversation.Message(**m) for m in kept['messages']]
        if shown != history:
            result.misses.append('history')
        status = await caller.request('DELETE', path)
        spent = sum(
            len(message.content.split())
            for message in history
            if message.role == 'assistant'
        )
        if status['tokens_spent'] != spent:
            result.misses.append(
                f'budget {status["tokens_spent"]} instead of {spent}'
            )

    def _count_answer(self, result: Result) -> None:
        result.answers += 1
        self._answers += 1
        if self._answers == _KILL_AFTER_ANSWERS:
            self._victim.process.kill()


def check_runs(deployment: deployments.Deployment) -> list[str]:
    """Return a line for each booking that did not run exactly once."""
    runs = itertools.chain.from_iterable(
        deployment.runs(kind.service).items() for kind in KINDS
    )
    found = dict(runs)
    wanted = _TURNS * _PROGRAMS_OF_EACH_KIND * len(KINDS)
    misses = [
        f'{key} ran {count} times'
        for key, count in found.items()
        if count != 1
    ]
    if len(found) != wanted:
        misses.append(f'{len(found)} bookings instead of {wanted}')
    return misses


def main() -> None:
    """Run the demonstration; exit with 1 on any miss."""
    services = tuple(kind.service for kind in KINDS)
    with deployments.Deployment(
        engines=3, services=services, entries=2
    ) as deployment:
        results = curio.run(Demonstration(deployment).run)
        misses = check_runs(deployment)
        if misses or any(result.misses for result in results):
            print(deployment.logs())
    print(f'{"caller":10} {"class":15} {"program":10} answers seconds misses')
    for result in results:
        kind = result.kind
        print(
            f'{kind.caller:10} {kind.name:15} {result.name:10} '
            f'{result.answers:7} {result.seconds:7.2f} '
            f'{", ".join(result.misses) or "none"}'
        )
    for miss in misses:
        print(miss)
    has_missed = bool(misses) or any(result.misses for result in results)
    print('missed' if has_missed else 'all programs checked out')
    sys.exit(int(has_missed))


if __name__ == '__main__':
    main()
