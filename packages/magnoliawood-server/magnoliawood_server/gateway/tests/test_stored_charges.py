"""Charges that keepers store must be kept as long as their program."""

import dataclasses
import datetime
import itertools

import curio
import pytest

from magnoliawood.core import errors
from magnoliawood_server.gateway.tests import keeper_support


@pytest.mark.parametrize('order', [*itertools.permutations('abc')])
def test_charges_survive_gaps_of_replicas_in_turn(tmp_path, order):
    """Guards against a budget of which each disk forgets a part (issue 41)."""

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            for number, name in enumerate(order[:2]):
                gateway = keeper_support.Gateway(keepers)
                keepers.away = {name}
                await gateway.charge(f't{number}', 160)
                keepers.clock.advance(datetime.timedelta(seconds=100))
            keepers.away = {order[2]}
            keepers.clock.advance(datetime.timedelta(seconds=15))
            await keepers.clean()
            with pytest.raises(errors.MagnoliawoodError) as caught:
                await keeper_support.Gateway(keepers).charge('t2', 160)
            assert caught.value.code is errors.ErrorCode.BUDGET_EXHAUSTED

    curio.run(play)


@pytest.mark.parametrize('keeps_history', [False, True])
def test_charges_are_kept_as_long_as_a_program_may_come_back(
    tmp_path, keeps_history
):
    """Guards against a budget forgotten before the turns of its program."""
    route = dataclasses.replace(
        keeper_support.ROUTE,
        keeps_history=keeps_history,
        history_period=datetime.timedelta(minutes=10),
    )

    async def play():
        keepers = keeper_support.Keepers(tmp_path)
        async with keepers.running():
            await keeper_support.Gateway(keepers).charge('t1', 80, route)
            keepers.clock.advance(route.history_period)
            await keepers.clean()
            with pytest.raises(errors.MagnoliawoodError) as caught:
                await keeper_support.Gateway(keepers).charge('t2', 80, route)
            assert caught.value.code is errors.ErrorCode.BUDGET_EXHAUSTED

    curio.run(play)
