import datetime

import pytest

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.telemetry import registry as registries

SECOND = datetime.timedelta(seconds=1)
MEGABYTE = 1024 * 1024


def run(play):
    """Run a coroutine that waits for nothing."""
    with pytest.raises(StopIteration):
        play().send(None)


class Play:
    """A budget, its clock, and the names of the holdings that gave way."""

    def __init__(self, memory=8 * MEGABYTE, connections=4):
        self.clock = clocks.ManualClock()
        self.registry = registries.Registry()
        self.gone = []
        self.budget = client_budget.ClientBudget(
            client_budget.BudgetLimits(memory, connections, SECOND),
            self.clock,
            self.registry,
        )

    async def open(self, name):
        holding = await self.budget.open()

        async def give_way():
            self.gone.append(name)

        if holding is not None:
            holding.end_with(give_way)
        return holding

    async def receiving(self, name, size):
        holding = await self.open(name)
        holding.begin_receiving(self.clock.monotonic())
        assert await holding.take(size)
        return holding


def test_what_is_taken_is_given_back_at_the_end():
    async def play():
        play = Play()
        holding = await play.receiving('a', MEGABYTE)
        assert play.budget.held_bytes > MEGABYTE
        holding.close()
        holding.close()
        assert play.budget.held_bytes == 0
        assert play.budget.connections == 0
        assert not await holding.take(1)

    run(play)


def test_largest_for_longest_gives_way_first():
    async def play():
        play = Play()
        await play.receiving('large', 3 * MEGABYTE)
        await play.receiving('small', MEGABYTE)
        play.clock.advance(2 * SECOND)
        newer = await play.open('newer')
        assert await newer.take(3 * MEGABYTE)
        assert play.gone == ['large']

    run(play)


def test_one_that_makes_progress_or_is_served_does_not_give_way():
    async def play():
        play = Play()
        moving = await play.receiving('moving', 2 * MEGABYTE)
        served = await play.receiving('served', 3 * MEGABYTE)
        served.begin_serving()
        play.clock.advance(2 * SECOND)
        moving.record_moved(client_budget.PROGRESS_BYTES)
        newer = await play.open('newer')
        assert not await newer.take(3 * MEGABYTE)
        assert not play.gone
        series = 'client_budget_refusals_total'
        assert play.registry.counter(series, reason='memory') == 1

    run(play)


def test_trickled_bytes_are_no_progress():
    async def play():
        play = Play()
        trickling = await play.receiving('trickling', 5 * MEGABYTE)
        for _ in range(20):
            play.clock.advance(SECOND / 10)
            trickling.record_moved(1)
        newer = await play.open('newer')
        assert await newer.take(3 * MEGABYTE)
        assert play.gone == ['trickling']

    run(play)


def test_small_request_finds_room_that_large_ones_leave():
    async def play():
        play = Play()
        large = await play.receiving('large', 5 * MEGABYTE)
        large.begin_serving()
        newer = await play.open('newer')
        assert not await newer.take(2 * MEGABYTE)
        assert await newer.take(client_budget.SMALL_BYTES // 2)

    run(play)


@pytest.mark.parametrize('idle', [True, False])
def test_oldest_idle_connection_gives_way_and_a_served_one_does_not(idle):
    async def play():
        play = Play(connections=2)
        for name in ('first', 'second'):
            holding = await play.open(name)
            if not idle:
                holding.begin_serving()
            play.clock.advance(SECOND / 10)
        newer = await play.open('newer')
        assert (newer is not None) == idle
        assert play.gone == (['first'] if idle else [])

    run(play)


def test_none_gives_way_in_vain():
    async def play():
        play = Play()
        await play.open('idle')
        await play.receiving('stalled', MEGABYTE)
        fixed = await play.receiving('fixed', 4 * MEGABYTE)
        fixed.begin_serving()
        play.clock.advance(2 * SECOND)
        newer = await play.open('newer')
        assert not await newer.take(4 * MEGABYTE)
        assert play.gone == []
        assert await newer.take(MEGABYTE + MEGABYTE // 2)
        assert play.gone == ['stalled']

    run(play)
