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

    async def release(self, program: identity.ProgramKey) -> None:
        """Free what the upstream holds for a program."""
        ...

    async def cache_tokens(self) -> int | None:
        """Return the size of its prefix cache, or nothing if unknown."""
        ...
