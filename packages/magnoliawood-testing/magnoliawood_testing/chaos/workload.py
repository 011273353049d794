"""Programs that carry on through faults and note what they were told."""

import collections
import dataclasses
import random
import time
import typing

import curio

from magnoliawood.programs import message as conversation
from magnoliawood_testing.cluster import caller as callers
from magnoliawood_testing.standins import reference

MAX_TOKENS = 40
TOKEN_BUDGET = 6_000
CALL_BUDGET = 200
_RETRY_SECONDS = 0.1
_RETRY_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(slots=True)
class ProgramTrace:
    """What one program did and was told.

    :param bookings: verdict or ``ran`` of each booking by its sequence
    :param latencies_seconds: time from the first send of each call to its
        final answer
    """

    caller: str
    name: str
    history: list[conversation.Message] = dataclasses.field(
        default_factory=list
    )
    bookings: dict[int, str] = dataclasses.field(default_factory=dict)
    answers: dict[int, str] = dataclasses.field(default_factory=dict)
    latencies_seconds: list[float] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    verdicts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    is_finished: bool = False


class ProgramRunner:
    """Runs one program to its end, repeating calls under their numbers.

    :param seed: decides the calls and the entries they are sent to
    """

    def __init__(
        self,
        trace: ProgramTrace,
        addresses: list[str],
        token: str,
        service: str,
        work_class: str,
        seed: int,
    ) -> None:
        self._trace = trace
        self._addresses = addresses
        self._caller = callers.Caller(addresses, token)
        self._service = service
        self._work_class = work_class
        self._random = random.Random(seed)

    async def run(self, calls: int) -> None:
        """Open the program and run its calls."""
        await self._open()
        for sequence in range(1, calls + 1):
            if self._trace.violations:
                return
            if self._random.random() < 0.5:
                await self._turn(sequence)
            else:
                await self._book(sequence)
            await curio.sleep(self._random.uniform(0.0, 0.3))
        self._trace.is_finished = True

    async def _open(self) -> None:
        budget = {
            'tokens': TOKEN_BUDGET,
            'calls': CALL_BUDGET,
            'seconds': 3_600,
        }
        await self._send('', {'class': self._work_class, 'budget': budget})

    async def _turn(self, sequence: int) -> None:
        text = f'{self._trace.caller} {self._trace.name} {sequence}'
        question = conversation.Message('user', text)
        body = {
            'kind': 'model',
            'model': 'model-a',
            'messages': [dataclasses.asdict(question)],
            'max_tokens': MAX_TOKENS,
        }
        status, answer = await self._send(f'/calls/{sequence}', body)
        if status >= 400:
            self._note_failure(sequence, status, answer)
            return
        self._trace.verdicts['ran'] += 1
        history = [*self._trace.history, question]
        expected = reference.answer_text(history, MAX_TOKENS)
        if answer['content'] != expected:
            self._trace.violations.append(f'call {sequence}: wrong answer')
        self._trace.history = [
            *history,
            conversation.Message('assistant', answer['content']),
        ]
        self._trace.answers[sequence] = answer['content']

    async def _book(self, sequence: int) -> None:
        body = {
            'kind': 'service',
            'service': self._service,
            'operation': 'book',
            'idempotent': False,
        }
        status, answer = await self._send(f'/calls/{sequence}', body)
        if status >= 400:
            self._note_failure(sequence, status, answer)
            self._trace.bookings[sequence] = answer.get('verdict', '')
            return
        self._trace.verdicts['ran'] += 1
        self._trace.bookings[sequence] = 'ran'
        content = f'{self._service}/book: {answer["content"]}'
        self._trace.history.append(conversation.Message('tool', content))
        self._trace.answers[sequence] = answer['content']

    def _note_failure(
        self, sequence: int, status: int, answer: dict[str, typing.Any]
    ) -> None:
        """Accept only an honest doubt; the call keeps its number then."""
        verdict = answer.get('verdict', '')
        self._trace.verdicts[verdict] += 1
        if status != 502 or verdict != 'may_have_run':
            self._trace.violations.append(
                f'call {sequence}: {status} {answer}'
            )

    async def _send(
        self, path: str, body: typing.Any
    ) -> tuple[int, dict[str, typing.Any]]:
        started = time.monotonic()
        while True:
            status, answer = await self._attempt(path, body)
            if status not in _RETRY_STATUSES:
                wait = time.monotonic() - started
                self._trace.latencies_seconds.append(wait)
                return status, answer
            await curio.sleep(_RETRY_SECONDS)

    async def _attempt(
        self, path: str, body: typing.Any
    ) -> tuple[int, dict[str, typing.Any]]:
        address = self._random.choice(self._addresses)
        target = f'/v1/programs/{self._trace.name}{path}'
        try:
            async with curio.timeout_after(callers.CALL_TIMEOUT.seconds):
                return await self._caller.attempt(address, 'PUT', target, body)
        except (OSError, curio.TaskTimeout) as error:
            return 503, {'detail': str(error)}
