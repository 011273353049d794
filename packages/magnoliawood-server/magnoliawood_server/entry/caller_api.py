"""HTTP API with which callers run programs and calls."""

import collections.abc
import contextlib
import dataclasses
import json
import typing

from magnoliawood.core import errors
from magnoliawood.core import json_pieces
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood_server.entry import bodies
from magnoliawood_server.entry import gateway as gateways
from magnoliawood_server.entry import program_names
from magnoliawood_server.entry import response_memory
from magnoliawood_server.entry import routes
from magnoliawood_server.http import message as http_message
from magnoliawood_server.peer import messages
from magnoliawood_server.runtime import keepalive

_PROGRAM_PATH = '/v1/programs/{program}'


class CallerApi:
    """Operations on programs and calls under ``/v1/programs``."""

    def __init__(self, gateway: gateways.Gateway) -> None:
        self._gateway = gateway
        call_path = f'{_PROGRAM_PATH}/calls/{{sequence}}'
        self._router = routes.Router(
            [
                routes.Route('PUT', _PROGRAM_PATH, self._open),
                routes.Route('GET', _PROGRAM_PATH, self._status),
                routes.Route('DELETE', _PROGRAM_PATH, self._end),
                routes.Route('GET', f'{_PROGRAM_PATH}/history', self._history),
                routes.Route('PUT', call_path, self._run_call),
                routes.Route('GET', call_path, self._read_call),
                routes.Route('DELETE', call_path, self._cancel),
            ],
            routes.CALLERS,
            routes.CALLERS,
        )

    @property
    def router(self) -> routes.Router:
        """Router of the operations."""
        return self._router

    async def _open(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        body = bodies.parse_body(bodies.OpenBody, request.http)
        message = messages.OpenProgram(
            _key(request), body.work_class, body.budget.to_budget()
        )
        status = await self._gateway.request(message)
        return http_message.Response.from_json(
            program_document(status), status=201
        )

    async def _status(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        status = await self._gateway.request(
            messages.GetProgram(_key(request))
        )
        return http_message.Response.from_json(program_document(status))

    async def _end(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        status = await self._gateway.request(
            messages.EndProgram(_key(request), 'ended by the caller')
        )
        return http_message.Response.from_json(program_document(status))

    async def _history(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        key = _key(request)
        status = await self._gateway.request(messages.GetProgram(key))
        await request.http.reserve(status.held_bytes)
        history = await self._gateway.request(messages.GetHistory(key))
        return http_message.Response.from_pieces(
            json_pieces.of(
                {
                    'program': key.name,
                    'messages': [
                        {'role': message.role, 'content': message.content}
                        for message in history.messages
                    ],
                    'digest': history.digest,
                }
            )
        )

    async def _run_call(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        call = _call_id(request)
        body = bodies.parse_body(bodies.CallBody, request.http).root
        key = request.http.header('idempotency-key', str(call.sequence))
        message = messages.RunCall(call, key, body.to_request())
        memory = response_memory.ResponseMemory(
            request.http.reserve, keeps_text=body.stream
        )
        return await self._respond(message, body.stream, memory)

    async def _read_call(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        offset = _query_number(request.http, 'offset')
        is_streamed = request.http.query.get('stream') in ('1', 'true')
        call = _call_id(request)
        memory = response_memory.ResponseMemory(
            request.http.reserve, is_streamed, verdicts.Verdict.NOT_RUN
        )
        status = await self._gateway.request(
            messages.GetProgram(call.program, call.sequence)
        )
        await memory.take_ahead(status.held_bytes)
        message = messages.ReadCall(call, offset)
        return await self._respond(message, is_streamed, memory)

    async def _cancel(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        await self._gateway.request(messages.CancelCall(_call_id(request)))
        return http_message.Response(204)

    async def _respond(
        self,
        message: gateways.CallMessage,
        is_streamed: bool,
        memory: response_memory.ResponseMemory,
    ) -> http_message.Response:
        parts = self._gateway.response_parts(message, memory)
        if not is_streamed:
            return await _complete_response(
                message.call, message.offset, parts
            )
        parts = keepalive.with_keepalive(parts)
        # The HTTP status is sent before the stream, so the first part is
        # awaited: a failure in it becomes an error status.
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(parts.aclose)
            first = await anext(parts)
            _raise_failure(first)
            stack.pop_all()
        return http_message.Response(
            200,
            {
                'content-type': http_message.EVENT_STREAM_TYPE,
                'cache-control': 'no-store',
            },
            parts=_event_stream(message.call, first, parts),
            keepalive_comment=keepalive.KEEPALIVE_COMMENT,
        )


def program_document(status: messages.ProgramStatus) -> dict[str, typing.Any]:
    """Return the JSON form of a program's status."""
    return {
        'program': status.program.name,
        'caller': status.program.caller,
        'class': status.work_class,
        'state': status.state,
        'end_reason': status.end_reason,
        'opened_at': status.opened_at.isoformat(),
        'budget': dataclasses.asdict(status.budget),
        'tokens_spent': status.tokens_spent,
        'tokens_left': status.tokens_left,
        'calls_made': status.calls_made,
        'calls_left': status.calls_left,
        'next_sequence': status.next_sequence,
        'pending_sequence': status.pending_sequence,
    }


def call_document(
    call: identity.CallId, outcome: calls.CallOutcome, content: str
) -> dict[str, typing.Any]:
    """Return the JSON form of a finished call."""
    return {
        'program': call.program.name,
        'sequence': call.sequence,
        'verdict': str(outcome.verdict),
        'content': content,
        'tokens': outcome.tokens,
        'status': outcome.status,
        'finish_reason': outcome.finish_reason,
    }


async def _complete_response(
    call: identity.CallId,
    offset: int,
    parts: collections.abc.AsyncGenerator[gateways.ResponsePart],
) -> http_message.Response:
    async with contextlib.aclosing(parts):
        async for part in parts:
            last = part
    _raise_failure(last)
    assert isinstance(last, messages.Finished)  # Ends each response.
    content = last.outcome.content[offset:]
    return http_message.Response.from_pieces(
        json_pieces.of(call_document(call, last.outcome, content))
    )


async def _event_stream(
    call: identity.CallId,
    first: gateways.ResponsePart | None,
    remaining_parts: collections.abc.AsyncGenerator[
        gateways.ResponsePart | None
    ],
) -> collections.abc.AsyncIterator[bytes]:
    async with contextlib.aclosing(remaining_parts):
        for data in _event_of(call, first):
            yield data
        try:
            async for part in remaining_parts:
                for data in _event_of(call, part):
                    yield data
        except errors.MagnoliawoodError as error:
            for data in http_message.encode_event('error', _problem(error)):
                yield data


def _event_of(
    call: identity.CallId, part: gateways.ResponsePart | None
) -> collections.abc.Iterator[bytes]:
    if part is None:
        return iter([keepalive.KEEPALIVE_COMMENT])
    if isinstance(part, messages.Delta):
        return http_message.encode_event('delta', {'text': part.text})
    outcome = part.outcome
    if not outcome.is_success:
        return http_message.encode_event('error', _problem(outcome.to_error()))
    return http_message.encode_event(
        'finished', call_document(call, outcome, outcome.content)
    )


def _problem(error: errors.MagnoliawoodError) -> typing.Any:
    return json.loads(http_message.Response.from_error(error).body)


def _raise_failure(part: gateways.ResponsePart | None) -> None:
    if isinstance(part, messages.Finished) and not part.outcome.is_success:
        raise part.outcome.to_error()


def _key(request: routes.RoutedRequest) -> identity.ProgramKey:
    return program_names.program_key(
        request.account.name, request.parameters[0]
    )


def _call_id(request: routes.RoutedRequest) -> identity.CallId:
    number = request.parameters[1]
    if not (number.isascii() and number.isdigit() and int(number) > 0):
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST,
            'a sequence number must be a whole number of at least 1',
        )
    return identity.CallId(_key(request), int(number))


def _query_number(request: http_message.Request, name: str) -> int:
    text = request.query.get(name, '0')
    if not (text.isascii() and text.isdigit()):
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST,
            f'{name} must be a whole number of at least 0',
        )
    return int(text)
