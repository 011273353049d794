"""``magnoliactl program``."""

import typing

import typer

from magnoliawood_cli import session as sessions

_COLUMNS = (
    'caller',
    'program',
    'class',
    'state',
    'opened_at',
    'tokens_left',
    'calls_left',
    'pending_sequence',
)

app = typer.Typer(help='Programs of all callers.', no_args_is_help=True)


@app.command('list')
def list_programs(
    context: typer.Context,
    caller: typing.Annotated[str, typer.Option(help='only of it')] = '',
    work_class: typing.Annotated[
        str, typer.Option('--class', help='only of this class')
    ] = '',
    state: typing.Annotated[str, typer.Option(help='open or ended')] = '',
    limit: typing.Annotated[int, typer.Option(help='page size')] = 100,
    after: typing.Annotated[
        str, typer.Option(help='start after this one, CALLER/PROGRAM')
    ] = '',
) -> None:
    """List a page of the programs, in order of caller and name."""
    session: sessions.Session = context.obj
    query = {
        'caller': caller,
        'class': work_class,
        'state': state,
        'limit': limit,
        'after': after,
    }
    session.write(session.client.get('programs', **query), *_COLUMNS)


@app.command('show')
def show_program(context: typer.Context, caller: str, program: str) -> None:
    """Show a program."""
    session: sessions.Session = context.obj
    found = session.client.get('programs', caller, program)
    session.write(found, *_COLUMNS, 'end_reason')


@app.command('calls')
def list_calls(context: typer.Context, caller: str, program: str) -> None:
    """Show the newest calls of a program, without their content."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('programs', caller, program, 'calls'),
        *('sequence', 'kind', 'target', 'state', 'upstream', 'attempt'),
        *('verdict', 'code', 'tokens'),
    )


@app.command('cancel')
def cancel_program(context: typer.Context, caller: str, program: str) -> None:
    """End a program and its sub-agents."""
    session: sessions.Session = context.obj
    ended = session.client.delete('programs', caller, program)
    session.write(ended, *_COLUMNS, 'end_reason')
