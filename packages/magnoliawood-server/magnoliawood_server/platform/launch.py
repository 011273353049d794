"""Entry point that runs a role with the platform's settings file."""

import logging
import sys

import curio

from magnoliawood.core import clock as clocks
from magnoliawood_server.platform import settings as settings_files
from magnoliawood_server.runtime import client_limits
from magnoliawood_server.runtime import logs

BAD_SETTING_EXIT_CODE = 2

_log = logging.getLogger(__name__)


def main(role: str) -> None:
    """Run a role until it stops.

    :param role: ``gateway`` or ``keeper``
    """
    try:
        settings = settings_files.load()
        client_limits.load(client_limits.ClientLimits)
        client_limits.load(client_limits.KeeperLimits)
    except (OSError, KeyError, ValueError) as error:
        print(f'cannot load settings: {error}', file=sys.stderr)
        raise SystemExit(BAD_SETTING_EXIT_CODE) from None
    logs.configure_output(role, settings.host)
    # Only the role that runs is imported, because memory use is billed.
    if role == 'gateway':
        from magnoliawood_server.gateway import app as gateway_app

        run = gateway_app.GatewayApp(settings, clocks.SystemClock()).run
    else:
        from magnoliawood_server.keeper import app as keeper_app

        run = keeper_app.KeeperApp(settings, clocks.SystemClock()).run
    raise SystemExit(curio.run(run))


if __name__ == '__main__':
    main(sys.argv[1])
