"""Delivery of Unix signals to tasks of the event loop."""

import contextlib
import signal
import socket

import curio


class SignalWaiter:
    """Lets a task wait for Unix signals.

    Explanation
    ===========

    A signal handler may run between any two instructions, so it only writes
    a byte to a socket that a task reads. Create it on the main thread, since
    only that may set signal handlers.

    :param numbers: signals to handle; their handlers are set at once
    """

    def __init__(self, *numbers: signal.Signals) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio.io.Socket(reader)
        for number in numbers:
            signal.signal(number, self._handle_signal)

    async def wait(self) -> signal.Signals:
        """Wait for the next signal and return it."""
        received = await self._reader.recv(1)
        return signal.Signals(received[0])

    def _handle_signal(self, number: int, frame: object) -> None:
        with contextlib.suppress(BlockingIOError):
            self._writer.send(bytes([number]))
