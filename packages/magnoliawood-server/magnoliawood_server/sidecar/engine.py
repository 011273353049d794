"""Client of an upstream that is a model engine."""

import collections.abc
import contextlib
import dataclasses
import datetime
import json
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood_server.http import client as http_client
from magnoliawood_server.sidecar import call_run

CONTROL_TIMEOUT = datetime.timedelta(seconds=2)
_END_OF_STREAM = '[DONE]'

_log = logging.getLogger(__name__)


class EngineUpstream:
    """Runs model calls over the streaming interface of one engine.

    :param address: IP address and port of the engine
    :param read_timeout: maximum time between two events of a response
    """

    def __init__(
        self,
        address: str,
        clock: clocks.Clock,
        read_timeout: datetime.timedelta,
    ) -> None:
        self._client = http_client.HttpClient(address)
        self._clock = clock
        self._read_timeout = read_timeout

    async def run(self, run: call_run.CallRun) -> calls.CallOutcome:
        """Run a model call, resuming after ``run.order.partial``."""
        try:
            return await self._stream(run)
        # TaskTimeout is a subclass of CancelledError, so it is caught first.
        except curio.TaskTimeout:
            return _failed_outcome(
                run,
                'no response data from the engine in time',
                verdicts.Verdict.MAY_HAVE_RUN,
            )
        except curio.CancelledError:
            await self._cancel(run)
            raise
        except http_client.ConnectFailed as error:
            return _failed_outcome(run, str(error), verdicts.Verdict.NOT_RUN)
        except (OSError, ValueError, KeyError) as error:
            return _failed_outcome(
                run, str(error), verdicts.Verdict.MAY_HAVE_RUN
            )

    async def identify(self) -> str:
        """Return the identity of the engine's process, empty if unknown."""
        request = http_client.json_request('GET', '/load')
        _, body = await self._client.fetch(request, CONTROL_TIMEOUT)
        return str(json.loads(body).get('start_id', ''))

    async def release(self, program: identity.ProgramKey) -> None:
        """Free the cache blocks of a program in the engine.

        :raises ConnectionError: if the engine does not confirm the release
        """
        request = http_client.json_request(
            'POST', '/cache/release', {'program': str(program)}
        )
        reply, _ = await self._client.fetch(request, CONTROL_TIMEOUT)
        if reply.status != 200:
            raise ConnectionError(
                f'the engine responded with status {reply.status}'
            )

    async def cached_programs(self) -> list[identity.ProgramKey]:
        """Return the programs that have blocks in the engine's cache."""
        request = http_client.json_request('GET', '/cache/holders')
        _, body = await self._client.fetch(request, CONTROL_TIMEOUT)
        names = json.loads(body).get('programs', {})
        return [identity.ProgramKey.from_text(name) for name in names if name]

    async def _cancel(self, run: call_run.CallRun) -> None:
        request = http_client.json_request(
            'POST', '/cancel', {'request_id': str(run.order.intended.call)}
        )
        try:
            await self._client.fetch(request, CONTROL_TIMEOUT)
        except (OSError, curio.TaskTimeout):
            _log.debug('cancellation not delivered')

    async def cache_tokens(self) -> int | None:
        """Return the size of the engine's prefix cache, if known."""
        request = http_client.json_request('GET', '/load')
        try:
            _, body = await self._client.fetch(request, CONTROL_TIMEOUT)
            return int(json.loads(body)['cache_tokens'])
        except (OSError, curio.TaskTimeout, ValueError, KeyError):
            return None

    async def _stream(self, run: call_run.CallRun) -> calls.CallOutcome:
        request = http_client.json_request(
            'POST', '/v1/chat/completions', _request_body(run)
        )
        read_timeout = self._read_timeout.total_seconds()
        async with contextlib.AsyncExitStack() as stack:
            async with curio.timeout_after(read_timeout):
                exchange = await stack.enter_async_context(
                    self._client.open(request)
                )
                head = await exchange.read_head()
            if head.status != 200:
                async with curio.timeout_after(read_timeout):
                    return await _rejected_outcome(run, exchange, head.status)
            return await _read_response(
                run, exchange, self._clock, read_timeout
            )


def _request_body(run: call_run.CallRun) -> dict[str, object]:
    order = run.order
    request = order.intended.request
    history = [*order.history, *request.messages]
    return {
        'model': request.model,
        'messages': [dataclasses.asdict(message) for message in history],
        'max_tokens': order.intended.reserved - order.partial_tokens,
        'stream': True,
        'priority': order.rank,
        'request_id': str(order.intended.call),
        'program': str(order.intended.call.program),
        'partial': order.partial,
    }


async def _rejected_outcome(
    run: call_run.CallRun, exchange: http_client.Exchange, status: int
) -> calls.CallOutcome:
    body = await exchange.read_body()
    return _failed_outcome(
        run,
        f'the engine responded with status {status}: '
        f'{body[:200].decode(errors="replace")}',
        verdicts.Verdict.NOT_RUN,
    )


async def _read_response(
    run: call_run.CallRun,
    exchange: http_client.Exchange,
    clock: clocks.Clock,
    read_timeout: float,
) -> calls.CallOutcome:
    base_tokens = run.order.partial_tokens
    finish_reason = ''
    async with contextlib.aclosing(
        http_client.read_events(exchange.read_parts())
    ) as events:
        while (
            data := await _next_event(events, read_timeout)
        ) != _END_OF_STREAM:
            if run.first_token_at is None:
                run.first_token_at = clock.monotonic()
            chunk = json.loads(data)
            choice = chunk['choices'][0]
            tokens = base_tokens + chunk['usage']['completion_tokens']
            text = choice['delta'].get('content', '')
            run.take_text(text)
            await run.response.append(text, tokens)
            finish_reason = choice.get('finish_reason') or finish_reason
    if not finish_reason:
        raise ConnectionResetError('the response ended before it was complete')
    return calls.CallOutcome(
        verdicts.Verdict.RAN,
        run.order.partial + run.response.text,
        max(base_tokens, run.response.tokens),
        finish_reason=finish_reason,
    )


async def _next_event(
    events: collections.abc.AsyncGenerator[str], read_timeout: float
) -> str:
    async with curio.timeout_after(read_timeout):
        return await anext(events, _END_OF_STREAM)


def _failed_outcome(
    run: call_run.CallRun, detail: str, verdict: verdicts.Verdict
) -> calls.CallOutcome:
    return calls.CallOutcome(
        verdict,
        run.order.partial + run.response.text,
        max(run.order.partial_tokens, run.response.tokens),
        finish_reason='error',
        code=str(errors.ErrorCode.UPSTREAM_FAILED),
        detail=detail,
        status=502,
    )
