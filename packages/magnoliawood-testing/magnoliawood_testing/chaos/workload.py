"""Programs that run during faults and record the responses they get."""

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
_RETRY_DELAY_SECONDS = 0.1
_RETRY_STATUSES = frozenset({429, 503})


@dataclasses.dataclass(slots=True)
class ProgramTrace:
    """Calls of one program and the responses to them.

    :param bookings: verdict of each booking by sequence number
    :param contents: content of each successful call by sequence number
    :param latencies_seconds: time from the first attempt of each request to
        its final response
    :param violations: a line for each response that violates a guarantee
    """

    caller: str
    name: str
    history: list[conversation.Message] = dataclasses.field(
        default_factory=list
    )
    bookings: dict[int, str] = dataclasses.field(default_factory=dict)
    contents: dict[int, str] = dataclasses.field(default_factory=dict)
    latencies_seconds: list[float] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    verdicts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    is_finished: bool = False


class ProgramRunner:
    """Runs one program and retries calls with the same sequence number.

    A call is retried if it was rejected or got no response.

    :param seed: determines the calls and the entries they are sent to
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
        """Open the program and run the given number of calls."""
        await self._open()
        for sequence in range(1, calls + 1):
            if self._trace.violations:
                return
            if self._random.random() < 0.5:
                await self._run_turn(sequence)
            else:
                await self._run_booking(sequence)
            await curio.sleep(self._random.uniform(0.0, 0.3))
        self._trace.is_finished = True

    async def _open(self) -> None:
        budget = {
            'tokens': TOKEN_BUDGET,
            'calls': CALL_BUDGET,
            'seconds': 3_600,
        }
        await self._send('', {'class': self._work_class, 'budget': budget})

    async def _run_turn(self, sequence: int) -> None:
        text = f'{self._trace.caller} {self._trace.name} {sequence}'
        prompt = conversation.Message('user', text)
        body = {
            'kind': 'model',
            'model': 'model-a',
            'messages': [dataclasses.asdict(prompt)],
            'max_tokens': MAX_TOKENS,
        }
        status, response = await self._send(f'/calls/{sequence}', body)
        if status >= 400:
            self._record_failure(sequence, status, response)
            return
        self._trace.verdicts['ran'] += 1
        history = [*self._trace.history, prompt]
        expected = reference.answer_text(history, MAX_TOKENS)
        if response['content'] != expected:
            self._trace.violations.append(f'call {sequence}: wrong content')
        self._trace.history = [
            *history,
            conversation.Message('assistant', response['content']),
        ]
        self._trace.contents[sequence] = response['content']

    async def _run_booking(self, sequence: int) -> None:
        body = {
            'kind': 'service',
            'service': self._service,
            'operation': 'book',
            'idempotent': False,
        }
        status, response = await self._send(f'/calls/{sequence}', body)
        if status >= 400:
            self._record_failure(sequence, status, response)
            self._trace.bookings[sequence] = response.get('verdict', '')
            return
        self._trace.verdicts['ran'] += 1
        self._trace.bookings[sequence] = 'ran'
        content = f'{self._service}/book: {response["content"]}'
        self._trace.history.append(conversation.Message('tool', content))
        self._trace.contents[sequence] = response['content']

    def _record_failure(
        self, sequence: int, status: int, response: dict[str, typing.Any]
    ) -> None:
        """Record a failed call; any but ``may_have_run`` is a violation.

        A call with this verdict keeps its sequence number.
        """
        verdict = response.get('verdict', '')
        self._trace.verdicts[verdict] += 1
        if status != 502 or verdict != 'may_have_run':
            self._trace.violations.append(
                f'call {sequence}: {status} {response}'
            )

    async def _send(
        self, path: str, body: typing.Any
    ) -> tuple[int, dict[str, typing.Any]]:
        started = time.monotonic()
        while True:
            status, response = await self._attempt(path, body)
            if status not in _RETRY_STATUSES:
                latency = time.monotonic() - started
                self._trace.latencies_seconds.append(latency)
                return status, response
            await curio.sleep(_RETRY_DELAY_SECONDS)

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
