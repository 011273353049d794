"""Stand-in of a model engine with continuous batching."""

import argparse
import collections
import collections.abc
import json
import os
import time
import uuid

import curio

from magnoliawood.programs import message as conversation
from magnoliawood_server.http import message as http_message
from magnoliawood_testing.standins import control
from magnoliawood_testing.standins import prefix_cache
from magnoliawood_testing.standins import reference

CRASH_EXIT_CODE = 70


class EngineFaults(control.Faults):
    """Timing and faults of the engine.

    :param step_seconds: duration of one decoding step of the batch
    :param prefill_blocks_per_step: uncached blocks that one step can prefill
    :param batch_size: maximum number of sequences decoded at the same time
    :param crash_marker: text in a prompt that makes the process exit
    :param checks_fencing: whether orders with an outdated fencing number are
        rejected
    :param load_lag_seconds: age of the reported load
    :param lost_event_period: number of cache events of which one is reported
        as lost; none if 0
    :param failed_releases: number of cache releases to reject
    """

    step_seconds: float = 0.01
    prefill_blocks_per_step: int = 32
    batch_size: int = 16
    crash_marker: str = 'crash-the-engine'
    checks_fencing: bool = True
    load_lag_seconds: float = 1.0
    lost_event_period: int = 0
    failed_releases: int = 0


class Sequence:
    """Generation for one request, with its decoding state."""

    def __init__(self, body: dict[str, object]) -> None:
        self.request_id = str(body['request_id'])
        self.program = str(body.get('program', ''))
        self.priority = float(body.get('priority', 0.0))
        self.messages = [
            conversation.Message(item['role'], item['content'])
            for item in body['messages']
        ]
        partial = str(body.get('partial', ''))
        self.digest = conversation.chain_digest('', self.messages)
        self.position = len(partial.split())
        limit = self.position + int(body['max_tokens'])
        self.length = reference.answer_length(self.messages, limit)
        self.unlimited_length = reference.answer_length(self.messages, 1 << 30)
        self.start_position = self.position
        self.prefill_left = 0
        self.is_cancelled = False
        self.tokens: curio.Queue = curio.Queue()

    @property
    def is_done(self) -> bool:
        """Whether the sequence was cancelled or is fully generated."""
        return self.is_cancelled or self.position >= self.length

    @property
    def finish_reason(self) -> str:
        """Reason for the end: ``stop``, or ``length`` at the token limit."""
        return 'stop' if self.length >= self.unlimited_length else 'length'


