"""Operations of the administration API, for operators and viewers."""

import pydantic

from magnoliawood.config import work_class as work_classes
from magnoliawood_server.entry import bodies
from magnoliawood_server.http import message as http_message
from magnoliawood_server.openapi import models
from magnoliawood_server.openapi import operation as operations

_PREFIX = '/admin/v1'
_DENIED = {
    401: operations.problem('The bearer token is missing or unknown.'),
    403: operations.problem(
        'The role of the account does not permit the operation.'
    ),
}
_ABSENT = operations.problem('No object with this name exists.')
_CONFLICT = operations.Reply(
    'Another change was made first; the body contains it.',
    models.ConflictProblem,
    http_message.PROBLEM_TYPE,
)
_CONDITIONS = (
    operations.Parameter(
        'If-Match',
        'header',
        'Version of the object that the change is based on.',
    ),
    operations.Parameter(
        'If-None-Match', 'header', '``*`` to create a new object.'
    ),
)
_NO_CONDITION = operations.problem(
    'The precondition header is missing or malformed.'
)


def _read(
    path: str,
    summary: str,
    model: type[pydantic.BaseModel],
    **replies: operations.Reply,
) -> operations.Operation:
    extra = {int(name[1:]): reply for name, reply in replies.items()}
    return operations.Operation(
        'GET',
        f'{_PREFIX}/{path}',
        summary,
        {
            200: operations.Reply('The requested data.', model),
            **_DENIED,
            **extra,
        },
    )


def _put(
    path: str,
    summary: str,
    model: type[pydantic.BaseModel],
    body: type[pydantic.BaseModel],
    example: dict[str, object],
) -> operations.Operation:
    return operations.Operation(
        'PUT',
        f'{_PREFIX}/{path}',
        summary,
        {
            200: operations.Reply('The object after the change.', model),
            400: _NO_CONDITION,
            **_DENIED,
            412: _CONFLICT,
            422: operations.problem(
                'The body is malformed or has unknown fields.'
            ),
        },
        body,
        {'example': example},
        _CONDITIONS,
    )


_CLASSES = [
    _read('classes', 'List the classes of work.', models.ClassList),
    _read(
        'classes/{name}',
        'Show a class of work.',
        models.ClassAnswer,
        _404=_ABSENT,
    ),
    _put(
        'classes/{name}',
        'Create or change a class of work. Only the target, the kind and the '
        'limits of a class can be set.',
        models.ClassAnswer,
        work_classes.WorkClass,
        {'name': 'alerts', 'target_seconds': 2, 'kind': 'urgent'},
    ),
    _read(
        'classes/{name}/history',
        'Show the most recent changes of a class.',
        models.ChangeList,
        _404=_ABSENT,
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/classes/{{name}}',
        'Delete a class of work that no open program uses.',
        {
            204: operations.Reply('Deleted.'),
            400: _NO_CONDITION,
            **_DENIED,
            404: _ABSENT,
            409: operations.problem('Open programs use the class.'),
            412: _CONFLICT,
        },
        parameters=_CONDITIONS[:1],
    ),
]

_DIGEST = 'e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855'

