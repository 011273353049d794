import contextlib
import datetime

import curio
import pytest

from magnoliawood_server.runtime import keepalive

SHORT = datetime.timedelta(milliseconds=5)


def collect(parts, interval=keepalive.KEEPALIVE_INTERVAL):
    async def main():
        received = []
        async with contextlib.aclosing(
            keepalive.with_keepalive(parts, interval)
        ) as stream:
            async for part in stream:
                received.append(part)
        return received

    return curio.run(main)


async def late_parts(*numbers):
    await curio.sleep(0.05)
    for number in numbers:
        yield number


async def failing_parts(*numbers):
    for number in numbers:
        yield number
    raise ValueError('broken')


def test_late_first_part_is_preceded_by_none_and_nothing_is_lost():
    assert collect(late_parts(1, 2), SHORT) == [None, 1, 2]
    assert collect(late_parts(1, 2)) == [1, 2]
    assert collect(late_parts()) == []


@pytest.mark.parametrize('numbers', [(), (1,)])
def test_error_of_the_parts_reaches_the_reader(numbers):
    with pytest.raises(ValueError, match='broken'):
        collect(failing_parts(*numbers))


def test_closing_early_closes_the_parts():
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
        ) as stream:
            await anext(stream)

    curio.run(main)
    assert closed
