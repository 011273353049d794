"""OpenAI-compatible chat API."""

import collections.abc
import contextlib
import json
import time
import typing
import uuid

from magnoliawood.core import errors
from magnoliawood.core import json_pieces
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood_server.entry import bodies
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.entry import gateway as gateways
from magnoliawood_server.entry import program_names
from magnoliawood_server.entry import response_memory
from magnoliawood_server.entry import retention
from magnoliawood_server.entry import routes
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.http import message as http_message
from magnoliawood_server.peer import messages
from magnoliawood_server.runtime import keepalive

PROGRAM_HEADER = 'x-magnoliawood-program'
CLASS_HEADER = 'x-magnoliawood-class'


class ChatApi:
    """Operations ``/v1/chat/completions`` and ``/v1/models``.

    Explanation
    ===========

    With the program header each request contains the whole conversation. Its
    first messages must equal the stored history of the program; the remaining
    ones become the next call. Without the header each request is a program
    with a single call.

    :param default_class: work class of programs whose request names none
    """

    def __init__(
        self,
        gateway: gateways.Gateway,
        sidecars: sidecar_directory.SidecarDirectory,
        configuration: configuration_cache.ConfigurationCache,
        default_class: str,
    ) -> None:
        self._gateway = gateway
        self._sidecars = sidecars
        self._configuration = configuration
        self._default_class = default_class
        self._router = routes.Router(
            [
                routes.Route('GET', '/v1/models', self._models),
                routes.Route('POST', '/v1/chat/completions', self._complete),
            ],
            routes.CALLERS,
            routes.CALLERS,
        )

    @property
    def router(self) -> routes.Router:
        """Router of the operations."""
        return self._router

    async def _models(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        names = self._sidecars.served_names('engine')
        return http_message.Response.from_json(
            {
                'object': 'list',
                'data': [
                    {
                        'id': name,
                        'object': 'model',
                        'created': 0,
                        'owned_by': 'magnoliawood',
                    }
                    for name in names
                ],
            }
        )

    async def _complete(
        self, request: routes.RoutedRequest
    ) -> http_message.Response:
        body = bodies.parse_body(bodies.ChatBody, request.http)
        name = request.http.header(PROGRAM_HEADER)
        key = program_names.program_key(
            request.account.name, name or f'chat-{uuid.uuid4().hex}'
        )
        work_class = request.http.header(CLASS_HEADER, self._default_class)
        message = await self._next_call(key, work_class, body, request.http)
        completion = _Completion(body.model, bool(body.stream))
        memory = response_memory.ResponseMemory(
            request.http.reserve, keeps_text=bool(body.stream)
        )
        parts = self._gateway.response_parts(message, memory)
        wrapped_parts = _parts_with_cleanup(
            self._gateway, message.call, parts, ends_program=not name
        )
        if body.stream:
            wrapped_parts = keepalive.with_keepalive(wrapped_parts)
        first = await _first_part(wrapped_parts)
        if body.stream:
            return http_message.Response(
                200,
                {'content-type': http_message.EVENT_STREAM_TYPE},
                parts=completion.events(first, wrapped_parts),
                keepalive_comment=keepalive.KEEPALIVE_COMMENT,
            )
        return await completion.complete_response(first, wrapped_parts)

    async def _next_call(
        self,
        key: identity.ProgramKey,
        work_class: str,
        body: bodies.ChatBody,
        http: http_message.Request,
    ) -> messages.RunCall:
        status = await self._open(key, work_class)
        # A request that fits the history has taken memory for all of it.
        await http.reserve(max(0, status.held_bytes - len(http.body)))
        history = await self._gateway.request(messages.GetHistory(key))
        request_messages = [item.to_message() for item in body.messages]
        length = _matching_length(history.messages, request_messages)
        repeated = _is_repeat(history.messages, request_messages)
        sequence = status.next_sequence - 1 if repeated else 0
        request = calls.ModelRequest(
            body.model, request_messages[length:], body.token_limit
        )
        return messages.RunCall(
            identity.CallId(key, sequence or status.next_sequence),
            conversation.chain_digest('', request_messages),
            request,
        )

    async def _open(
        self, key: identity.ProgramKey, name: str
    ) -> messages.ProgramStatus:
        try:
            return await self._gateway.request(messages.GetProgram(key))
        except errors.MagnoliawoodError as error:
            if error.code != errors.ErrorCode.UNKNOWN_PROGRAM:
                raise
        limits = self._configuration.current.work_class(name)
        budget = budgets.Budget(
            limits.max_tokens, limits.max_calls, limits.max_seconds
        )
        return await self._gateway.request(
            messages.OpenProgram(key, name, budget)
        )


class _Completion:
    """Formats the response to one request as OpenAI clients expect it."""

    def __init__(self, model: str, is_streamed: bool) -> None:
        self._model = model
        self._id = f'chatcmpl-{uuid.uuid4().hex}'
        self._created = int(time.time())
        self._kind = (
            'chat.completion.chunk' if is_streamed else 'chat.completion'
        )

    async def complete_response(
        self,
        first: gateways.ResponsePart,
        remaining_parts: collections.abc.AsyncGenerator[gateways.ResponsePart],
    ) -> http_message.Response:
        last = first
        async with contextlib.aclosing(remaining_parts):
            async for part in remaining_parts:
                last = part
        _raise_if_failed(last.outcome)
        outcome = last.outcome
        choice = {
            'index': 0,
            'message': {'role': 'assistant', 'content': outcome.content},
            'finish_reason': outcome.finish_reason,
        }
        usage = {
            'prompt_tokens': 0,
            'completion_tokens': outcome.tokens,
            'total_tokens': outcome.tokens,
        }
        document = {**self._document(choice), 'usage': usage}
        return http_message.Response.from_pieces(json_pieces.of(document))

    async def events(
        self,
        first: gateways.ResponsePart | None,
        remaining_parts: collections.abc.AsyncGenerator[
            gateways.ResponsePart | None
        ],
    ) -> collections.abc.AsyncGenerator[bytes]:
        async with contextlib.aclosing(remaining_parts):
            for data in self._event(first):
                yield data
            try:
                async for part in remaining_parts:
                    for data in self._event(part):
                        yield data
            except errors.MagnoliawoodError as error:
                for data in _data({'error': _openai_error(error)}):
                    yield data
        yield b'data: [DONE]\n\n'

    def _event(
        self, part: gateways.ResponsePart | None
    ) -> collections.abc.Iterator[bytes]:
        if part is None:
            return iter([keepalive.KEEPALIVE_COMMENT])
        if isinstance(part, messages.Delta):
            delta = {'role': 'assistant', 'content': part.text}
            return _data(
                self._document(
                    {'index': 0, 'delta': delta, 'finish_reason': None}
                )
            )
        _raise_if_failed(part.outcome)
        return _data(
            self._document(
                {
                    'index': 0,
                    'delta': {},
                    'finish_reason': part.outcome.finish_reason,
                }
            )
        )

    def _document(self, choice: typing.Any) -> dict[str, typing.Any]:
        return {
            'id': self._id,
            'object': self._kind,
            'created': self._created,
            'model': self._model,
            'choices': [choice],
        }


async def _first_part(
    parts: collections.abc.AsyncGenerator[gateways.ResponsePart],
) -> gateways.ResponsePart:
    """Return the first part; a failure in it is raised.

    It is awaited before the response starts, so that an error can still
    determine the HTTP status.
    """
    try:
        first = await anext(parts)
        if isinstance(first, messages.Finished):
            _raise_if_failed(first.outcome)
    except errors.MagnoliawoodError:
        await parts.aclose()
        raise
    return first


async def _parts_with_cleanup(
    gateway: gateways.Gateway,
    call: identity.CallId,
    parts: collections.abc.AsyncGenerator[gateways.ResponsePart],
    ends_program: bool,
) -> collections.abc.AsyncGenerator[gateways.ResponsePart]:
    """Yield the parts and clean up after the last one.

    The call is cancelled if the caller disconnects before the end.
    """
    is_finished = False
    try:
        async with contextlib.aclosing(parts):
            async for part in parts:
                is_finished = isinstance(part, messages.Finished)
                yield part
    finally:
        if not is_finished:
            await gateway.request(messages.CancelCall(call))
        if ends_program:
            await gateway.request(
                messages.EndProgram(call.program, retention.SINGLE_REQUEST)
            )


def openai_response(
    error: errors.MagnoliawoodError,
) -> http_message.Response:
    """Return an error response in the format that OpenAI clients parse."""
    response = http_message.Response.from_error(error)
    problem = json.loads(response.body)
    body = json.dumps({**problem, 'error': _openai_error(error)})
    response.body = body.encode()
    return response


def _openai_error(error: errors.MagnoliawoodError) -> dict[str, str]:
    return {
        'message': str(error),
        'type': str(error.code),
        'code': str(error.code),
        'verdict': str(error.verdict),
    }


def _raise_if_failed(outcome: calls.CallOutcome) -> None:
    if not outcome.is_success:
        raise outcome.to_error()


def _data(value: typing.Any) -> collections.abc.Iterator[bytes]:
    return http_message.encode_event('', value)


def _matching_length(
    history: list[conversation.Message],
    request_messages: list[conversation.Message],
) -> int:
    """Return how many leading messages of a request are in the history.

    :raises MagnoliawoodError: with ``call_mismatch``
    """
    if request_messages[: len(history)] == history and len(
        request_messages
    ) > len(history):
        return len(history)
    if _is_repeat(history, request_messages):
        return _turn_start(history)
    raise errors.MagnoliawoodError(
        errors.ErrorCode.CALL_MISMATCH,
        "the first messages differ from the program's history",
    )


def _is_repeat(
    history: list[conversation.Message],
    request_messages: list[conversation.Message],
) -> bool:
    return bool(history) and request_messages == history[:-1]


def _turn_start(history: list[conversation.Message]) -> int:
    """Return the length of the history before its last turn."""
    reply_indexes = [
        index
        for index, message in enumerate(history[:-1])
        if message.role in ('assistant', 'tool')
    ]
    return reply_indexes[-1] + 1 if reply_indexes else 0
