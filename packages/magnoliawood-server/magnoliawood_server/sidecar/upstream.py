"""Interface between a sidecar and its upstream."""

import typing

from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood_server.sidecar import call_run


class Upstream(typing.Protocol):
    """Client of an upstream, independent of the upstream's protocol."""

    async def run(self, run: call_run.CallRun) -> calls.CallOutcome:
        """Run a call and append text to ``run.response`` as it arrives."""
        ...

    async def identify(self) -> str:
        """Return the identity of the process, empty if it reports none.

        :raises OSError: if the request fails
        :raises curio.TaskTimeout: if there is no response in time
        """
        ...

    async def release(self, program: identity.ProgramKey) -> None:
        """Free the upstream's cache of a program.

        :raises OSError: if the request fails or is rejected
        :raises curio.TaskTimeout: if there is no response in time
        """
        ...

    async def cached_programs(self) -> list[identity.ProgramKey]:
        """Return the programs that the upstream has cached.

        :raises OSError: if the request fails
        :raises curio.TaskTimeout: if there is no response in time
        """
        ...

    async def cache_tokens(self) -> int | None:
        """Return the size of the prefix cache, ``None`` if unknown.

        An upstream without a cache has size 0.
        """
        ...
