"""Commands of ``magnoliactl host``, ``data-centre`` and ``upstream``."""

import typer

from magnoliawood_cli import session as sessions

hosts = typer.Typer(
    help='Hosts of entries and sidecars.', no_args_is_help=True
)
data_centres = typer.Typer(
    help='Data centres and their hosts.', no_args_is_help=True
)
upstreams = typer.Typer(
    help='Upstreams: model engines and services.', no_args_is_help=True
)


@hosts.command('list')
def list_hosts(context: typer.Context) -> None:
    """List the hosts as the queried entry knows them."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('hosts'),
        *('name', 'role', 'data_centre', 'is_reachable', 'is_leaving'),
    )


@data_centres.command('list')
def list_data_centres(context: typer.Context) -> None:
    """List the data centres with the number of hosts in each."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('data-centres'),
        *('name', 'entries', 'sidecars', 'reachable'),
    )


@upstreams.command('list')
def list_upstreams(context: typer.Context) -> None:
    """List the upstreams as the queried entry knows them."""
    session: sessions.Session = context.obj
    session.write(
        session.client.get('upstreams'),
        *('name', 'data_centre', 'kind', 'serves', 'calls'),
        *('is_reachable', 'is_leaving', 'is_drained'),
    )


@upstreams.command('drain')
def drain_upstream(context: typer.Context, name: str) -> None:
    """Send no new calls to an upstream; calls in progress still finish."""
    session: sessions.Session = context.obj
    session.write(
        session.client.put('upstreams', name, 'drain'),
        *('upstream', 'by', 'at'),
    )


@upstreams.command('undrain')
def undrain_upstream(context: typer.Context, name: str) -> None:
    """End the drain of an upstream, so that it receives new calls again."""
    session: sessions.Session = context.obj
    session.client.delete('upstreams', name, 'drain')
    session.write_result(f'upstream {name} receives new calls again')
