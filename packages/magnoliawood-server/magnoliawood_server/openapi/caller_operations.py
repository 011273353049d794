"""Operations of the caller API: health, programs, calls and chat."""

from magnoliawood_server.entry import bodies
from magnoliawood_server.entry import chat_api
from magnoliawood_server.http import message as http_message
from magnoliawood_server.openapi import models
from magnoliawood_server.openapi import operation as operations

_PROGRAM = '/v1/programs/{program}'
_CALL = '/v1/programs/{program}/calls/{sequence}'
_DENIED = {
    401: operations.problem('The bearer token is missing or unknown.'),
    403: operations.problem('The account has the role ``viewer``.'),
}
_UNKNOWN = operations.problem(
    'The program does not exist or belongs to another caller.'
)
_PROGRAM_REPLY = operations.Reply(
    'State of the program.', models.ProgramAnswer
)
_CALL_REPLY = operations.Reply(
    'The complete response; with ``stream``, server-sent events: ``delta`` '
    'events, then ``finished`` or ``error``.',
    models.CallAnswer,
)

_PAGES = [
    operations.Operation(
        'GET',
        '/healthz',
        'Check whether the process responds.',
        {200: operations.Reply('The process responds.', None, 'text/plain')},
        is_public=True,
    ),
    operations.Operation(
        'GET',
        '/readyz',
        'Check whether the entry is ready to serve callers.',
        {
            200: operations.Reply(
                'The entry is ready; otherwise the status is 503.',
                None,
                'text/plain',
            )
        },
        is_public=True,
    ),
    operations.Operation(
        'GET',
        '/metrics',
        'Read the counters, gauges and latency summaries.',
        {
            200: operations.Reply(
                'Metrics in the text exposition format.', None, 'text/plain'
            )
        },
        is_public=True,
    ),
]

_PROGRAMS = [
    operations.Operation(
        'PUT',
        _PROGRAM,
        'Open a program; a repeated request returns the existing program. A '
        'name of the form PARENT:CHILD opens a sub-agent, which spends the '
        'budget of its parent.',
        {
            201: _PROGRAM_REPLY,
            400: operations.problem('The name of the program is malformed.'),
            **_DENIED,
            404: operations.problem(
                'The class or the parent program does not exist.'
            ),
            409: operations.problem(
                'The program is open with another class or budget.'
            ),
            422: operations.problem(
                'The body is malformed, or the budget exceeds the limits of '
                'the class.'
            ),
        },
        bodies.OpenBody,
        {
            'chat': {
                'class': 'chat',
                'budget': {'tokens': 2000, 'calls': 20, 'seconds': 600},
            }
        },
    ),
    operations.Operation(
        'GET',
        _PROGRAM,
        'Read the state of a program.',
        {200: _PROGRAM_REPLY, **_DENIED, 404: _UNKNOWN},
    ),
    operations.Operation(
        'DELETE',
        _PROGRAM,
        'End a program and its sub-agents, and release the engine memory '
        'that they occupy.',
        {200: _PROGRAM_REPLY, **_DENIED, 404: _UNKNOWN},
    ),
    operations.Operation(
        'GET',
        f'{_PROGRAM}/history',
        'Read the message history of a program.',
        {
            200: operations.Reply(
                'All messages of the program in order.', models.HistoryAnswer
            ),
            **_DENIED,
            404: _UNKNOWN,
        },
    ),
]

_CALLS = [
    operations.Operation(
        'PUT',
        _CALL,
        'Run the next call of a program; a repeated request returns the '
        'response of the original call. Sequence numbers count from 1 '
        'without gaps.',
        {
            200: _CALL_REPLY,
            400: operations.problem('The sequence number is malformed.'),
            **_DENIED,
            402: operations.problem('The budget does not cover the call.'),
            404: operations.problem(
                'The program, model or service does not exist.'
            ),
            409: operations.problem(
                'The sequence number leaves a gap, or a repeated request '
                'differs from the original.'
            ),
            410: operations.problem('The program has ended.'),
            422: operations.problem('The body is malformed.'),
        },
        bodies.CallBody,
        {
            'model': {
                'kind': 'model',
                'model': 'model-a',
                'messages': [
                    {'role': 'user', 'content': 'When does the truck leave?'}
                ],
                'max_tokens': 64,
            },
            'service': {
                'kind': 'service',
                'service': 'pours',
                'operation': 'book',
                'arguments': {'plant': 'Macon', 'loads': 2},
                'idempotent': False,
            },
        },
        (
            operations.Parameter(
                'Idempotency-Key',
                'header',
                'Identifies the call; a repeated request with another key is '
                'rejected. The default is the sequence number.',
            ),
        ),
    ),
    operations.Operation(
        'GET',
        _CALL,
        'Read the response of a call; waits while the call is in progress.',
        {
            200: _CALL_REPLY,
            400: operations.problem('The offset is malformed.'),
            **_DENIED,
            404: operations.problem('The program or call does not exist.'),
        },
        parameters=(
            operations.Parameter(
                'offset',
                'query',
                'Number of characters already received.',
                'integer',
            ),
            operations.Parameter(
                'stream', 'query', '``1`` to receive server-sent events.'
            ),
        ),
    ),
    operations.Operation(
        'DELETE',
        _CALL,
        'Cancel a call in progress; a finished call is not changed.',
        {
            204: operations.Reply(
                'The call is being cancelled or was not in progress.'
            ),
            **_DENIED,
        },
    ),
]

_CHAT = [
    operations.Operation(
        'GET',
        '/v1/models',
        'List the models in the OpenAI format.',
        {
            200: operations.Reply(
                'The available models.', models.ModelsAnswer
            ),
            **_DENIED,
        },
    ),
    operations.Operation(
        'POST',
        '/v1/chat/completions',
        'Run a chat completion in the OpenAI format. ``messages`` contains '
        'the complete conversation.',
        {
            200: operations.Reply(
                'The completion; with ``stream``, its chunks as server-sent '
                'events.',
                models.ChatAnswer,
            ),
            400: operations.Reply(
                'The name of the program is malformed.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            401: operations.Reply(
                'The bearer token is missing or unknown.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            403: operations.Reply(
                'The account has the role ``viewer``.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            404: operations.Reply(
                'The model or class does not exist.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            409: operations.Reply(
                'The messages do not start with the history of the program.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            422: operations.Reply(
                'The body is malformed.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
        },
        bodies.ChatBody,
        {
            'question': {
                'model': 'model-a',
                'messages': [
                    {'role': 'user', 'content': 'When does the truck leave?'}
                ],
            }
        },
        (
            operations.Parameter(
                chat_api.PROGRAM_HEADER,
                'header',
                'Name of the program that the conversation belongs to. By '
                'default each request is a program of one call.',
            ),
            operations.Parameter(
                chat_api.CLASS_HEADER,
                'header',
                'Class of work of a program that this request opens.',
            ),
        ),
    ),
]

OPERATIONS = [*_PAGES, *_PROGRAMS, *_CALLS, *_CHAT]
