"""Signals as events of the loop."""

import contextlib
import signal
import socket

import curio


class SignalWaiter:
    """Waits for signals.

    Explanation
    ===========

    A handler may run between any two instructions, so it only writes a byte
    to a socket that a task reads. Make it on the main thread.

    :param numbers: signals that it takes from now on
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio.io.Socket(reader)
        for number in numbers:
            signal.signal(number, self._note)

    async def wait(self) -> None:
        """Wait for the next signal."""
        await self._reader.recv(1)

    def _note(self, number: int, frame: object) -> None:
        with contextlib.suppress(BlockingIOError):
            self._writer.send(b'\0')
