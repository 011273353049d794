import collections

import curio
import pytest

from magnoliawood.limits import retry_budget
from magnoliawood_testing import cluster

ENGINES = ('engine-1', 'engine-2')
CALLERS = 80
REPEATS = 6
PROGRAM_REQUEST_LIMIT = 3
# Half of the queue is reserved for programs in progress, and all of these may
# be queued at one engine.
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


async def repeat_call(deployment, number, rejections):
    """Repeat one call without delay, ignoring the advertised retry delay."""
    entries = [node.http for node in deployment.entries.values()]
    caller = cluster.Caller(entries, 'token-of-red-clay')
    name = f'storm-{number}'
    await caller.open(name, 'booking')
    path = f'/v1/programs/{name}/calls/1'
    for attempt in range(REPEATS):
        address = entries[(number + attempt) % len(entries)]
        status, response = await caller.attempt(
            address, 'PUT', path, body_of(number)
        )
        if status == 200:
            return name
        rejections.append((name, response))
    return ''


def run_storm(deployment):
    rejections = []

    async def main():
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(repeat_call, deployment, number, rejections)
        return {name for name in group.results if name}

    return curio.run(main), rejections


def runs_at_engines(deployment):
    total = collections.Counter()
    for name in ENGINES:
        total.update(deployment.engine_state(name)['requests'])
    return total


def sum_counter(deployment, nodes, prefix):
    """Sum a counter over all reasons of rejections and over the nodes."""
    return sum(
        deployment.metric(node, f'{prefix}{{reason="{reason}"}}')
        for node in nodes
        for reason in ('overloaded', 'new_program', 'queue_full')
    )


def test_retry_storm_is_rejected_and_adds_little_load(deployment):
    served, rejections = run_storm(deployment)
    assert rejections
    assert {response['code'] for _, response in rejections} == {'overloaded'}
    assert {response['verdict'] for _, response in rejections} == {'not_run'}
    assert all(
        response['retry_after_seconds'] >= 1 for _, response in rejections
    )
    runs = runs_at_engines(deployment)
    assert runs == {f'red-clay/{name}/1': 1 for name in served}
    entries = list(deployment.entries.values())
    retries = sum_counter(deployment, entries, 'retries_total')
    allowed = retry_budget.DEPOSIT_PER_SUCCESS * len(served) + len(
        ENGINES
    ) * len(entries) * (retry_budget.OVERLOAD_BURST + 1)
    assert 0 < retries <= allowed
    assert sum_counter(deployment, entries, 'retries_refused_total') > 0


def test_active_programs_finish_while_new_ones_are_rejected(deployment):
    async def follow(caller, name):
        for sequence in range(1, 6):
            response = await caller.turn(name, sequence, f'{name} {sequence}')
            assert response['verdict'] == 'ran'
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
        rejections = []
        async with curio.TaskGroup() as group:
            active = [
                await group.spawn(follow, caller, f'under-way-{number}')
                for number, caller in enumerate(callers)
            ]
            for number in range(CALLERS):
                await group.spawn(repeat_call, deployment, number, rejections)
        return [task.result for task in active], rejections

    retries, rejections = curio.run(main)
    assert rejections
    assert retries == [0] * PROGRAM_REQUEST_LIMIT


def test_caller_opens_programs_while_another_floods_the_system(deployment):
    deployment.create_account('kessick')
    deployment.wait_for_configuration()

    async def run_programs(caller):
        for number in range(5):
            await caller.open(f'calm-{number}', 'booking')
            await caller.turn(f'calm-{number}', 1, f'calm {number}')
        return caller.retries

    async def main():
        entries = [node.http for node in deployment.entries.values()]
        caller = cluster.Caller(entries, 'token-of-kessick')
        rejections = []
        async with curio.TaskGroup() as group:
            for number in range(CALLERS):
                await group.spawn(repeat_call, deployment, number, rejections)
            task = await group.spawn(run_programs, caller)
        return task.result, rejections

    retries, rejections = curio.run(main)
    assert rejections
    assert retries == 0
