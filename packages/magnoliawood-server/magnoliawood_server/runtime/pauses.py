"""Signs of life in an answer that pauses."""

import collections.abc
import contextlib
import datetime
import typing

import curio

PAUSE_INTERVAL = datetime.timedelta(seconds=1)
COMMENT = b': waiting\n\n'

Part = typing.TypeVar('Part')


class _End:
    """Marks the end of the parts, by an error or without one."""

    def __init__(self, error: Exception | None) -> None:
        self.error = error


async def with_pauses(
    parts: collections.abc.AsyncGenerator[Part],
    interval: datetime.timedelta = PAUSE_INTERVAL,
) -> collections.abc.AsyncGenerator[Part | None]:
    """Yield the parts, and nothing after each interval without one.

    Explanation
    ===========

    A timeout would end the generator that it interrupts, so a task of its
    own reads the parts, at most one ahead of the reader.

    :raises Exception: as ``parts`` does
    """
    queue = curio.Queue(maxsize=1)
    task = await curio.spawn(_read, parts, queue, daemon=True)
    try:
        while True:
            part = None
            async with curio.ignore_after(interval.total_seconds()):
                part = await queue.get()
            if isinstance(part, _End):
                if part.error is not None:
                    raise part.error
                return
            yield part
    finally:
        await task.cancel()


async def _read(
    parts: collections.abc.AsyncGenerator[typing.Any], queue: curio.Queue
) -> None:
    end = _End(None)
    async with contextlib.aclosing(parts):
        try:
            async for part in parts:
                await queue.put(part)
        except Exception as error:
            end = _End(error)
    await queue.put(end)
