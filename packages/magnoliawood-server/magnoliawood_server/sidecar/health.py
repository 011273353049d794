"""Health and process identity of the upstream."""

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
    """Monitors the process of the upstream.

    Explanation
    ===========

    A lost connection alone does not distinguish a crash from a network
    fault. The process has exited if its port refuses connections afterwards
    or if another process responds there. If the port neither refuses
    connections nor responds, the state of the process is unknown.
    """

    def __init__(
        self, upstream: upstreams.Upstream, clock: clocks.Clock
    ) -> None:
        self._upstream = upstream
        self._clock = clock
        self._is_up = True
        self._process_id = ''

    @property
    def is_up(self) -> bool:
        """Whether the upstream accepted connections at the last check."""
        return self._is_up

    @property
    def process_id(self) -> str:
        """Identity of the upstream's process, empty if unknown."""
        return self._process_id

    async def watch_forever(self) -> None:
        """Check the upstream periodically until cancelled."""
        while True:
            await self.refresh()
            await curio.sleep(POLL_INTERVAL.total_seconds())

    async def refresh(self) -> None:
        """Check the upstream once and update the state."""
        try:
            self._process_id = (
                await self._upstream.identify() or self._process_id
            )
            is_up = True
        except http_client.ConnectFailed:
            is_up = False
        except (OSError, ValueError, curio.TaskTimeout):
            return
        if is_up != self._is_up:
            self._is_up = is_up
            _log.info('upstream availability changed', extra={'up': is_up})

    async def has_exited(self, process_id: str) -> bool:
        """Return whether a process of the upstream has exited.

        Probes the upstream until the result is clear or
        :data:`PROBE_TIMEOUT` has passed.

        :param process_id: identity of the process, empty if unknown
        :returns: false also if the state of the process remains unknown
        """
        deadline = self._clock.monotonic() + PROBE_TIMEOUT
        while self._clock.monotonic() < deadline:
            try:
                current_id = await self._upstream.identify()
                return bool(
                    process_id and current_id and current_id != process_id
                )
            except http_client.ConnectFailed as error:
                if isinstance(error.__cause__, ConnectionRefusedError):
                    return True
            except (OSError, ValueError, curio.TaskTimeout):
                _log.debug('probe of the upstream failed')
            await curio.sleep(PROBE_INTERVAL.total_seconds())
        return False
