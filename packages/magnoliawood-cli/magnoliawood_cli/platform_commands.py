"""Commands of ``magnoliactl platform``: replicas, evacuations, gateways."""

import collections.abc
import dataclasses
import typing

import curio
import typer

from magnoliawood_cli import platform_view
from magnoliawood_cli import session as sessions

app = typer.Typer(
    help="State of the system on the users' platform, from its store.",
    no_args_is_help=True,
)

StoreOption = typing.Annotated[
    str,
    typer.Option(
        envvar='MAGNOLIACTL_STORE',
        help="Address of the platform's store, HOST:PORT.",
    ),
]


@app.command('copies')
def list_copies(context: typer.Context, store: StoreOption) -> None:
    """List all disks with the state of the replica on each of them."""
    rows = curio.run(platform_view.PlatformView(store).replicas)
    _write(context, rows, 'host', 'disk', 'since', 'copied', 'state')


@app.command('evacuations')
def list_evacuations(context: typer.Context, store: StoreOption) -> None:
    """List the hosts to be evacuated, and whether their data was moved."""
    rows = curio.run(platform_view.PlatformView(store).evacuations)
    _write(context, rows, 'host', 'is_empty')


@app.command('accounts')
def list_accounts(context: typer.Context, store: StoreOption) -> None:
    """List the client accounts with their limits, without their keys."""
    configuration = curio.run(platform_view.PlatformView(store).configuration)
    rows = platform_view.account_rows(configuration)
    _write(context, rows, 'account', 'keys', 'priority', 'rate', 'burst')


@app.command('in-force')
def show_in_force(
    context: typer.Context,
    store: StoreOption,
    gateways: typing.Annotated[
        list[str],
        typer.Argument(help='Peer addresses of gateways, HOST:PORT.'),
    ],
) -> None:
    """Compare the state that gateways use with the stored configuration."""
    rows = curio.run(_in_force, platform_view.PlatformView(store), gateways)
    _write(
        context,
        rows,
        *('address', 'configuration', 'upstreams_revision', 'epoch'),
    )


async def _in_force(
    view: platform_view.PlatformView, gateways: list[str]
) -> list[platform_view.GatewayRow]:
    configuration = await view.configuration()
    stored = platform_view.GatewayRow('store', configuration.version)
    return [stored, *[await view.gateway(address) for address in gateways]]


def _write(
    context: typer.Context,
    rows: collections.abc.Sequence[typing.Any],
    *columns: str,
) -> None:
    session: sessions.Session = context.obj
    items = [dataclasses.asdict(row) for row in rows]
    session.write({'items': items}, *columns)
