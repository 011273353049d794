"""Commands of ``magnoliactl class``: classes of work."""

import typing

import typer

from magnoliawood.config import work_class as work_classes
from magnoliawood.core import errors
from magnoliawood_cli import session as sessions

_COLUMNS = (
    'name',
    'target_seconds',
    'kind',
    'max_tokens',
    'max_calls',
    'max_seconds',
    'version',
)
# Unknown options are passed on to the command, whose error message explains
# why they are rejected.
_ACCEPT_UNKNOWN_OPTIONS = {
    'ignore_unknown_options': True,
    'allow_extra_args': True,
}

app = typer.Typer(
    help='Classes of work, their targets and limits.', no_args_is_help=True
)

Target = typing.Annotated[
    float | None,
    typer.Option(help='Target time for a complete program, in seconds.'),
]
Kind = typing.Annotated[
    str | None,
    typer.Option(help='Kind of work: interactive, urgent or batch.'),
]
MaxTokens = typing.Annotated[
    int | None,
    typer.Option(help='Maximum number of tokens in the budget of a program.'),
]
MaxCalls = typing.Annotated[
    int | None,
    typer.Option(help='Maximum number of calls in the budget of a program.'),
]
MaxSeconds = typing.Annotated[
    float | None,
    typer.Option(
        help='Maximum wall time in the budget of a program, in seconds.'
    ),
]
Version = typing.Annotated[
    int | None,
    typer.Option(help='Apply the change only if the class has this version.'),
]


@app.command('create', context_settings=_ACCEPT_UNKNOWN_OPTIONS)
def create_class(
    context: typer.Context,
    name: str,
    target_seconds: typing.Annotated[
        float,
        typer.Option(help='Target time for a complete program, in seconds.'),
    ],
    kind: Kind = None,
    max_tokens: MaxTokens = None,
    max_calls: MaxCalls = None,
    max_seconds: MaxSeconds = None,
) -> None:
    """Create a class of work."""
    _reject_unknown_options(context)
    session: sessions.Session = context.obj
    fields = _fields(target_seconds, kind, max_tokens, max_calls, max_seconds)
    body = {'name': name, **fields}
    session.write(session.client.put('classes', name, body=body), *_COLUMNS)


@app.command('set', context_settings=_ACCEPT_UNKNOWN_OPTIONS)
def set_class(
    context: typer.Context,
    name: str,
    target_seconds: Target = None,
    kind: Kind = None,
    max_tokens: MaxTokens = None,
    max_calls: MaxCalls = None,
    max_seconds: MaxSeconds = None,
    version: Version = None,
) -> None:
    """Change the target, the kind or the limits of a class of work."""
    _reject_unknown_options(context)
    session: sessions.Session = context.obj
    current = session.client.get('classes', name)
    current_version = current.pop('version')
    fields = _fields(target_seconds, kind, max_tokens, max_calls, max_seconds)
    written = session.client.put(
        'classes',
        name,
        body={**current, **fields},
        version=current_version if version is None else version,
    )
    session.write(written, *_COLUMNS)


@app.command('list')
def list_classes(context: typer.Context) -> None:
    """List all classes of work."""
    session: sessions.Session = context.obj
    session.write(session.client.get('classes'), *_COLUMNS)


@app.command('show')
def show_class(context: typer.Context, name: str) -> None:
    """Show one class of work."""
    session: sessions.Session = context.obj
    session.write(session.client.get('classes', name), *_COLUMNS)


@app.command('history')
def show_history(context: typer.Context, name: str) -> None:
    """Show the most recent changes of a class of work, oldest first."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('classes', name, 'history'),
        *('version', 'at', 'by', 'action', 'value'),
    )


@app.command('delete')
def delete_class(
    context: typer.Context, name: str, version: Version = None
) -> None:
    """Delete a class of work that no open program uses."""
    session: sessions.Session = context.obj
    if version is None:
        version = session.client.get('classes', name)['version']
    session.client.delete('classes', name, version=version)
    session.write_result(f'class {name} deleted')


def _fields(
    target_seconds: float | None,
    kind: str | None,
    max_tokens: int | None,
    max_calls: int | None,
    max_seconds: float | None,
) -> dict[str, typing.Any]:
    fields = {
        'target_seconds': target_seconds,
        'kind': kind,
        'max_tokens': max_tokens,
        'max_calls': max_calls,
        'max_seconds': max_seconds,
    }
    return {name: value for name, value in fields.items() if value is not None}


def _reject_unknown_options(context: typer.Context) -> None:
    if context.args:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST,
            f'{" ".join(context.args)}: {work_classes.TARGETS_ONLY_MESSAGE}',
        )
