"""Command line for operators, ``magnoliactl``."""

import itertools
import pathlib
import sys
import typing

import typer

from magnoliawood.core import errors
from magnoliawood_cli import account_commands
from magnoliawood_cli import class_commands
from magnoliawood_cli import client as clients
from magnoliawood_cli import exit_codes
from magnoliawood_cli import explanation
from magnoliawood_cli import fleet_commands
from magnoliawood_cli import output as outputs
from magnoliawood_cli import platform_commands
from magnoliawood_cli import program_commands
from magnoliawood_cli import session as sessions

_cli = typer.Typer(
    help='Administer magnoliawood.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
_cli.add_typer(class_commands.app, name='class')
_cli.add_typer(account_commands.app, name='account')
_cli.add_typer(program_commands.app, name='program')
_cli.add_typer(fleet_commands.hosts, name='host')
_cli.add_typer(fleet_commands.data_centres, name='data-centre')
_cli.add_typer(fleet_commands.upstreams, name='upstream')
_cli.add_typer(platform_commands.app, name='platform')


def main() -> None:
    """Run the command line; report an error without a traceback."""
    try:
        _cli()
    except errors.MagnoliawoodError as error:
        for line in _error_lines(error):
            print(f'magnoliactl: {line}', file=sys.stderr)
        raise SystemExit(exit_codes.exit_code_of(error)) from None
    except BrokenPipeError:
        # The reader of the output closed the pipe. Closing stderr
        # suppresses the message that the interpreter prints when it fails to
        # flush stdout at exit.
        sys.stderr.close()
        raise SystemExit(exit_codes.ExitCode.FAILED) from None


@_cli.callback()
def _configure(
    context: typer.Context,
    entry: typing.Annotated[
        str,
        typer.Option(
            envvar='MAGNOLIACTL_ENTRY', help='Address of an entry, HOST:PORT.'
        ),
    ] = '',
    token: typing.Annotated[
        str,
        typer.Option(
            envvar='MAGNOLIACTL_TOKEN', help='Bearer token of the account.'
        ),
    ] = '',
    output: typing.Annotated[
        outputs.OutputFormat,
        typer.Option(
            envvar='MAGNOLIACTL_OUTPUT', help='Format of the output.'
        ),
    ] = outputs.OutputFormat.TABLE,
) -> None:
    context.obj = sessions.Session(entry, token, output)


@_cli.command('status')
def show_status(context: typer.Context) -> None:
    """Show the state of each entry: store, configuration, shards and load."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('entries'),
        *('name', 'data_centre', 'store', 'configuration_version'),
        *('map_version', 'shards', 'programs', 'calls_under_way', 'leaving'),
    )


@_cli.command('counters')
def show_counters(
    context: typer.Context,
    name: typing.Annotated[
        str,
        typer.Option(
            help='Show only counters whose names start with this prefix.'
        ),
    ] = '',
    host: typing.Annotated[
        str,
        typer.Option(
            help='Show the counters of this host instead of all entries.'
        ),
    ] = '',
) -> None:
    """Show counters, including the reasons for rejections and retries."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('counters', name=name, host=host),
        *('host', 'counter', 'value'),
    )


@_cli.command('explain')
def explain_request(
    request_id: str,
    logs: typing.Annotated[
        list[pathlib.Path],
        typer.Argument(help='Log files of gateways and keepers.'),
    ],
) -> None:
    """Show the log lines of a request and the state changes around it."""
    lines = explanation.read_lines(logs)
    matching_lines = explanation.explain(lines, request_id)
    if not matching_lines:
        print(f'no log line for request {request_id}')
        raise typer.Exit(exit_codes.ExitCode.FAILED)
    for line in matching_lines:
        print(line.text)
    cause = explanation.cause_of(lines, request_id)
    if cause is not None:
        print(cause)


def _error_lines(
    error: errors.MagnoliawoodError,
) -> typing.Iterator[str]:
    """Yield the error and, for a conflict, the change made first."""
    conflict = error.problem if isinstance(error, clients.ApiError) else {}
    change = conflict.get('change')
    yield str(error)
    if change:
        yield (
            f'{change["action"]} by {change["by"]} at {change["at"]}, '
            f'version {change["version"]}: {_fields(change["value"])}'
        )
    elif conflict.get('current'):
        yield f'current value: {_fields(conflict["current"])}'


def _fields(value: dict[str, typing.Any] | None) -> str:
    items = (value or {}).items()
    return ' '.join(itertools.starmap('{}={}'.format, items)) or 'gone'


if __name__ == '__main__':
    main()
