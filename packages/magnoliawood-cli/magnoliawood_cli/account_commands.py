"""Commands of ``magnoliactl account``: accounts and their credentials."""

import secrets
import typing

import typer

from magnoliawood.config import account as accounts
from magnoliawood_cli import session as sessions

_TOKEN_SIZE_BYTES = 32
_COLUMNS = ('name', 'role', 'credentials', 'version')

app = typer.Typer(
    help='Accounts of callers, viewers and operators.', no_args_is_help=True
)

RoleOption = typing.Annotated[
    accounts.Role,
    typer.Option(
        help='Role of the account, which determines its permissions.'
    ),
]


@app.command('create')
def create_account(
    context: typer.Context,
    name: str,
    role: RoleOption = accounts.Role.CALLER,
) -> None:
    """Create an account and print its token, which is not shown again."""
    session: sessions.Session = context.obj
    token = secrets.token_urlsafe(_TOKEN_SIZE_BYTES)
    body = {
        'name': name,
        'role': str(role),
        'token_hashes': [accounts.hash_token(token)],
    }
    written = session.client.put('accounts', name, body=body)
    session.write({**written, 'token': token}, 'name', 'role', 'token')


@app.command('list')
def list_accounts(context: typer.Context) -> None:
    """List all accounts."""
    session: sessions.Session = context.obj
    session.write(session.client.get('accounts'), *_COLUMNS)


@app.command('show')
def show_account(context: typer.Context, name: str) -> None:
    """Show an account, without its tokens."""
    session: sessions.Session = context.obj
    session.write(session.client.get('accounts', name), *_COLUMNS)


@app.command('set-role')
def set_role(context: typer.Context, name: str, role: accounts.Role) -> None:
    """Change the role of an account."""
    session: sessions.Session = context.obj
    version = session.client.get('accounts', name)['version']
    body = {'name': name, 'role': str(role)}
    written = session.client.put('accounts', name, body=body, version=version)
    session.write(written, *_COLUMNS)


@app.command('add-credential')
def add_credential(context: typer.Context, name: str) -> None:
    """Add a token to an account and print it; existing tokens stay valid."""
    session: sessions.Session = context.obj
    token = secrets.token_urlsafe(_TOKEN_SIZE_BYTES)
    digest = accounts.hash_token(token)
    session.client.post(
        'accounts', name, 'credentials', body={'token_hash': digest}
    )
    session.write(
        {
            'name': name,
            'credential': accounts.credential_id(digest),
            'token': token,
        },
        *('name', 'credential', 'token'),
    )


@app.command('drop-credential')
def drop_credential(
    context: typer.Context, name: str, credential: str
) -> None:
    """Revoke a token of an account, given by its credential identifier."""
    session: sessions.Session = context.obj
    written = session.client.delete(
        'accounts', name, 'credentials', credential
    )
    session.write(written, *_COLUMNS)


@app.command('history')
def show_history(context: typer.Context, name: str) -> None:
    """Show the most recent changes of an account, oldest first."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('accounts', name, 'history'),
        *('version', 'at', 'by', 'action', 'value'),
    )


@app.command('delete')
def delete_account(context: typer.Context, name: str) -> None:
    """Delete an account; its programs are kept until they end."""
    session: sessions.Session = context.obj
    version = session.client.get('accounts', name)['version']
    session.client.delete('accounts', name, version=version)
    session.write_result(f'account {name} deleted')
