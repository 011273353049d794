"""Routing of HTTP requests to operations, with a check of the role."""

import collections.abc
import dataclasses

from magnoliawood.config import account as accounts
from magnoliawood.core import errors
from magnoliawood_server.http import message as http_message

CALLERS = frozenset({accounts.Role.CALLER, accounts.Role.OPERATOR})
VIEWERS = frozenset({accounts.Role.VIEWER, accounts.Role.OPERATOR})
OPERATORS = frozenset({accounts.Role.OPERATOR})


@dataclasses.dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Request of an authenticated account that matched a route.

    :param parameters: values of the path parameters, in path order
    """

    http: http_message.Request
    account: accounts.Account
    parameters: tuple[str, ...]


Handler = collections.abc.Callable[
    [RoutedRequest], collections.abc.Awaitable[http_message.Response]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """HTTP method and path of an operation, with its handler.

    :param path: path template with parameters in braces
    """

    method: str
    path: str
    handle: Handler

    def match(self, method: str, segments: list[str]) -> list[str] | None:
        """Return the path parameters, or `None` if there is no match."""
        template_segments = self.path.strip('/').split('/')
        if method != self.method or len(template_segments) != len(segments):
            return None
        pairs = list(zip(template_segments, segments, strict=True))
        if any(a != b and not a.startswith('{') for a, b in pairs):
            return None
        return [b for a, b in pairs if a.startswith('{')]


class Router:
    """Routes of one API with the roles that may use them.

    :param readers: roles that may send GET requests
    :param writers: roles that may send all other requests
    """

    def __init__(
        self,
        routes: list[Route],
        readers: frozenset[accounts.Role],
        writers: frozenset[accounts.Role],
    ) -> None:
        self._routes = routes
        self._readers = readers
        self._writers = writers

    @property
    def routes(self) -> list[Route]:
        """All routes, in the order in which they are matched."""
        return self._routes

    async def serve(
        self, request: http_message.Request, account: accounts.Account
    ) -> http_message.Response:
        """Run the operation whose route matches the request.

        :raises MagnoliawoodError: with ``not_found`` if no route matches, or
            ``forbidden`` if the account's role does not permit the method
        """
        self._check_role(request, account)
        segments = request.segments
        for route in self._routes:
            parameters = route.match(request.method, segments)
            if parameters is not None:
                routed = RoutedRequest(request, account, tuple(parameters))
                return await route.handle(routed)
        raise errors.MagnoliawoodError(
            errors.ErrorCode.NOT_FOUND,
            f'no operation {request.method} {request.path}',
        )

    def _check_role(
        self, request: http_message.Request, account: accounts.Account
    ) -> None:
        is_read = request.method == 'GET'
        allowed = self._readers if is_read else self._writers
        if account.role not in allowed:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.FORBIDDEN,
                f'the role {account.role} does not permit this operation',
            )
