"""Commands of ``magnoliactl program``: programs and their calls."""

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
    caller: typing.Annotated[
        str, typer.Option(help='List only programs of this caller.')
    ] = '',
    work_class: typing.Annotated[
        str,
        typer.Option(
            '--class', help='List only programs of this class of work.'
        ),
    ] = '',
    state: typing.Annotated[
        str,
        typer.Option(help='List only programs in this state: open or ended.'),
    ] = '',
    limit: typing.Annotated[
        int, typer.Option(help='Maximum number of programs to list.')
    ] = 100,
    after: typing.Annotated[
        str, typer.Option(help='Start after this program, CALLER/PROGRAM.')
    ] = '',
) -> None:
    """List one page of the programs, sorted by caller and name."""
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
    """Show the state of a program."""
    session: sessions.Session = context.obj
    response = session.client.get('programs', caller, program)
    session.write(response, *_COLUMNS, 'end_reason')


@app.command('calls')
def list_calls(context: typer.Context, caller: str, program: str) -> None:
    """Show the most recent calls of a program, without their content."""
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
