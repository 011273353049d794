"""Listener: what becomes of its connections at the end of a process."""

import contextlib
import socket

import curio

from magnoliawood_server.runtime import listener


def test_connection_that_begins_tasks_does_not_outlive_its_listener():
    """Guards against a stop under load that ends with exit code 1."""
    with contextlib.closing(socket.socket()) as reservation:
        reservation.bind(('127.0.0.1', 0))
        port = reservation.getsockname()[1]
    tasks_begun = []

    async def serve(sock, holding):
        while True:
            tasks_begun.append(await curio.spawn(curio.sleep, 60, daemon=True))
            await curio.sleep(0)

    async def main():
        listening = listener.Listener(f'127.0.0.1:{port}', serve)
        running = await curio.spawn(listening.run)
        while True:
            with contextlib.suppress(ConnectionRefusedError):
                sock = await curio.open_connection('127.0.0.1', port)
                break
            await curio.sleep(0)
        async with sock:
            while not tasks_begun:
                await curio.sleep(0)
            await running.cancel()
        return 'ended'

    assert curio.run(main) == 'ended'
