"""Measure what proving peers costs: none, HMAC challenge, mutual TLS."""

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
class Way:
    """One way to admit a peer.

    :param client_context: TLS of the side that connects, if any
    :param server_context: TLS of the listener, if any
    :param handshake: challenge-response on the open connection, if any
    """

    name: str
    client_context: ssl.SSLContext | None = None
    server_context: ssl.SSLContext | None = None
    handshake: handshakes.Handshake | None = None


async def _connect(way: Way, address: str) -> curio.io.Socket:
    host, _, port = address.rpartition(':')
    context = way.client_context
    if context is None:
        sock = await curio.open_connection(host, int(port))
    else:
        sock = await curio.open_connection(
            host, int(port), ssl=context, server_hostname='magnoliawood'
        )
    if way.handshake is not None:
        await way.handshake.as_client(sock)
    return sock


async def _measure(
    way: Way, connections: int, echoes: int
) -> tuple[float, float]:
    """Return microseconds of processor time per connection and echo."""
    address = processes.free_address()
    host, _, port = address.rpartition(':')

    async def serve(sock: curio.io.Socket, _: object) -> None:
        if way.handshake is not None:
            await way.handshake.as_server(sock)
        while data := await sock.recv(4096):
            await sock.sendall(data)

    server = await curio.spawn(
        functools.partial(
            curio.tcp_server,
            host,
            int(port),
            serve,
            backlog=512,
            ssl=way.server_context,
        )
    )
    await curio.sleep(0.1)
    started = time.process_time()
    for _ in range(connections):
        sock = await _connect(way, address)
        await _echo(sock, 1)
        await sock.close()
    opened = time.process_time()
    sock = await _connect(way, address)
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


def _ways(folder: pathlib.Path) -> collections.abc.Iterator[Way]:
    _make_certificate(folder)
    secrets = handshakes.PeerSecrets(['secret-of-the-measurement'])
    yield Way('nothing')
    yield Way(
        'HMAC challenge',
        handshake=handshakes.Handshake(secrets, registries.Registry()),
    )
    yield Way(
        'mutual TLS',
        _context(folder, ssl.Purpose.SERVER_AUTH),
        _context(folder, ssl.Purpose.CLIENT_AUTH),
    )


def main() -> None:
    """Print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--connections', type=int, default=500)
    parser.add_argument('--echoes', type=int, default=20_000)
    options = parser.parse_args()
    print('| way | µs a connection, both ends | µs an echo, both ends |')
    print('|---|---|---|')
    with tempfile.TemporaryDirectory() as folder:
        for way in _ways(pathlib.Path(folder)):
            connection, echo = curio.run(
                _measure, way, options.connections, options.echoes
            )
            print(f'| {way.name} | {connection:.0f} | {echo:.1f} |')


if __name__ == '__main__':
    main()
