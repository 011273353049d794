"""Reload of the settings file on SIGHUP."""

import collections.abc
import logging
import signal
import typing

from magnoliawood_server.runtime import signals

Settings = typing.TypeVar('Settings')

_log = logging.getLogger(__name__)


class ReloadSignals(typing.Generic[Settings]):
    """Reloads the settings on SIGHUP; an invalid file changes nothing.

    Create it on the main thread, since only that may set signal handlers.

    :param load: reads the settings; may raise ``OSError`` or ``ValueError``
    :param apply: called with the settings that were read
    """

    def __init__(
        self,
        load: collections.abc.Callable[[], Settings],
        apply: collections.abc.Callable[[Settings], None],
    ) -> None:
        self._load = load
        self._apply = apply
        self._signals = signals.SignalWaiter(signal.SIGHUP)
        # The launcher holds the signal while the program is loaded.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    async def run(self) -> None:
        """Reload the settings at each signal until cancelled."""
        while True:
            await self._signals.wait()
            try:
                settings = self._load()
            except (OSError, ValueError) as error:
                _log.error(
                    'settings file not reloaded', extra={'error': str(error)}
                )
                continue
            self._apply(settings)
            _log.info('settings read again')
