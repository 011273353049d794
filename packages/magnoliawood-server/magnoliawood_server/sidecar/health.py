"""Whether the upstream's process lives, and which process it is."""

import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood_server.http import client as http_client
from magnoliawood_server.sidecar import upstream as upstreams

POLL_INTERVAL = datetime.timedelta(milliseconds=500)
PROBE_INTERVAL = datetime.timedelta(milliseconds=50)
PROBE_TIMEOUT = datetime.timedelta(seconds=2)

_log = logging.getLogger(__name__)


class UpstreamHealth:
    """Follows the upstream's process.

    Explanation
    ===========

    A lost connection alone does not tell a crash from a broken link. The
    process is gone if its port refuses connections afterwards, or if
    another process answers there. A port that neither refuses nor answers
    proves nothing.
    """

    def __init__(
        self, upstream: upstreams.Upstream, clock: clocks.Clock
    ) -> None:
        self._upstream = upstream
        self._clock = clock
        self._is_up = True
        self._run = ''

    @property
    def is_up(self) -> bool:
        """Whether the upstream took connections when last asked."""
        return self._is_up

    @property
    def run(self) -> str:
        """Identity of the process, empty if unknown."""
        return self._run

    async def watch_forever(self) -> None:
        """Ask again and again."""
        while True:
            await self.refresh()
            await curio.sleep(POLL_INTERVAL.total_seconds())

    async def refresh(self) -> None:
        """Ask the upstream once."""
        try:
            self._run = await self._upstream.identify() or self._run
            is_up = True
        except http_client.ConnectFailed:
            is_up = False
        except (OSError, ValueError, curio.TaskTimeout):
            return
        if is_up != self._is_up:
            self._is_up = is_up
            _log.info('upstream changed', extra={'up': is_up})

    async def has_exited(self, run: str) -> bool:
        """Whether the process that was ``run`` is gone."""
        limit = self._clock.monotonic() + PROBE_TIMEOUT
        while self._clock.monotonic() < limit:
            try:
                found = await self._upstream.identify()
                return bool(run and found and found != run)
            except http_client.ConnectFailed as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return True
            except (OSError, ValueError, curio.TaskTimeout):
                _log.debug('probe of the upstream failed')
            await curio.sleep(PROBE_INTERVAL.total_seconds())
        return False
