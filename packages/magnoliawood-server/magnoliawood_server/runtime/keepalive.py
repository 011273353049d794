"""Signs of life in an answer that pauses."""

import collections.abc
import contextlib
import datetime
import typing

import curio

KEEPALIVE_INTERVAL = datetime.timedelta(seconds=1)
KEEPALIVE_COMMENT = b': waiting\n\n'

Part = typing.TypeVar('Part')


async def with_keepalive(
    parts: collections.abc.AsyncGenerator[Part],
    interval: datetime.timedelta = KEEPALIVE_INTERVAL,
) -> collections.abc.AsyncGenerator[Part | None]:
    """Yield the parts, and nothing first if they don't begin in time.

    Explanation
    ===========

    A timeout would end the generator that it interrupts, so a task of its
    own waits for the first part.

    :raises Exception: as ``parts`` does
    """
    async with contextlib.aclosing(parts):
        task = await curio.spawn(_first, parts)
        try:
            async with curio.ignore_after(interval.total_seconds()):
                await task.wait()
            if not task.terminated:
                yield None
            await task.wait()
        finally:
            await task.cancel()
        # Raises what the first part raised.
        first = task.result
        if first is None:
            return
        yield first
        async for part in parts:
            yield part


async def _first(
    parts: collections.abc.AsyncGenerator[Part],
) -> Part | None:
    return await anext(parts, None)
