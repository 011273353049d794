"""Frees the upstream's memory of programs that need it no more."""

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
    """Releases programs, each once its calls here have ended.

    Explanation
    ===========

    A release before the end of a call would be undone by that call. One
    that fails is tried again until the upstream confirms it.

    :param has_calls: whether calls of a program wait or run
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
        """Release a program as soon as its calls have ended."""
        self._pending.add(program)
        await self._added.set()

    async def cached_programs(self) -> list[identity.ProgramKey]:
        """Return the programs that the upstream itself says it holds.

        :raises MagnoliawoodError: with ``upstream_unavailable``
        """
        try:
            return await self._upstream.cached_programs()
        except (OSError, ValueError, curio.TaskTimeout) as error:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UPSTREAM_UNAVAILABLE, str(error)
            ) from error

    async def release_forever(self) -> None:
        """Release pending programs again and again."""
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
