"""Links of a deployment that run through fault-injecting proxies."""

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
    """Client and server of the connections that a proxy forwards.

    Explanation
    ===========

    The client is :data:`CALLERS` for the HTTP address of an entry and
    :data:`ENTRIES` for the peer address of an entry or sidecar, since all
    entries read that address from the same list of hosts. Otherwise it is the
    name of a process.
    """

    client: str
    server: str


@dataclasses.dataclass(slots=True)
class Link:
    """Proxy process of one link.

    :param address: address to which the client connects
    :param control: address of the proxy's control interface
    """

    process: processes.Process
    address: str
    control: str


class Links:
    """The proxied links of a deployment.

    :param make_process: creates the process of a stand-in from its name,
        module and arguments
    :param proxied_pairs: pairs of client and server that get a proxy
    :param proxy_all: whether each link gets a proxy
    """

    def __init__(
        self,
        make_process: collections.abc.Callable[..., processes.Process],
        proxied_pairs: tuple[tuple[str, str], ...] = (),
        proxy_all: bool = False,
    ) -> None:
        self._make_process = make_process
        self._proxied_names = {LinkName(*pair) for pair in proxied_pairs}
        self._proxy_all = proxy_all
        self._links: dict[LinkName, Link] = {}

    def all(self) -> list[Link]:
        """Return all links that have a proxy."""
        return list(self._links.values())

    def names(self) -> list[LinkName]:
        """Return the names of all links that have a proxy."""
        return list(self._links)

    def add_proxy(self, client: str, server: str, target: str) -> str:
        """Create the proxy of a link if the link is to have one.

        :param target: address of the server
        :returns: address to which the client connects
        """
        name = LinkName(client, server)
        if not self._proxy_all and name not in self._proxied_names:
            return target
        link = Link(
            self._make_process(
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
        """Return the address to which a client of a server connects.

        :param default: address of the server, used without a proxy
        """
        link = self._links.get(LinkName(client, server))
        return default if link is None else link.address

    def command(
        self, client: str, server: str, action: str, **fields: object
    ) -> None:
        """Send a command to the proxy of a link.

        :param action: ``faults``, ``freeze`` or ``cut``
        :param fields: fields of the command's JSON body
        """
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
