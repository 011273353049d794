"""``magnoliactl class``."""

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
# Unknown options reach the command, which can say why they are refused.
_WITH_EXTRA = {'ignore_unknown_options': True, 'allow_extra_args': True}

app = typer.Typer(help='Classes of work and targets.', no_args_is_help=True)

Target = typing.Annotated[
    float | None, typer.Option(help='target for a whole program, seconds')
]
Kind = typing.Annotated[
    str | None, typer.Option(help='interactive, urgent or batch')
]
MaxTokens = typing.Annotated[
    int | None, typer.Option(help='most tokens in a budget')
]
MaxCalls = typing.Annotated[
    int | None, typer.Option(help='most calls in a budget')
]
MaxSeconds = typing.Annotated[
    float | None, typer.Option(help='most wall time in a budget')
]
Version = typing.Annotated[
    int | None,
    typer.Option(help='change only if the class is at this version'),
]


@app.command('create', context_settings=_WITH_EXTRA)
def create_class(
    context: typer.Context,
    name: str,
    target_seconds: typing.Annotated[
        float, typer.Option(help='target for a whole program, seconds')
    ],
    kind: Kind = None,
    max_tokens: MaxTokens = None,
    max_calls: MaxCalls = None,
    max_seconds: MaxSeconds = None,
) -> None:
    """Create a class of work."""
    _refuse_extra(context)
    session: sessions.Session = context.obj
    fields = _fields(target_seconds, kind, max_tokens, max_calls, max_seconds)
    body = {'name': name, **fields}
    session.write(session.client.put('classes', name, body=body), *_COLUMNS)


@app.command('set', context_settings=_WITH_EXTRA)
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
    """Change the target or the limits of a class."""
    _refuse_extra(context)
    session: sessions.Session = context.obj
    current = session.client.get('classes', name)
    seen = current.pop('version')
    fields = _fields(target_seconds, kind, max_tokens, max_calls, max_seconds)
    written = session.client.put(
        'classes',
        name,
        body={**current, **fields},
        version=seen if version is None else version,
    )
    session.write(written, *_COLUMNS)


@app.command('list')
def list_classes(context: typer.Context) -> None:
    """List the classes of work."""
    session: sessions.Session = context.obj
    session.write(session.client.get('classes'), *_COLUMNS)


@app.command('show')
def show_class(context: typer.Context, name: str) -> None:
    """Show a class of work."""
    session: sessions.Session = context.obj
    session.write(session.client.get('classes', name), *_COLUMNS)


@app.command('history')
def show_history(context: typer.Context, name: str) -> None:
    """Show the newest changes of a class, the oldest first."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('classes', name, 'history'),
        *('version', 'at', 'by', 'action', 'value'),
    )


@app.command('delete')
def delete_class(
    context: typer.Context, name: str, version: Version = None
) -> None:
    """Delete a class that no open program uses."""
    session: sessions.Session = context.obj
    if version is None:
        version = session.client.get('classes', name)['version']
    session.client.delete('classes', name, version=version)
    session.done(f'class {name} deleted')


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


def _refuse_extra(context: typer.Context) -> None:
    if context.args:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST,
            f'{" ".join(context.args)}: {work_classes.TARGETS_ONLY_MESSAGE}',
        )
