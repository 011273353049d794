"""Operations for operators."""

import pydantic

from magnoliawood.config import work_class as work_classes
from magnoliawood_server.entry import bodies
from magnoliawood_server.http import message as http_message
from magnoliawood_server.openapi import models
from magnoliawood_server.openapi import operation as operations

_PREFIX = '/admin/v1'
_DENIED = {
    401: operations.problem('No bearer token, or an unknown one.'),
    403: operations.problem('The role of the account does not allow this.'),
}
_ABSENT = operations.problem('There is none of this name.')
_CONFLICT = operations.Reply(
    'Another change came first; it is shown.',
    models.ConflictProblem,
    http_message.PROBLEM_TYPE,
)
_CONDITIONS = (
    operations.Parameter(
        'If-Match', 'header', 'Version that the change is based on.'
    ),
    operations.Parameter('If-None-Match', 'header', '* to create.'),
)
_NO_CONDITION = operations.problem('No version is named, or it is malformed.')


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
        {200: operations.Reply('As asked.', model), **_DENIED, **extra},
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
            200: operations.Reply('As it is now.', model),
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
    _read('classes', 'List the classes.', models.ClassList),
    _read('classes/{name}', 'Show a class.', models.ClassAnswer, _404=_ABSENT),
    _put(
        'classes/{name}',
        'Create or change a class. Operators set targets and classes only.',
        models.ClassAnswer,
        work_classes.WorkClass,
        {'name': 'alerts', 'target_seconds': 2, 'kind': 'urgent'},
    ),
    _read(
        'classes/{name}/history',
        'Show the newest changes of a class.',
        models.ChangeList,
        _404=_ABSENT,
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/classes/{{name}}',
        'Delete a class that no open program uses.',
        {
            204: operations.Reply('Deleted.'),
            400: _NO_CONDITION,
            **_DENIED,
            404: _ABSENT,
            409: operations.problem('Open programs use it.'),
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
        'Create or change an account; without ``token_hashes`` it keeps its '
        'credentials.',
        models.AccountAnswer,
        bodies.AccountBody,
        {'name': 'dispatch', 'role': 'caller', 'token_hashes': [_DIGEST]},
    ),
    _read(
        'accounts/{name}/history',
        'Show the newest changes of an account.',
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
        'Add a credential by the SHA-256 digest of its token.',
        {
            200: operations.Reply('The account.', models.AccountAnswer),
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
        'Drop a credential by its short id.',
        {
            200: operations.Reply('The account.', models.AccountAnswer),
            **_DENIED,
            404: _ABSENT,
        },
    ),
]

_PROGRAMS = [
    operations.Operation(
        'GET',
        f'{_PREFIX}/programs',
        'List the programs of all owners, in order of caller and name.',
        {
            200: operations.Reply('A page.', models.ProgramList),
            400: operations.problem('A filter is malformed.'),
            **_DENIED,
        },
        parameters=(
            operations.Parameter(
                'caller', 'query', 'Only programs of this caller.'
            ),
            operations.Parameter(
                'class', 'query', 'Only programs of this class.'
            ),
            operations.Parameter('state', 'query', '``open`` or ``ended``.'),
            operations.Parameter(
                'after', 'query', '``next`` of the page before.'
            ),
            operations.Parameter(
                'limit', 'query', 'Size of the page.', 'integer'
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
        'Show the newest calls of a program, without their content.',
        models.CallList,
        _404=_ABSENT,
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/programs/{{caller}}/{{program}}',
        'End a program and its sub-agents.',
        {
            200: operations.Reply('The program.', models.ProgramAnswer),
            **_DENIED,
            404: _ABSENT,
        },
    ),
]

_FLEET = [
    _read('entries', 'Show the state of each entry.', models.EntryList),
    _read('hosts', 'List the hosts that this entry sees.', models.HostList),
    _read(
        'data-centres',
        'List the data centres with their hosts counted.',
        models.DataCentreList,
    ),
    _read(
        'upstreams',
        'List the upstreams as this entry sees them.',
        models.UpstreamList,
    ),
    operations.Operation(
        'GET',
        f'{_PREFIX}/counters',
        'Read the counters of all entries, or of one host.',
        {
            200: operations.Reply('The counters.', models.CounterList),
            **_DENIED,
            404: operations.problem('There is no such host.'),
        },
        parameters=(
            operations.Parameter(
                'name', 'query', 'Only counters that start so.'
            ),
            operations.Parameter(
                'host', 'query', 'Only of this entry or sidecar.'
            ),
        ),
    ),
    operations.Operation(
        'PUT',
        f'{_PREFIX}/upstreams/{{name}}/drain',
        'Keep new work from an upstream.',
        {
            200: operations.Reply('The drain.', models.DrainAnswer),
            **_DENIED,
            404: _ABSENT,
        },
    ),
    operations.Operation(
        'DELETE',
        f'{_PREFIX}/upstreams/{{name}}/drain',
        'Give an upstream new work again.',
        {204: operations.Reply('Done.'), **_DENIED, 404: _ABSENT},
    ),
]

OPERATIONS = [*_CLASSES, *_ACCOUNTS, *_PROGRAMS, *_FLEET]
