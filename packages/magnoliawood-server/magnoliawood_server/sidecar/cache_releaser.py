"""Release of cache space in the upstream for programs that ended."""

import collections.abc
import datetime
import logging

import curio

from magnoliawood.core import errors
from magnoliawood.programs import identity
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.sidecar import upstream as upstreams

RETRY_INTERVAL = datetime.timedelta(milliseconds=200)

_log = logging.getLogger(__name__)


class CacheReleaser:
    """Releases the cache of programs once their calls have ended.

    Explanation
    ===========

    A call that ends after the release would fill the cache again, so a
    release waits until the sidecar has no more calls of the program. A
    failed release is retried until the upstream confirms it.

    :param has_calls: returns whether calls of a program are queued or running
    """

    def __init__(
        self,
        upstream: upstreams.Upstream,
        has_calls: collections.abc.Callable[[identity.ProgramKey], bool],
        metrics: registries.Registry,
    ) -> None:
        self._upstream = upstream
        self._has_calls = has_calls
        self._metrics = metrics
        self._pending: set[identity.ProgramKey] = set()
        self._added = curio.Event()

    async def add(self, program: identity.ProgramKey) -> None:
        """Schedule the release of a program's cache."""
        self._pending.add(program)
        await self._added.set()

    async def cached_programs(self) -> list[identity.ProgramKey]:
        """Return the programs that the upstream reports as cached.

        :raises MagnoliawoodError: with ``upstream_unavailable``
        """
        try:
            return await self._upstream.cached_programs()
        except (OSError, ValueError, curio.TaskTimeout) as error:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UPSTREAM_UNAVAILABLE, str(error)
            ) from error

    async def release_forever(self) -> None:
        """Release pending programs until cancelled."""
        while True:
            await self._added.wait()
            self._added.clear()
            ready = [p for p in self._pending if not self._has_calls(p)]
            for program in ready:
                await self._release(program)
            if self._pending:
                await curio.sleep(RETRY_INTERVAL.total_seconds())
                await self._added.set()

    async def _release(self, program: identity.ProgramKey) -> None:
        try:
            await self._upstream.release(program)
        except (OSError, curio.TaskTimeout):
            self._metrics.count('releases_failed_total')
            _log.debug('cache release failed')
            return
        self._metrics.count('releases_total')
        self._pending.discard(program)
