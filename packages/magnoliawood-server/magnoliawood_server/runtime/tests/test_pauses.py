import contextlib
import datetime

import curio
import pytest

from magnoliawood_server.runtime import pauses

SHORT = datetime.timedelta(milliseconds=5)


def collect(parts, interval):
    async def main():
        found = []
        async with contextlib.aclosing(
            pauses.with_pauses(parts, interval)
        ) as paused:
            async for part in paused:
                found.append(part)
        return found

    return curio.run(main)


def test_a_pause_yields_nothing_and_loses_no_part():
    async def parts():
        yield 1
        await curio.sleep(0.05)
        yield 2

    found = collect(parts(), SHORT)
    assert [part for part in found if part is not None] == [1, 2]
    assert None in found


def test_an_error_reaches_the_reader():
    async def parts():
        yield 1
        raise ValueError('broken')

    with pytest.raises(ValueError, match='broken'):
        collect(parts(), SHORT)


def test_leaving_early_closes_the_parts():
    closed = []

    async def parts():
        try:
            while True:
                yield 1
        finally:
            closed.append(True)

    async def main():
        async with contextlib.aclosing(pauses.with_pauses(parts())) as paused:
            await anext(paused)

    curio.run(main)
    assert closed
