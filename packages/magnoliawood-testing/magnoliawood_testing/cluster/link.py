"""Links of a deployment that run through the fault-injecting proxy."""

import collections.abc
import dataclasses
import http.client
import json

from magnoliawood_testing.cluster import process as processes

CALLERS = 'callers'
ENTRIES = 'entries'
GATEWAYS = 'gateways'
PEERS = 'peers'
STORE = 'store'


@dataclasses.dataclass(frozen=True, slots=True)
class LinkName:
    """Which connections a proxy stands in.

    Explanation
    ===========

    The client is :data:`CALLERS` for HTTP of an entry, :data:`ENTRIES` for
    the peer address of an entry or sidecar, since all entries find it on one
    host list, and a process by name otherwise.
    """

    client: str
    server: str


@dataclasses.dataclass(slots=True)
class Link:
    """A proxy on one link.

    :param address: where the client connects
    :param control: address of the proxy's control interface
    """

    process: processes.Process
    address: str
    control: str


class Links:
    """The proxies of a deployment.

    :param make: makes the process of a stand-in from its name, module and
        arguments
    :param wanted: pairs of client and server with a proxy between them
    :param proxy_all: whether each link gets a proxy
    """

    def __init__(
        self,
        make: collections.abc.Callable[..., processes.Process],
        wanted: tuple[tuple[str, str], ...] = (),
        proxy_all: bool = False,
    ) -> None:
        self._make = make
        self._wanted = {LinkName(*pair) for pair in wanted}
        self._proxy_all = proxy_all
        self._links: dict[LinkName, Link] = {}

    def all(self) -> list[Link]:
        """Return the links that were placed."""
        return list(self._links.values())

    def names(self) -> list[LinkName]:
        """Return the names of the links that were placed."""
        return list(self._links)

    def place(self, client: str, server: str, target: str) -> str:
        """Put a proxy on a wanted link.

        :returns: where the client connects
        """
        name = LinkName(client, server)
        if not self._proxy_all and name not in self._wanted:
            return target
        link = Link(
            self._make(
                f'proxy-{client}-{server}',
                'magnoliawood_testing.standins.proxy',
                {
                    'listen': (address := processes.free_address()),
                    'target': target,
                    'control': (control := processes.free_address()),
                },
            ),
            address,
            control,
        )
        self._links[name] = link
        return address

    def address(self, client: str, server: str, default: str) -> str:
        """Return where a client reaches a server.

        :param default: address of the server itself
        """
        link = self._links.get(LinkName(client, server))
        return default if link is None else link.address

    def command(
        self, client: str, server: str, action: str, **fields: object
    ) -> None:
        """Ask a link's proxy for ``faults``, ``freeze`` or ``cut``."""
        link = self._links[LinkName(client, server)]
        connection = http.client.HTTPConnection(link.control, timeout=10)
        try:
            connection.request(
                'POST', f'/control/{action}', json.dumps(fields)
            )
            response = connection.getresponse()
            assert response.status == 200, response.read()
        finally:
            connection.close()
