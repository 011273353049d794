import collections

import curio
import pytest

from magnoliawood.limits import retry_budget
from magnoliawood_testing import cluster

ENGINES = ('engine-1', 'engine-2')
CALLERS = 80
REPEATS = 6
PROGRAM_REQUEST_LIMIT = 3
# Half of the places are kept for programs under way, and all of these may
# meet at one engine.
QUEUE_LIMIT = 2 * PROGRAM_REQUEST_LIMIT


@pytest.fixture
def deployment():
    with cluster.Deployment(
        entries=2,
        step_seconds=0.01,
        sidecar_settings={'concurrency': 2, 'queue_limit': QUEUE_LIMIT},
    ) as started:
        started.create_class('booking', 30)
        started.create_account('red-clay')
        started.wait_for_configuration()
        yield started


def body_of(number):
    return {
        'kind': 'model',
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': f'storm {number}'}],
        'max_tokens': 40,
    }


async def insist(deployment, number, refusals):
    """Repeat one call at once, as a caller that heeds nothing does."""
    entries = [node.http for node in deployment.entries.values()]
    caller = cluster.Caller(entries, 'token-of-red-clay')
    name = f'storm-{number}'
    await caller.open(name, 'booking')
    path = f'/v1/programs/{name}/calls/1'
    for attempt in range(REPEATS):
        address = entries[(number + attempt) % len(entries)]
        status, answer = await caller.attempt(
            address, 'PUT', path, body_of(number)
        )
        if status == 200:
            return name
        refusals.append((name, answer))
    return ''


def run_storm(deployment):
    refusals = []

    async def main():
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(insist, deployment, number, refusals)
        return {name for name in group.results if name}

    return curio.run(main), refusals


def runs_at_engines(deployment):
    total = collections.Counter()
    for name in ENGINES:
        total.update(deployment.engine_state(name)['requests'])
    return total


def total(deployment, nodes, prefix):
    """Sum a counter over its labels and the nodes."""
    return sum(
        deployment.metric(node, f'{prefix}{{reason="{reason}"}}')
        for node in nodes
        for reason in ('overloaded', 'new_program', 'queue_full')
    )


def test_storm_is_refused_at_once_and_adds_little_load(deployment):
    served, refusals = run_storm(deployment)
    assert refusals
    assert {answer['code'] for _, answer in refusals} == {'overloaded'}
    assert {answer['verdict'] for _, answer in refusals} == {'not_run'}
    assert all(answer['retry_after_seconds'] >= 1 for _, answer in refusals)
    runs = runs_at_engines(deployment)
    assert runs == {f'red-clay/{name}/1': 1 for name in served}
    entries = list(deployment.entries.values())
    retries = total(deployment, entries, 'retries_total')
    allowed = retry_budget.DEPOSIT_PER_SUCCESS * len(served) + len(
        ENGINES
    ) * len(entries) * (retry_budget.OVERLOAD_BURST + 1)
    assert 0 < retries <= allowed
    assert total(deployment, entries, 'retries_refused_total') > 0


def test_programs_under_way_finish_while_new_ones_are_refused(deployment):
    async def follow(caller, name):
        for sequence in range(1, 6):
            answer = await caller.turn(name, sequence, f'{name} {sequence}')
            assert answer['verdict'] == 'ran'
        return caller.retries

    async def main():
        entries = [node.http for node in deployment.entries.values()]
        callers = [
            cluster.Caller(entries, 'token-of-red-clay')
            for _ in range(PROGRAM_REQUEST_LIMIT)
        ]
        for number, caller in enumerate(callers):
            await caller.open(f'under-way-{number}', 'booking')
            await caller.turn(
                f'under-way-{number}', 1, f'under-way-{number} 1'
            )
        refusals = []
        async with curio.TaskGroup() as group:
            under_way = [
                await group.spawn(follow, caller, f'under-way-{number}')
                for number, caller in enumerate(callers)
            ]
            for number in range(CALLERS):
                await group.spawn(insist, deployment, number, refusals)
        return [task.result for task in under_way], refusals

    retries, refusals = curio.run(main)
    assert refusals
    assert retries == [0] * PROGRAM_REQUEST_LIMIT


def test_calm_caller_opens_programs_beside_a_flood(deployment):
    deployment.create_account('kessick')
    deployment.wait_for_configuration()

    async def open_some(caller):
        for number in range(5):
            await caller.open(f'calm-{number}', 'booking')
            await caller.turn(f'calm-{number}', 1, f'calm {number}')
        return caller.retries

    async def main():
        entries = [node.http for node in deployment.entries.values()]
        calm = cluster.Caller(entries, 'token-of-kessick')
        refusals = []
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(insist, deployment, number, refusals)
            task = await group.spawn(open_some, calm)
        return task.result, refusals

    retries, refusals = curio.run(main)
    assert refusals
    assert retries == 0
