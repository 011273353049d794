"""What a sidecar runs calls on."""

import typing

from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood_server.sidecar import call_run


class Upstream(typing.Protocol):
    """An upstream behind its own protocol."""

    async def run(self, run: call_run.CallRun) -> calls.CallOutcome:
        """Run a call, appending to ``run.answer`` as text arrives."""
        ...

    async def identify(self) -> str:
        """Return the identity of the process, empty if it tells none.

        :raises OSError: if it gives no answer
        :raises curio.TaskTimeout: if it gives none in time
        """
        ...

    async def release(self, program: identity.ProgramKey) -> None:
        """Free what the upstream holds for a program.

        :raises OSError: if it was not done
        :raises curio.TaskTimeout: if there was no answer in time
        """
        ...

    async def cached_programs(self) -> list[identity.ProgramKey]:
        """Return the programs that the upstream holds memory for.

        :raises OSError: if it gives no answer
        :raises curio.TaskTimeout: if it gives none in time
        """
        ...

    async def cache_tokens(self) -> int | None:
        """Return the size of its prefix cache, or nothing if unknown."""
        ...
