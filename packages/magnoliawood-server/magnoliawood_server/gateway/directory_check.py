"""Confirms that the known upstreams are those of the store at this moment."""

import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood_server.gateway import store_watch
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

# Time for one answer of the store.
CHECK_TIMEOUT = datetime.timedelta(milliseconds=700)
# Minimum time between the starts of two questions to the store.
CHECK_INTERVAL = datetime.timedelta(milliseconds=50)
# The store answers at once, whether there are changes or not.
_NO_WAIT = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class DirectoryCheck:
    """Reads the changes that the watch has not delivered yet.

    Explanation
    ===========

    A host that was cut off or stood still does not notice that its directory
    is old: its watch delivers what it missed some time after the first
    request arrives. The store's answer to a question that was asked later is
    never older than that request. Those that wait share a question.

    :param watch: watch that applies changes to the directory
    """

    def __init__(
        self,
        client: objects.StoreClient,
        watch: store_watch.UpstreamWatch,
        clock: clocks.Clock,
    ) -> None:
        self._client = client
        self._watch = watch
        self._clock = clock
        self._lock = curio.Lock()
        self._asked_at: datetime.timedelta | None = None
        # Number of questions that have begun, and the outcome of the last.
        self._questions = 0
        self._is_current = False

    async def confirm(self) -> bool:
        """Return whether the directory has all that the store has now."""
        # A question that has begun before may miss the newest change.
        needed = self._questions + 1
        async with self._lock:
            if self._questions < needed:
                await self._pause()
                self._questions += 1
                self._asked_at = self._clock.monotonic()
                self._is_current = await self._ask()
            return self._is_current

    async def _pause(self) -> None:
        if self._asked_at is None:
            return
        elapsed = self._clock.monotonic() - self._asked_at
        if elapsed < CHECK_INTERVAL:
            await curio.sleep((CHECK_INTERVAL - elapsed).total_seconds())

    async def _ask(self) -> bool:
        try:
            async with curio.timeout_after(CHECK_TIMEOUT.total_seconds()):
                changes = await self._client.watch(
                    names.KIND_UPSTREAMS, self._watch.revision, _NO_WAIT
                )
        except (
            objects.StoreUnavailable,
            objects.HistoryCompacted,
            curio.TaskTimeout,
        ) as error:
            _log.info(
                'upstreams not confirmed by the store',
                extra={'error': str(error) or type(error).__name__},
            )
            return False
        if changes.changes:
            self._watch.apply_changes(changes)
        return True
