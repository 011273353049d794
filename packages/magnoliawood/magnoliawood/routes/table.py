"""Lookup of the route of a request."""

import itertools

from magnoliawood.accounts import table as account_tables
from magnoliawood.routes import configuration as configurations


class RouteTable:
    """Routes of one configuration by host and path prefix.

    :param configuration: version from which the table is built
    """

    def __init__(self, configuration: configurations.Configuration) -> None:
        self._configuration = configuration
        self._routes = {
            (route.host.lower(), route.path_prefix): route
            for route in configuration.routes
        }
        self._services = {
            service.name: service for service in configuration.services
        }
        accounts = configuration.accounts
        self._accounts = (
            None if accounts is None else account_tables.AccountTable(accounts)
        )

    @property
    def configuration(self) -> configurations.Configuration:
        """Version of the configuration from which the table was built."""
        return self._configuration

    @property
    def accounts(self) -> account_tables.AccountTable | None:
        """Client accounts; ``None`` if the configuration declares none."""
        return self._accounts

    def find(self, host: str, path: str) -> configurations.Route | None:
        """Return the route with the longest matching prefix of a path.

        :param host: name without a port
        :param path: path without a query
        """
        name = host.lower()
        # The prefix of every route ends with a slash.
        prefix_ends = [
            index + 1
            for index, character in enumerate(path)
            if character == '/'
        ]
        return next(
            filter(
                None,
                (
                    self._routes.get((name, path[:end]))
                    for end in reversed(prefix_ends)
                ),
            ),
            None,
        )

    def service(self, name: str) -> configurations.Service | None:
        """Return the service of a name, or ``None`` if there is none."""
        return self._services.get(name)


def pick_service(route: configurations.Route, point: float) -> str:
    """Return the service that a point is assigned to by weight.

    Examples
    ========

    >>> import datetime
    >>> second = datetime.timedelta(seconds=1)
    >>> shares = (
    ...     configurations.ServiceShare('old', 90),
    ...     configurations.ServiceShare('new', 10),
    ... )
    >>> route = configurations.Route(
    ...     'r', 'h', '/', configurations.RequestKind.SAFE, second, second,
    ...     0, shares, 1)
    >>> pick_service(route, 0.5), pick_service(route, 0.95)
    ('old', 'new')

    :param point: in [0, 1); equal points select the same service
    """
    weights = [share.weight for share in route.shares]
    bounds = itertools.accumulate(weights)
    target = point * sum(weights)
    return next(
        (
            share.service
            for share, bound in zip(route.shares, bounds, strict=True)
            if target < bound
        ),
        route.shares[-1].service,
    )
