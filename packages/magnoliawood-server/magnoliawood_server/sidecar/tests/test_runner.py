"""Tests of calls that a sidecar holds until there is cache space."""

import dataclasses
import datetime

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood.programs import records
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.peer import messages
from magnoliawood_server.sidecar import runner as runners

HOLD = datetime.timedelta(hours=1)
CAPACITY_TOKENS = 1_000


class Upstream:
    async def run(self, run):
        return calls.CallOutcome(verdicts.Verdict.RAN, 'done', 1)

    async def release(self, program):
        pass

    async def cache_tokens(self):
        return CAPACITY_TOKENS

    async def identify(self):
        return 'run-1'

    async def cached_programs(self):
        return []


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def runner(clock):
    made = runners.CallRunner(
        'engine-1', Upstream(), clock, registries.Registry(), 4, 8
    )
    made.cache.capacity_tokens = CAPACITY_TOKENS
    return made


def order(clock, name, tokens, hold=None):
    key = identity.ProgramKey('kessick', name)
    budget = budgets.Budget(1_000, 10, 60.0)
    text = conversation.Message('user', 'four' * tokens)
    request = calls.ModelRequest('model-a', [text], 8)
    opened = records.Opened(key, 'concierge', budget, clock.now())
    intended = records.Intended(
        identity.CallId(key, 1), 'key', request, 8, 'engine-1', 'run-1', 1
    )
    made = messages.Order(
        opened, intended, 1, [], '', 0, 0.0, clock.now() + 2 * HOLD
    )
    if hold is None:
        return made
    return dataclasses.replace(made, hold_until=clock.now() + hold)


async def fill_cache(runner, clock):
    """Run a long program, so that new ones of its class are held."""
    first = await runner.accept(order(clock, 'long', CAPACITY_TOKENS))
    await first.response.wait()


async def release_starts_held_call(runner, clock):
    await fill_cache(runner, clock)
    held = await runner.accept(order(clock, 'new', 10, HOLD))
    assert (held.is_started, runner.held_count, runner.waiting) == (
        False,
        1,
        0,
    )
    await runner.record_release(identity.ProgramKey('kessick', 'long'))
    return (await held.response.wait()).verdict


async def leaving_starts_held_call(runner, clock):
    await fill_cache(runner, clock)
    held = await runner.accept(order(clock, 'new', 10, HOLD))
    assert not held.is_started
    await runner.release_held_calls()
    return (await held.response.wait()).verdict


async def expired_hold_starts_held_call(runner, clock):
    await fill_cache(runner, clock)
    held = await runner.accept(order(clock, 'new', 10, datetime.timedelta()))
    return (await held.response.wait()).verdict


@pytest.mark.parametrize(
    'scenario',
    [
        release_starts_held_call,
        leaving_starts_held_call,
        expired_hold_starts_held_call,
    ],
)
def test_held_call_starts(scenario, runner, clock):
    assert curio.run(scenario, runner, clock) is verdicts.Verdict.RAN


def test_held_call_can_be_cancelled(runner, clock):
    async def scenario():
        await fill_cache(runner, clock)
        held = await runner.accept(order(clock, 'new', 10, HOLD))
        await runner.cancel(held.order.intended.call)
        return await held.response.wait()

    outcome = curio.run(scenario)
    assert outcome.verdict is verdicts.Verdict.NOT_RUN
    assert runner.held_count == 0