_ACCOUNTS = [
    _read('accounts', 'List the accounts.', models.AccountList),
    _read(
        'accounts/{name}',
        'Show an account.',
        models.AccountAnswer,
        _404=_ABSENT,
    ),
    _put(
        'accounts/{name}',
        'Create or change an account. If ``token_hashes`` is left out, the '
        'credentials stay unchanged.',
        models.AccountAnswer,
        bodies.AccountBody,
        {'name': 'dispatch', 'role': 'caller', 'token_hashes': [_DIGEST]},
    ),
    _read(
        'accounts/{name}/history',
        'Show the most recent changes of an account.',
        models.ChangeList,
        _404=_ABSENT,
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/accounts/{{name}}',
        'Delete an account.',
        {
            204: operations.Reply('Deleted.'),
            400: _NO_CONDITION,
            **_DENIED,
            404: _ABSENT,
            412: _CONFLICT,
        },
        parameters=_CONDITIONS[:1],
    ),
    operations.Operation(
        'POST',
        f'{_PREFIX}/accounts/{{name}}/credentials',
        'Add a credential, given by the SHA-256 digest of its token.',
        {
            200: operations.Reply(
                'The account after the change.', models.AccountAnswer
            ),
            **_DENIED,
            404: _ABSENT,
            422: operations.problem('The digest is malformed.'),
        },
        bodies.CredentialBody,
        {'example': {'token_hash': _DIGEST}},
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/accounts/{{name}}/credentials/{{credential}}',
        'Remove a credential, given by its short identifier.',
        {
            200: operations.Reply(
                'The account after the change.', models.AccountAnswer
            ),
            **_DENIED,
            404: _ABSENT,
        },
    ),
]

_PROGRAMS = [
    operations.Operation(
        'GET',
        f'{_PREFIX}/programs',
        'List the programs of all callers, sorted by caller and name.',
        {
            200: operations.Reply('A page of programs.', models.ProgramList),
            400: operations.problem('A filter is malformed.'),
            **_DENIED,
        },
        parameters=(
            operations.Parameter(
                'caller', 'query', 'List only programs of this caller.'
            ),
            operations.Parameter(
                'class', 'query', 'List only programs of this class.'
            ),
            operations.Parameter(
                'state',
                'query',
                'List only programs in this state: ``open`` or ``ended``.',
            ),
            operations.Parameter(
                'after', 'query', 'Value of ``next`` of the previous page.'
            ),
            operations.Parameter(
                'limit',
                'query',
                'Maximum number of programs in the page.',
                'integer',
            ),
        ),
    ),
    _read(
        'programs/{caller}/{program}',
        'Show a program.',
        models.ProgramAnswer,
        _404=_ABSENT,
    ),
    _read(
        'programs/{caller}/{program}/calls',
        'Show the most recent calls of a program, without their content.',
        models.CallList,
        _404=_ABSENT,
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/programs/{{caller}}/{{program}}',
        'End a program and its sub-agents.',
        {
            200: operations.Reply(
                'The program in its final state.', models.ProgramAnswer
            ),
            **_DENIED,
            404: _ABSENT,
        },
    ),
]

_FLEET = [
    _read('entries', 'Show the state of each entry.', models.EntryList),
    _read(
        'hosts',
        'List the hosts that the queried entry knows.',
        models.HostList,
    ),
    _read(
        'data-centres',
        'List the data centres with the number of hosts in each.',
        models.DataCentreList,
    ),
    _read(
        'upstreams',
        'List the upstreams as the queried entry knows them.',
        models.UpstreamList,
    ),
    operations.Operation(
        'GET',
        f'{_PREFIX}/counters',
        'Read the counters of all entries or of one host.',
        {
            200: operations.Reply('The counters.', models.CounterList),
            **_DENIED,
            404: operations.problem('No host with this name exists.'),
        },
        parameters=(
            operations.Parameter(
                'name',
                'query',
                'List only counters whose names start with this prefix.',
            ),
            operations.Parameter(
                'host', 'query', 'List only counters of this entry or sidecar.'
            ),
        ),
    ),
    operations.Operation(
        'PUT',
        f'{_PREFIX}/upstreams/{{name}}/drain',
        'Drain an upstream: dispatch no new calls to it.',
        {
            200: operations.Reply(
                'The drain of the upstream.', models.DrainAnswer
            ),
            **_DENIED,
            404: _ABSENT,
        },
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/upstreams/{{name}}/drain',
        'End the drain of an upstream: dispatch new calls to it again.',
        {
            204: operations.Reply('The drain was ended.'),
            **_DENIED,
            404: _ABSENT,
        },
    ),
]

OPERATIONS = [*_CLASSES, *_ACCOUNTS, *_PROGRAMS, *_FLEET]
