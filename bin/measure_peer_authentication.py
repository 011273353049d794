"""Measure the cost of peer authentication: none, HMAC or mutual TLS."""

import argparse
import collections.abc
import dataclasses
import functools
import pathlib
import ssl
import subprocess
import tempfile
import time

import curio

from magnoliawood.telemetry import registry as registries
from magnoliawood_server.peer import handshake as handshakes
from magnoliawood_testing.cluster import process as processes

_PAYLOAD = b'x' * 200
_MICROSECONDS_PER_SECOND = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class AuthenticationMethod:
    """Method to authenticate a peer.

    :param client_context: TLS context of the client, if any
    :param server_context: TLS context of the listener, if any
    :param handshake: challenge-response on the open connection, if any
    """

    name: str
    client_context: ssl.SSLContext | None = None
    server_context: ssl.SSLContext | None = None
    handshake: handshakes.Handshake | None = None


async def _connect(
    method: AuthenticationMethod, address: str
) -> curio.io.Socket:
    host, _, port = address.rpartition(':')
    context = method.client_context
    if context is None:
        sock = await curio.open_connection(host, int(port))
    else:
        sock = await curio.open_connection(
            host, int(port), ssl=context, server_hostname='magnoliawood'
        )
    if method.handshake is not None:
        await method.handshake.as_client(sock)
    return sock


async def _measure(
    method: AuthenticationMethod, connections: int, echoes: int
) -> tuple[float, float]:
    """Return the processor time per connection and per echo, in µs."""
    address = processes.free_address()
    host, _, port = address.rpartition(':')

    async def serve(sock: curio.io.Socket, _: object) -> None:
        if method.handshake is not None:
            await method.handshake.as_server(sock)
        while data := await sock.recv(4096):
            await sock.sendall(data)

    server = await curio.spawn(
        functools.partial(
            curio.tcp_server,
            host,
            int(port),
            serve,
            backlog=512,
            ssl=method.server_context,
        )
    )
    await curio.sleep(0.1)
    started = time.process_time()
    for _ in range(connections):
        sock = await _connect(method, address)
        await _echo(sock, 1)
        await sock.close()
    opened = time.process_time()
    sock = await _connect(method, address)
    await _echo(sock, echoes)
    ended = time.process_time()
    await sock.close()
    await server.cancel()
    return (
        (opened - started) / connections * _MICROSECONDS_PER_SECOND,
        (ended - opened) / echoes * _MICROSECONDS_PER_SECOND,
    )


async def _echo(sock: curio.io.Socket, times: int) -> None:
    for _ in range(times):
        await sock.sendall(_PAYLOAD)
        received = 0
        while received < len(_PAYLOAD):
            received += len(await sock.recv(4096))


def _make_certificate(folder: pathlib.Path) -> None:
    subprocess.run(
        [
            *('openssl', 'req', '-x509', '-nodes', '-days', '1'),
            *('-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:P-256'),
            *('-keyout', 'key.pem', '-out', 'certificate.pem'),
            *('-subj', '/CN=magnoliawood'),
            *('-addext', 'subjectAltName=DNS:magnoliawood'),
        ],
        cwd=folder,
        check=True,
        capture_output=True,
    )


def _context(folder: pathlib.Path, purpose: ssl.Purpose) -> ssl.SSLContext:
    certificate = folder / 'certificate.pem'
    context = ssl.create_default_context(purpose, cafile=certificate)
    context.load_cert_chain(certificate, folder / 'key.pem')
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _methods(
    folder: pathlib.Path,
) -> collections.abc.Iterator[AuthenticationMethod]:
    _make_certificate(folder)
    secrets = handshakes.PeerSecrets(['secret-of-the-measurement'])
    yield AuthenticationMethod('nothing')
    yield AuthenticationMethod(
        'HMAC challenge',
        handshake=handshakes.Handshake(secrets, registries.Registry()),
    )
    yield AuthenticationMethod(
        'mutual TLS',
        _context(folder, ssl.Purpose.SERVER_AUTH),
        _context(folder, ssl.Purpose.CLIENT_AUTH),
    )


def main() -> None:
    """Print a table with the cost of each method."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--connections', type=int, default=500)
    parser.add_argument('--echoes', type=int, default=20_000)
    options = parser.parse_args()
    print('| method | µs per connection, both ends | µs per echo, both ends |')
    print('|---|---|---|')
    with tempfile.TemporaryDirectory() as folder:
        for method in _methods(pathlib.Path(folder)):
            connection, echo = curio.run(
                _measure, method, options.connections, options.echoes
            )
            print(f'| {method.name} | {connection:.0f} | {echo:.1f} |')


if __name__ == '__main__':
    main()
