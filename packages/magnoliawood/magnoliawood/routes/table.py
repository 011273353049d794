"""Finds the route of a request."""

import itertools

from magnoliawood.routes import configuration as configurations


class RouteTable:
    """Routes of one configuration by host and path prefix.

    :param configuration: the version that the table is made from
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

    @property
    def configuration(self) -> configurations.Configuration:
        """The version that the table is made from."""
        return self._configuration

    def find(self, host: str, path: str) -> configurations.Route | None:
        """Return the route with the longest prefix of a path.

        :param host: name without a port
        :param path: path without a query
        """
        name = host.lower()
        # Every prefix ends with a slash.
        ends = [
            index + 1
            for index, character in enumerate(path)
            if character == '/'
        ]
        return next(
            filter(
                None,
                (
                    self._routes.get((name, path[:end]))
                    for end in reversed(ends)
                ),
            ),
            None,
        )

    def service(self, name: str) -> configurations.Service | None:
        """Return a service by its name."""
        return self._services.get(name)


def pick_service(route: configurations.Route, point: float) -> str:
    """Return the service that a point of a route's range falls to.

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

    :param point: 0 up to, not including, 1; equal points fall alike
    """
    weights = [share.weight for share in route.shares]
    bounds = itertools.accumulate(weights)
    wanted = point * sum(weights)
    return next(
        (
            share.service
            for share, bound in zip(route.shares, bounds, strict=True)
            if wanted < bound
        ),
        route.shares[-1].service,
    )
