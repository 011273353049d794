"""One process of a deployment."""

import os
import pathlib
import random
import signal
import socket
import subprocess
import sys

STOP_TIMEOUT_SECONDS = 20.0
# What a process of the system logs once it takes signals.
_STARTED = b'"message": "started"'

# Below the range from which the system takes ports for outgoing
# connections, which could otherwise occupy a port before its listener.
_PORTS = range(12_000, 32_000)
_reservations: list[socket.socket] = []
_candidates = random.SystemRandom()


def free_address() -> str:
    """Return a loopback address whose port is reserved for this process.

    Explanation
    ===========

    The port stays bound here without listening. A listener may bind it as
    well, since both set ``SO_REUSEADDR``; another reservation may not.
    """
    while True:
        port = _candidates.choice(_PORTS)
        if _reserve(port):
            return f'127.0.0.1:{port}'


def _reserve(port: int) -> bool:
    probe = socket.socket()
    try:
        probe.bind(('127.0.0.1', port))
    except OSError:
        probe.close()
        return False
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    _reservations.append(probe)
    return True


class Process:
    """A Python module run as a process of its own.

    :param name: name of the log file
    :param folder: folder of the log files
    :param environment: variables besides those of this process
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
        """Process identifier."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, or the negative signal; nothing while it runs."""
        return None if self._popen is None else self._popen.poll()

    @property
    def log_path(self) -> pathlib.Path:
        """File with everything the process printed."""
        return self._folder / f'{self.name}.log'

    @property
    def has_started(self) -> bool:
        """Whether it has logged its latest start.

        Explanation
        ===========

        Until then a signal may meet the interpreter before the program has
        set what to do with it.
        """
        return self.log_path.read_bytes().count(_STARTED) >= self._starts

    def start(self) -> None:
        """Start the process."""
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
        """Send a signal."""
        if self.is_running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.is_running:
            self._popen.kill()
            self._popen.wait()

    def stop(self) -> int:
        """Ask the process to stop and return its exit code."""
        self.send_signal(signal.SIGTERM)
        return self.wait()

    def wait(self) -> int:
        """Wait for the end of the process and return its exit code."""
        return self._popen.wait(STOP_TIMEOUT_SECONDS)
