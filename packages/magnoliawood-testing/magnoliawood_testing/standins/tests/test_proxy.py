import curio

from magnoliawood_testing.cluster import process as processes
from magnoliawood_testing.standins import proxy as proxies


async def _echo(client, _):
    while data := await client.recv(1):
        await client.sendall(data)


async def _connect(address):
    host, _, port = address.rpartition(':')
    return await curio.open_connection(host, int(port))


async def _connect_when_accepted(address):
    while True:
        try:
            return await _connect(address)
        except ConnectionRefusedError:
            await curio.sleep(0.01)


async def _serve(address):
    """Start a server and return its task once it accepts connections."""
    host, _, port = address.rpartition(':')
    server = await curio.spawn(curio.tcp_server, host, int(port), _echo)
    await (await _connect_when_accepted(address)).close()
    return server


async def _reconnect_to_stopped_server():
    """Return whether the proxy refuses a connection after the first ends."""
    listen, target = processes.free_address(), processes.free_address()
    proxy = await curio.spawn(proxies.Proxy(listen, target).run)
    server = await _serve(target)
    client = await _connect_when_accepted(listen)
    await client.sendall(b'x')
    assert await client.recv(1) == b'x'
    await server.cancel()
    assert await client.recv(1) == b''
    try:
        await _connect(listen)
        is_refused = False
    except ConnectionRefusedError:
        is_refused = True
    server = await _serve(target)
    client = await _connect_when_accepted(listen)
    await client.sendall(b'y')
    assert await client.recv(1) == b'y'
    await server.cancel()
    await proxy.cancel()
    return is_refused


# Guards against a proxy that accepts connections for a server that is down:
# each of them looked like another crash of the server.
def test_connections_are_refused_while_the_server_is_down():
    assert curio.run(_reconnect_to_stopped_server)
