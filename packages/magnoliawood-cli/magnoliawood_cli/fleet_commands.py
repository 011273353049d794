"""``magnoliactl host``, ``data-centre`` and ``upstream``."""

import typer

from magnoliawood_cli import session as sessions

hosts = typer.Typer(help='Hosts of the system.', no_args_is_help=True)
data_centres = typer.Typer(help='Data centres.', no_args_is_help=True)
upstreams = typer.Typer(
    help='Model engines and services.', no_args_is_help=True
)


@hosts.command('list')
def list_hosts(context: typer.Context) -> None:
    """List the hosts as the asked entry sees them."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('hosts'),
        *('name', 'role', 'data_centre', 'is_reachable', 'is_leaving'),
    )


@data_centres.command('list')
def list_data_centres(context: typer.Context) -> None:
    """List the data centres with their hosts counted."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('data-centres'),
        *('name', 'entries', 'sidecars', 'reachable'),
    )


@upstreams.command('list')
def list_upstreams(context: typer.Context) -> None:
    """List the upstreams as the asked entry sees them."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('upstreams'),
        *('name', 'data_centre', 'kind', 'serves', 'calls'),
        *('is_reachable', 'is_leaving', 'is_drained'),
    )


@upstreams.command('drain')
def drain_upstream(context: typer.Context, name: str) -> None:
    """Keep new work from an upstream; calls under way run to their end."""
    session: sessions.Session = context.obj
    session.write(
        session.client.put('upstreams', name, 'drain'),
        *('upstream', 'by', 'at'),
    )


@upstreams.command('undrain')
def undrain_upstream(context: typer.Context, name: str) -> None:
    """Give an upstream new work again."""
    session: sessions.Session = context.obj
    session.client.delete('upstreams', name, 'drain')
    session.done(f'upstream {name} gets new work again')
