import datetime
import types

import curio

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood_server.gateway import responder

SECOND = datetime.timedelta(seconds=1)
SIZE = 1024 * 1024


def test_request_that_waits_for_memory_for_its_response_gives_way():
    """Guards against responses that wait for each other without an end."""
    clock = clocks.ManualClock()
    budget = client_budget.ClientBudget(
        client_budget.BudgetLimits(4 * SIZE, 10, SECOND), clock
    )
    gone = []

    async def open_holding(name):
        holding = await budget.open()

        async def give_way():
            gone.append(name)

        holding.end_with(give_way)
        holding.begin_serving()
        return holding

    async def play():
        first = await open_holding('first')
        served = await open_holding('served')
        assert await first.take(SIZE)
        assert await served.take(SIZE)
        sender = responder.Responder(
            types.SimpleNamespace(holding=first), framing=None
        )
        waiting = await curio.spawn(sender.take_memory_for_response, 2 * SIZE)
        await curio.sleep(0.2)
        assert not gone
        clock.advance(2 * SECOND)
        newer = await open_holding('newer')
        assert await newer.take(SIZE)
        assert await newer.take(SIZE // 2)
        await waiting.join()

    curio.run(play)
    assert gone == ['first']
