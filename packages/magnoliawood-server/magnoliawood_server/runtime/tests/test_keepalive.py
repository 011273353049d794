import contextlib
import datetime

import curio
import pytest

from magnoliawood_server.runtime import keepalive

SHORT = datetime.timedelta(milliseconds=5)


def collect(parts, interval=keepalive.KEEPALIVE_INTERVAL):
    async def main():
        found = []
        async with contextlib.aclosing(
            keepalive.with_keepalive(parts, interval)
        ) as paused:
            async for part in paused:
                found.append(part)
        return found

    return curio.run(main)


async def late(*numbers):
    await curio.sleep(0.05)
    for number in numbers:
        yield number


async def broken(*numbers):
    for number in numbers:
        yield number
    raise ValueError('broken')


def test_a_late_first_part_is_announced_and_nothing_lost():
    assert collect(late(1, 2), SHORT) == [None, 1, 2]
    assert collect(late(1, 2)) == [1, 2]
    assert collect(late()) == []


@pytest.mark.parametrize('numbers', [(), (1,)])
def test_an_error_reaches_the_reader(numbers):
    with pytest.raises(ValueError, match='broken'):
        collect(broken(*numbers))


def test_leaving_early_closes_the_parts():
    closed = []

    async def parts():
        try:
            await curio.sleep(60)
            yield 1
        finally:
            closed.append(True)

    async def main():
        async with contextlib.aclosing(
            keepalive.with_keepalive(parts(), SHORT)
        ) as paused:
            await anext(paused)

    curio.run(main)
    assert closed