class Engine:
    """Model engine that decodes a batch of sequences step by step.

    :param models: names of the models that it serves
    :param capacity: maximum number of blocks in the prefix cache
    """

    def __init__(
        self, models: list[str], capacity: int, faults: EngineFaults
    ) -> None:
        self._models = models
        self.faults = faults
        self._cache = prefix_cache.PrefixCache(capacity)
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._arrived = curio.Event()
        self._start_id = uuid.uuid4().hex[:12]
        self._highest_fence = 0
        self._orders: list[object] = []
        self._events: list[dict[str, object]] = []
        self._load_reports: collections.deque[tuple[float, int]] = (
            collections.deque([(0.0, 0)], maxlen=1000)
        )
        self._requests: collections.Counter[str] = collections.Counter()

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve a request to the engine or to a control page."""
        match (request.method, request.path):
            case ('POST', '/v1/chat/completions'):
                return await self._complete(control.body_of(request))
            case ('POST', '/cancel'):
                return self._cancel(control.body_of(request))
            case ('GET', '/load'):
                return self._load()
            case ('GET', '/cache/events'):
                after = int(request.query.get('after', '0'))
                return http_message.Response.from_json(
                    {'events': self._events[after:]}
                )
            case ('GET', '/cache/holders'):
                return http_message.Response.from_json(
                    {'programs': dict(self._cache.program_blocks)}
                )
            case ('POST', '/cache/release'):
                return self._release(control.body_of(request))
            case ('POST', '/kv/export'):
                return self._export(control.body_of(request))
            case ('POST', '/kv/import'):
                return self._import(control.body_of(request))
            case ('POST', '/orders'):
                return self._accept_order(control.body_of(request))
            case ('GET', '/control/state'):
                return self._state()
            case ('POST', '/control/faults'):
                self.faults = control.updated_faults(self.faults, request)
                return http_message.Response.from_json({})
        raise control.unknown_path_error(request)

    async def run(self) -> None:
        """Admit and decode sequences until cancelled."""
        while True:
            self._admit()
            if not self._running:
                self._arrived.clear()
                await self._arrived.wait()
                continue
            await curio.sleep(self.faults.step_seconds)
            await self._step()
            self._record_load()

    async def _complete(
        self, body: dict[str, object]
    ) -> http_message.Response:
        if body['model'] not in self._models:
            return http_message.Response.from_json(
                {'error': 'unknown model'}, status=404
            )
        sequence = Sequence(body)
        marker = self.faults.crash_marker
        if any(marker in item.content for item in sequence.messages):
            os._exit(CRASH_EXIT_CODE)
        self._requests[sequence.request_id] += 1
        self._waiting.append(sequence)
        await self._arrived.set()
        return http_message.Response(
            200,
            {'content-type': http_message.EVENT_STREAM_TYPE},
            parts=self._stream(sequence),
        )

    async def _stream(
        self, sequence: Sequence
    ) -> collections.abc.AsyncIterator[bytes]:
        try:
            while True:
                text, position, is_last = await sequence.tokens.get()
                yield _chunk(sequence, text, position, is_last)
                if is_last:
                    break
            yield b'data: [DONE]\n\n'
        finally:
            sequence.is_cancelled = True

    def _admit(self) -> None:
        self._waiting = [s for s in self._waiting if not s.is_cancelled]
        self._waiting.sort(key=_priority)
        while self._waiting and len(self._running) < self.faults.batch_size:
            sequence = self._waiting.pop(0)
            hashes = prefix_cache.block_hashes(sequence.messages)
            cached = self._cache.match(hashes)
            sequence.prefill_left = len(hashes) - cached
            self._cache.fill(hashes, sequence.program)
            self._record_event('stored', sequence.program, len(hashes))
            self._running.append(sequence)

    async def _step(self) -> None:
        prefill_budget = self.faults.prefill_blocks_per_step
        for sequence in sorted(self._running, key=_priority):
            prefilled = min(prefill_budget, sequence.prefill_left)
            sequence.prefill_left -= prefilled
            prefill_budget -= prefilled
            if sequence.prefill_left == 0:
                await self._decode(sequence)
        self._running = [s for s in self._running if not s.is_done]

    async def _decode(self, sequence: Sequence) -> None:
        if sequence.is_cancelled:
            return
        if sequence.position >= sequence.length:
            await sequence.tokens.put(('', sequence.position, True))
            return
        text = reference.answer_token(sequence.digest, sequence.position)
        sequence.position += 1
        await sequence.tokens.put((text, sequence.position, sequence.is_done))

    def _cancel(self, body: dict[str, object]) -> http_message.Response:
        matching_sequences = [
            sequence
            for sequence in [*self._waiting, *self._running]
            if sequence.request_id == body['request_id']
        ]
        for sequence in matching_sequences:
            sequence.is_cancelled = True
        return http_message.Response.from_json(
            {'cancelled': len(matching_sequences)}
        )

    def _release(self, body: dict[str, object]) -> http_message.Response:
        if self.faults.failed_releases:
            self.faults.failed_releases -= 1
            return http_message.Response.from_json({}, status=503)
        freed = self._cache.release(str(body['program']))
        self._record_event('released', str(body['program']), freed)
        return http_message.Response.from_json({'blocks': freed})

    def _export(self, body: dict[str, object]) -> http_message.Response:
        messages = [conversation.Message(**m) for m in body['messages']]
        hashes = prefix_cache.block_hashes(messages)
        cached = hashes[: self._cache.match(hashes)]
        return http_message.Response.from_json({'blocks': cached})

    def _import(self, body: dict[str, object]) -> http_message.Response:
        self._cache.fill(list(body['blocks']), str(body['program']))
        return http_message.Response.from_json({})

    def _accept_order(self, body: dict[str, object]) -> http_message.Response:
        fence = int(body['fence'])
        if self.faults.checks_fencing and fence < self._highest_fence:
            return http_message.Response.from_json(
                {'fence': self._highest_fence}, status=409
            )
        self._highest_fence = max(fence, self._highest_fence)
        self._orders.append(body)
        return http_message.Response.from_json({'fence': self._highest_fence})

    def _load(self) -> http_message.Response:
        limit = time.monotonic() - self.faults.load_lag_seconds
        reported = [load for at, load in self._load_reports if at <= limit]
        return http_message.Response.from_json(
            {
                'sequences': reported[-1] if reported else 0,
                'start_id': self._start_id,
                'cache_tokens': self._cache.capacity
                * prefix_cache.BLOCK_WORDS,
            }
        )

    def _state(self) -> http_message.Response:
        return http_message.Response.from_json(
            {
                'held': dict(self._cache.program_blocks),
                'filled': self._cache.filled,
                'wasted': self._cache.wasted,
                'unused': self._cache.unused,
                'requests': dict(self._requests),
                'sequences': len(self._waiting) + len(self._running),
                'orders': self._orders,
            }
        )

    def _record_load(self) -> None:
        load = len(self._waiting) + len(self._running)
        self._load_reports.append((time.monotonic(), load))

    def _record_event(self, kind: str, program: str, blocks: int) -> None:
        period = self.faults.lost_event_period
        number = len(self._events) + 1
        if period and number % period == 0:
            kind = 'lost'
        self._events.append(
            {
                'number': number,
                'kind': kind,
                'program': program,
                'blocks': blocks,
            }
        )


def _priority(sequence: Sequence) -> float:
    return sequence.priority


def _chunk(
    sequence: Sequence, text: str, position: int, is_last: bool
) -> bytes:
    document = {
        'id': sequence.request_id,
        'object': 'chat.completion.chunk',
        'choices': [
            {
                'index': 0,
                'delta': {'content': text},
                'finish_reason': sequence.finish_reason if is_last else None,
            }
        ],
        'usage': {'completion_tokens': position - sequence.start_position},
    }
    return f'data: {json.dumps(document)}\n\n'.encode()


async def _run(address: str, engine: Engine) -> None:
    async with curio.TaskGroup() as group:
        await group.spawn(engine.run)
        await group.spawn(control.listener.serve_http, address, engine.handle)


def main() -> None:
    """Run the engine stand-in until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--models', default='model-a')
    parser.add_argument('--cache-blocks', type=int, default=4096)
    parser.add_argument('--step-seconds', type=float, default=0.01)
    parser.add_argument('--batch-size', type=int, default=16)
    parser.add_argument('--prefill-blocks', type=int, default=32)
    options = parser.parse_args()
    faults = EngineFaults(
        step_seconds=options.step_seconds,
        batch_size=options.batch_size,
        prefill_blocks_per_step=options.prefill_blocks,
    )
    engine = Engine(options.models.split(','), options.cache_blocks, faults)
    curio.run(_run, options.listen, engine)


if __name__ == '__main__':
    main()
