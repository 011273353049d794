"""Operations for callers."""

from magnoliawood_server.entry import bodies
from magnoliawood_server.entry import chat_api
from magnoliawood_server.http import message as http_message
from magnoliawood_server.openapi import models
from magnoliawood_server.openapi import operation as operations

_PROGRAM = '/v1/programs/{program}'
_CALL = '/v1/programs/{program}/calls/{sequence}'
_DENIED = {
    401: operations.problem('No bearer token, or an unknown one.'),
    403: operations.problem('The account is a viewer.'),
}
_UNKNOWN = operations.problem(
    'There is no such program, or it is of another caller.'
)
_PROGRAM_REPLY = operations.Reply(
    'State of the program.', models.ProgramAnswer
)
_CALL_REPLY = operations.Reply(
    'The whole answer; with ``stream`` the events ``delta``, then '
    '``finished`` or ``error``.',
    models.CallAnswer,
)

_PAGES = [
    operations.Operation(
        'GET',
        '/healthz',
        'Whether the process answers.',
        {200: operations.Reply('It does.', None, 'text/plain')},
        is_public=True,
    ),
    operations.Operation(
        'GET',
        '/readyz',
        'Whether the entry serves callers.',
        {200: operations.Reply('It does; 503 if not.', None, 'text/plain')},
        is_public=True,
    ),
    operations.Operation(
        'GET',
        '/metrics',
        'Counters, gauges and latency summaries.',
        {200: operations.Reply('Text exposition format.', None, 'text/plain')},
        is_public=True,
    ),
]

_PROGRAMS = [
    operations.Operation(
        'PUT',
        _PROGRAM,
        'Open a program; a repeat returns the program that is there. A name '
        'PARENT:CHILD opens a sub-agent, which draws on its parent.',
        {
            201: _PROGRAM_REPLY,
            400: operations.problem('The name is malformed.'),
            **_DENIED,
            404: operations.problem('There is no such class or parent.'),
            409: operations.problem(
                'It is open with another class or budget.'
            ),
            422: operations.problem(
                'The body is malformed or exceeds the class.'
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
        'End a program and its sub-agents; engine memory is freed.',
        {200: _PROGRAM_REPLY, **_DENIED, 404: _UNKNOWN},
    ),
    operations.Operation(
        'GET',
        f'{_PROGRAM}/history',
        'Read the history of a program.',
        {
            200: operations.Reply(
                'All messages in order.', models.HistoryAnswer
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
        'Run the next call, or get the answer of the call that this repeats. '
        'Sequence numbers count from 1 without gaps.',
        {
            200: _CALL_REPLY,
            400: operations.problem('The sequence number is malformed.'),
            **_DENIED,
            402: operations.problem('The budget does not cover the call.'),
            404: operations.problem(
                'There is no such program, model or service.'
            ),
            409: operations.problem(
                'A gap in the sequence, or a repeat that differs.'
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
                'Names the call; a repeat with another key is refused. By '
                'default the sequence number.',
            ),
        ),
    ),
    operations.Operation(
        'GET',
        _CALL,
        'Read the answer of a call; waits if the call is under way.',
        {
            200: _CALL_REPLY,
            400: operations.problem('The offset is malformed.'),
            **_DENIED,
            404: operations.problem('There is no such program or call.'),
        },
        parameters=(
            operations.Parameter(
                'offset', 'query', 'Characters already received.', 'integer'
            ),
            operations.Parameter(
                'stream', 'query', '1 for server-sent events.'
            ),
        ),
    ),
    operations.Operation(
        'DELETE',
        _CALL,
        'Cancel a call that is under way; a finished one stays as it is.',
        {204: operations.Reply('Done.'), **_DENIED},
    ),
]

_CHAT = [
    operations.Operation(
        'GET',
        '/v1/models',
        'List the models, in the OpenAI form.',
        {
            200: operations.Reply('The models.', models.ModelsAnswer),
            **_DENIED,
        },
    ),
    operations.Operation(
        'POST',
        '/v1/chat/completions',
        'Run a chat completion, in the OpenAI form. ``messages`` holds the '
        'whole conversation.',
        {
            200: operations.Reply(
                'The completion; with ``stream`` its chunks.',
                models.ChatAnswer,
            ),
            400: operations.Reply(
                'The name of the program is malformed.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            401: operations.Reply(
                'No bearer token, or an unknown one.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            403: operations.Reply(
                'The account is a viewer.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            404: operations.Reply(
                'There is no such model or class.',
                models.ChatProblem,
                http_message.PROBLEM_TYPE,
            ),
            409: operations.Reply(
                "The head of the messages differs from the program's history.",
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
                'Program that the conversation belongs to; by default each '
                'request is a program of one call.',
            ),
            operations.Parameter(
                chat_api.CLASS_HEADER,
                'header',
                'Class of a program that this request opens.',
            ),
        ),
    ),
]

OPERATIONS = [*_PAGES, *_PROGRAMS, *_CALLS, *_CHAT]
