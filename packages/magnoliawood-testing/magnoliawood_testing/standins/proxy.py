"""Fault-injecting TCP proxy."""

import argparse
import typing

import curio

from magnoliawood.budgets import client_budget
from magnoliawood_server.http import connection as connections
from magnoliawood_server.http import message as http_message
from magnoliawood_server.runtime import listener
from magnoliawood_testing.standins import control

_READ_SIZE_BYTES = 64 * 1024
_FREEZE_POLL_SECONDS = 0.02
_SERVER_POLL_SECONDS = 0.02

Direction = typing.Literal['none', 'to_server', 'to_client', 'both']


class ProxyFaults(control.Faults):
    """Faults of the proxied link.

    :param delay_seconds: delay of each received chunk, in both directions
    :param refuse: whether new connections are closed immediately
    :param drop_replies: number of chunks to the client to drop; the
        connection of each dropped chunk is cut
    :param frozen: direction in which new connections forward no data from
        their start
    """

    delay_seconds: float = 0.0
    refuse: bool = False
    drop_replies: int = 0
    frozen: Direction = 'none'


class _Link:
    """Proxied connection with a socket to either side."""

    def __init__(
        self, client: curio.io.Socket, server: curio.io.Socket
    ) -> None:
        self.client = client
        self.server = server
        self.frozen: Direction = 'none'
        self.is_cut = False

    def is_frozen(self, direction: str) -> bool:
        return self.frozen in ('both', direction)

    def cut(self) -> None:
        self.is_cut = True
        for sock in (self.client, self.server):
            try:
                sock._socket.shutdown(2)
            except OSError:
                pass


class Proxy:
    """TCP proxy that forwards connections to one server with faults.

    Connections are refused while the server refuses them, as they are without
    a proxy.

    :param listen: address of the proxy
    :param target: address of the server
    """

    def __init__(self, listen: str, target: str) -> None:
        host, _, port = target.rpartition(':')
        self._host = host
        self._port = int(port)
        self._links: set[_Link] = set()
        self._listener = listener.Listener(listen, self.serve_client)
        self._is_server_down = curio.Event()
        self.faults = ProxyFaults()

    async def run(self) -> None:
        """Forward connections until the task is cancelled."""
        while True:
            async with curio.TaskGroup(wait=any) as group:
                await group.spawn(self._listener.run)
                await group.spawn(self._is_server_down.wait)
            while not await self._accepts():
                await curio.sleep(_SERVER_POLL_SECONDS)
            self._is_server_down.clear()

    async def serve_client(
        self, client: curio.io.Socket, holding: client_budget.Holding
    ) -> None:
        """Forward one connection until either side closes it."""
        if self.faults.refuse:
            return
        try:
            server = await curio.open_connection(self._host, self._port)
        except ConnectionRefusedError:
            await self._refuse_connections()
            return
        async with server:
            for sock in (client, server):
                connections.set_socket_options(sock._socket)
            link = _Link(client, server)
            link.frozen = self.faults.frozen
            self._links.add(link)
            try:
                async with curio.TaskGroup(wait=any) as group:
                    await group.spawn(
                        self._forward, link, client, server, 'to_server'
                    )
                    await group.spawn(
                        self._forward, link, server, client, 'to_client'
                    )
            finally:
                self._links.discard(link)

    async def handle(
        self, request: http_message.Request
    ) -> http_message.Response:
        """Serve the control interface: change faults, freeze or cut links."""
        match (request.method, request.path):
            case ('POST', '/control/faults'):
                self.faults = control.updated_faults(self.faults, request)
            case ('POST', '/control/freeze'):
                direction = control.body_of(request)['direction']
                for link in self._links:
                    link.frozen = direction
            case ('POST', '/control/cut'):
                for link in list(self._links):
                    link.cut()
            case _:
                raise control.unknown_path_error(request)
        return http_message.Response.from_json({'links': len(self._links)})

    async def _forward(
        self,
        link: _Link,
        source: curio.io.Socket,
        target: curio.io.Socket,
        direction: str,
    ) -> None:
        is_lost = False
        try:
            while chunk := await source.recv(_READ_SIZE_BYTES):
                if not await self._apply_faults(link, direction):
                    return
                await target.sendall(chunk)
        except OSError:
            is_lost = True
        # Before the client sees the end of the connection and reconnects.
        if not await self._accepts():
            await self._refuse_connections()
        if is_lost:
            link.cut()
        while link.is_frozen(direction) and not link.is_cut:
            await curio.sleep(_FREEZE_POLL_SECONDS)

    async def _refuse_connections(self) -> None:
        await self._listener.stop()
        await self._is_server_down.set()

    async def _accepts(self) -> bool:
        """Return whether the server accepts connections."""
        try:
            server = await curio.open_connection(self._host, self._port)
        except OSError:
            return False
        await server.close()
        return True

    async def _apply_faults(self, link: _Link, direction: str) -> bool:
        if self.faults.delay_seconds:
            await curio.sleep(self.faults.delay_seconds)
        if direction == 'to_client' and self.faults.drop_replies:
            self.faults.drop_replies -= 1
            link.cut()
            return False
        while link.is_frozen(direction) and not link.is_cut:
            await curio.sleep(_FREEZE_POLL_SECONDS)
        return not link.is_cut


async def _run(options: argparse.Namespace) -> None:
    proxy = Proxy(options.listen, options.target)
    async with curio.TaskGroup() as group:
        await group.spawn(proxy.run)
        await group.spawn(listener.serve_http, options.control, proxy.handle)


def main() -> None:
    """Run the proxy and its control interface until the process ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', required=True)
    parser.add_argument('--target', required=True)
    parser.add_argument('--control', required=True)
    curio.run(_run, parser.parse_args())


if __name__ == '__main__':
    main()
