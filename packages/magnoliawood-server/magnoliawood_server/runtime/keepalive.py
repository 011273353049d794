"""Keep-alive signals before a delayed streamed response."""

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
    """Yield the parts, preceded by ``None`` if the first one is late.

    Explanation
    ===========

    A timeout would end a generator that it interrupts, so a separate task
    waits for the first part.

    :param parts: parts of the response; closed at the end
    :param interval: time after which the first part counts as late
    :raises Exception: whatever ``parts`` raises
    """
    async with contextlib.aclosing(parts):
        task = await curio.spawn(_first_part, parts)
        try:
            async with curio.ignore_after(interval.total_seconds()):
                await task.wait()
            if not task.terminated:
                yield None
            await task.wait()
        finally:
            await task.cancel()
        # Re-raises an exception that ``parts`` raised.
        first = task.result
        if first is None:
            return
        yield first
        async for part in parts:
            yield part


async def _first_part(
    parts: collections.abc.AsyncGenerator[Part],
) -> Part | None:
    return await anext(parts, None)
