"""Reads the settings file again when a signal asks for it."""

import collections.abc
import logging
import signal
import typing

from magnoliawood_server.runtime import signals

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
        self._signals = signals.SignalWaiter(signal.SIGHUP)

    async def run(self) -> None:
        """Reload for ever."""
        while True:
            await self._signals.wait()
            try:
                settings = self._load()
            except (OSError, ValueError) as error:
                _log.error('settings not read', extra={'error': str(error)})
                continue
            self._apply(settings)
            _log.info('settings read again')
