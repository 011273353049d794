"""Release of the cache of programs that have ended."""

from magnoliawood.core import errors
from magnoliawood.programs import call as calls
from magnoliawood.programs import program as programs
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools


class CacheReleaser:
    """Releases a program's cache at the sidecars that ran its turns."""

    def __init__(
        self,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        metrics: registries.Registry,
    ) -> None:
        self._sidecars = sidecars
        self._pool = pool
        self._metrics = metrics

    async def release(self, program: programs.Program) -> None:
        """Release the cache of an ended program on all engines that it used.

        A release that fails is counted and not repeated here.
        """
        names = {
            call.upstream
            for call in program.calls
            if isinstance(call.request, calls.ModelRequest)
        }
        for name in sorted(names):
            await self._send(name, messages.ReleaseProgram(program.key))

    async def _send(self, name: str, message: messages.ReleaseProgram) -> None:
        sidecar = self._sidecars.find(name)
        if sidecar is None:
            return
        try:
            await self._pool.request(
                sidecar.host.address,
                message,
                sidecar_directory.RESPONSE_TIMEOUT,
            )
        except errors.MagnoliawoodError:
            self._metrics.count('releases_failed_total')
