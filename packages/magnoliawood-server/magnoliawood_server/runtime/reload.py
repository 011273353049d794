"""Reads the settings file again when a signal asks for it."""

import collections.abc
import contextlib
import logging
import signal
import socket
import typing

import curio

Settings = typing.TypeVar('Settings')

_log = logging.getLogger(__name__)


class ReloadSignals(typing.Generic[Settings]):
    """Takes over changed settings on SIGHUP; a bad file changes nothing.

    Make it on the main thread.

    :param load: reads the settings; may raise ``OSError`` or ``ValueError``
    :param apply: takes them over
    """

    def __init__(
        self,
        load: collections.abc.Callable[[], Settings],
        apply: collections.abc.Callable[[Settings], None],
    ) -> None:
        self._load = load
        self._apply = apply
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio.io.Socket(reader)
        signal.signal(signal.SIGHUP, self._note)

    async def run(self) -> None:
        """Reload for ever."""
        while True:
            await self._reader.recv(1)
            try:
                settings = self._load()
            except (OSError, ValueError) as error:
                _log.error('settings not read', extra={'error': str(error)})
                continue
            self._apply(settings)
            _log.info('settings read again')

    def _note(self, number: int, frame: object) -> None:
        # A handler may run between any two instructions.
        with contextlib.suppress(BlockingIOError):
            self._writer.send(b'\0')
