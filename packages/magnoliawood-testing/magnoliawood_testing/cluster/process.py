"""Processes of a deployment and the addresses at which they listen."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

STOP_TIMEOUT_SECONDS = 20.0
# Part of the log record that a process writes once it handles signals.
_STARTED = b'"message": "started"'

# Below the range from which the operating system assigns ports to outgoing
# connections, which could otherwise occupy a port before its listener does.
_PORTS = range(12_000, 32_000)
_reservations: list[socket.socket] = []
_port_random = random.SystemRandom()


def free_address() -> str:
    """Return a loopback address whose port is reserved for this process.

    Explanation
    ===========

    A socket of this process stays bound to the port without listening. A
    listener can bind the port as well, since both sockets set
    ``SO_REUSEADDR``. Another reservation cannot, since it binds before it
    sets the option.
    """
    while True:
        port = _port_random.choice(_PORTS)
        if _reserve(port):
            return f'127.0.0.1:{port}'


def _reserve(port: int) -> bool:
    reservation = socket.socket()
    try:
        reservation.bind(('127.0.0.1', port))
    except OSError:
        reservation.close()
        return False
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(reservation)
    return True


class Process:
    """A Python module that runs as a separate process.

    :param name: name of the process and, with ``.log``, of its log file
    :param arguments: values of the command-line flags by name
    :param folder: folder of the log files
    :param environment: variables in addition to those of this process
    """

    def __init__(
        self,
        name: str,
        module: str,
        arguments: dict[str, object],
        folder: pathlib.Path,
        command: str = '',
        environment: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self._folder = folder
        flags = [
            f'--{key.replace("_", "-")}={value}'
            for key, value in arguments.items()
        ]
        self._command = [
            sys.executable,
            '-m',
            module,
            *([command] if command else []),
            *flags,
        ]
        self._environment = environment or {}
        self._popen: subprocess.Popen | None = None
        self._starts = 0

    @property
    def pid(self) -> int:
        """Identifier of the operating-system process."""
        return self._popen.pid

    @property
    def starts(self) -> int:
        """Number of times that the process was started."""
        return self._starts

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not terminated."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, or the negated signal number; ``None`` while it runs."""
        return None if self._popen is None else self._popen.poll()

    @property
    def log_path(self) -> pathlib.Path:
        """File with the standard output and error output of the process."""
        return self._folder / f'{self.name}.log'

    @property
    def has_started(self) -> bool:
        """Whether the process has logged its latest start.

        Explanation
        ===========

        A signal sent earlier may arrive before the program has installed its
        signal handlers.
        """
        return self.log_path.read_bytes().count(_STARTED) >= self._starts

    def start(self) -> None:
        """Start the process with its output appended to the log file."""
        self._starts += 1
        environment = {
            **os.environ,
            'PYTHONUNBUFFERED': '1',
            **self._environment,
        }
        with self.log_path.open('ab') as log:
            self._popen = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=environment,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process if it is running and wait until it terminates."""
        if self.is_running:
            self._popen.kill()
            self._popen.wait()

    def stop(self) -> int:
        """Send ``SIGTERM``, wait for termination and return the exit code."""
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait until the process terminates and return its exit code."""
        return self._popen.wait(STOP_TIMEOUT_SECONDS)
