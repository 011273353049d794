"""Command line ``magnoliactl``."""

import hashlib
import json
import secrets
import sys
import typing

import typer

from magnoliawood.core import errors
from magnoliawood_cli import client as clients

FAILURE_EXIT_CODE = 1

_cli = typer.Typer(
    help='Administration of magnoliawood.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
_classes = typer.Typer(help='Classes of work.', no_args_is_help=True)
_accounts = typer.Typer(help='Callers and operators.', no_args_is_help=True)
_cli.add_typer(_classes, name='class')
_cli.add_typer(_accounts, name='account')


def main() -> None:
    """Run the command line; report an error in one line."""
    try:
        _cli()
    except errors.MagnoliawoodError as error:
        print(f'magnoliactl: {error}', file=sys.stderr)
        raise SystemExit(FAILURE_EXIT_CODE) from None


@_cli.callback()
def _configure(
    context: typer.Context,
    entry: str = typer.Option(
        ...,
        envvar='MAGNOLIACTL_ENTRY',
        help='host and port of an entry',
    ),
    token: str = typer.Option(
        ..., envvar='MAGNOLIACTL_TOKEN', help='bearer token'
    ),
) -> None:
    context.obj = clients.AdminClient(entry, token)


@_classes.command('create')
def create_class(
    context: typer.Context,
    name: str,
    target_seconds: float = typer.Option(..., help='target in seconds'),
) -> None:
    """Create a class of work."""
    _print(
        context.obj.request(
            'PUT',
            f'/admin/v1/classes/{name}',
            {'name': name, 'target_seconds': target_seconds},
            if_none_match='*',
        )
    )


@_classes.command('list')
def list_classes(context: typer.Context) -> None:
    """List the classes of work."""
    _print(context.obj.request('GET', '/admin/v1/classes'))


@_accounts.command('create')
def create_account(
    context: typer.Context,
    name: str,
    role: str = typer.Option('caller', help='caller, viewer or operator'),
) -> None:
    """Create an account and print its token, which is shown only once."""
    token = secrets.token_urlsafe(32)
    digest = hashlib.sha256(token.encode()).hexdigest()
    context.obj.request(
        'PUT',
        f'/admin/v1/accounts/{name}',
        {'name': name, 'role': role, 'token_hashes': [digest]},
        if_none_match='*',
    )
    _print({'name': name, 'role': role, 'token': token})


def _print(value: typing.Any) -> None:
    print(json.dumps(value, indent=2))


if __name__ == '__main__':
    main()
