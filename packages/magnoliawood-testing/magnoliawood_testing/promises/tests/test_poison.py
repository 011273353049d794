import curio
import pytest

from magnoliawood.ownership import shard_map
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.standins import reference

ENGINES = 5
CRASH_PROMPT = 'please crash-the-engine now'


@pytest.fixture
def deployment():
    with cluster.Deployment(engines=ENGINES, entries=3) as started:
        started.create_class('booking', 30)
        started.create_account('red-clay')
        started.wait_for_configuration()
        wait_for_sidecars(started)
        yield started


def wait_for_sidecars(deployment):
    """Wait until all entries can reach all sidecars."""
    deployments.wait_until(
        lambda: all(
            deployment.metric(node, 'sidecars_reachable')
            == len(deployment.sidecars)
            for node in deployment.entries.values()
        ),
        'entries that reach all sidecars',
    )


def caller_of(deployment):
    addresses = [node.http for node in deployment.entries.values()]
    return cluster.Caller(addresses, 'token-of-red-clay')


def running_entries(deployment):
    return [
        node.http
        for node in deployment.entries.values()
        if node.process.is_running
    ]


def crashed_engines(deployment):
    return [
        node.name
        for node in deployment.upstreams.values()
        if node.name.startswith('engine') and not node.process.is_running
    ]


def restart(deployment):
    for name in crashed_engines(deployment):
        deployment.upstreams[name].process.start()
        deployments.wait_until(
            lambda name=name: is_upstream_up(deployment, name),
            f'recovered {name}',
        )


def is_upstream_up(deployment, engine):
    node = deployment.sidecars[f'{engine}-sidecar']
    return deployment.metric(node, 'upstream_up') == 1


def sequences(deployment):
    return sum(
        deployment.engine_state(name)['sequences']
        for name in deployment.upstreams
        if name.startswith('engine')
    )


async def chat(caller, address, text, max_tokens=40):
    body = {
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': max_tokens,
    }
    return await caller.attempt(address, 'POST', '/v1/chat/completions', body)


async def send_everywhere(deployment, text):
    """Send the same prompt through every entry at the same time."""
    caller = caller_of(deployment)
    async with curio.TaskGroup() as group:
        for address in running_entries(deployment) * 2:
            await group.spawn(chat, caller, address, text)
    return group.results


def codes(responses):
    return {value.get('code', 'ok') for _, value in responses}


def test_request_sent_through_all_entries_crashes_two_upstreams(deployment):
    responses = curio.run(send_everywhere, deployment, CRASH_PROMPT)
    assert codes(responses) == {'quarantined'}
    assert len(crashed_engines(deployment)) <= 2
    restart(deployment)
    responses = curio.run(send_everywhere, deployment, CRASH_PROMPT)
    assert codes(responses) == {'quarantined'}
    assert all(value['verdict'] == 'not_run' for _, value in responses)
    assert all(value['retry_after_seconds'] > 0 for _, value in responses)
    assert not crashed_engines(deployment)


def names_by_owner(deployment):
    """Return, for each entry, the name of a program that it would own."""
    stored = deployment.stored_object(shard_map.MAP_NAME)
    owners = shard_map.ShardMap.from_text(1, stored.value).assignments
    keys = [
        identity.ProgramKey('red-clay', f'outage-{number}')
        for number in range(100)
    ]
    return {owners[key.shard].owner: key.name for key in keys}


def test_quarantine_survives_its_entry_in_a_store_outage(deployment):
    names = names_by_owner(deployment)
    deployment.set_faults(deployment.platform, outage=True)
    first, *others = deployment.entries.values()

    async def send(entry):
        caller = caller_of(deployment)
        await caller.open(names[entry.name], 'booking')
        body = {
            'kind': 'model',
            'model': 'model-a',
            'messages': [{'role': 'user', 'content': CRASH_PROMPT}],
            'max_tokens': 40,
        }
        path = f'/v1/programs/{names[entry.name]}/calls/1'
        return await caller.attempt(entry.http, 'PUT', path, body)

    responses = [curio.run(send, first)]
    first.process.kill()
    responses += [curio.run(send, entry) for entry in others]
    assert codes(responses) == {'quarantined'}
    assert len(crashed_engines(deployment)) <= 2


def test_quarantine_reaches_every_entry_and_survives_restarts(deployment):
    curio.run(send_everywhere, deployment, CRASH_PROMPT)
    restart(deployment)
    for node in [*deployment.entries.values(), *deployment.sidecars.values()]:
        node.process.kill()
        node.process.start()
    deployments.wait_until(deployment.is_ready, 'restarted processes')
    wait_for_sidecars(deployment)
    responses = curio.run(send_everywhere, deployment, CRASH_PROMPT)
    assert codes(responses) == {'quarantined'}
    assert not crashed_engines(deployment)


def test_later_crashing_turn_of_a_program_is_quarantined(deployment):
    async def main():
        caller = caller_of(deployment)
        await caller.open('turns', 'booking')
        await caller.turn('turns', 1, 'hello')
        with pytest.raises(RuntimeError, match='quarantined'):
            await caller.turn('turns', 2, CRASH_PROMPT)
        with pytest.raises(RuntimeError, match='quarantined'):
            await caller.turn('turns', 2, CRASH_PROMPT)
        return await caller.request('GET', '/v1/programs/turns/history')

    history = curio.run(main)
    assert len(crashed_engines(deployment)) == 2
    assert len(history['messages']) == 2


def test_requests_running_beside_the_crash_are_rerun_and_accepted(deployment):
    texts = [f'innocent {number}' for number in range(12)]

    async def run_with_crash():
        caller = caller_of(deployment)
        async with curio.TaskGroup() as group:
            for number, text in enumerate(texts):
                await caller.open(f'beside-{number}', 'booking')
                await group.spawn(
                    caller.turn, f'beside-{number}', 1, text, 100
                )
            async with curio.timeout_after(10):
                while sequences(deployment) < len(texts) // 2:
                    await curio.sleep(0.02)
            await group.spawn(chat, caller, next(iter(entries)), CRASH_PROMPT)
        return group.results[:-1]

    entries = running_entries(deployment)
    for number in range(1, ENGINES + 1):
        engine = deployment.upstreams[f'engine-{number}']
        deployment.set_faults(engine, step_seconds=0.02)
    responses = curio.run(run_with_crash)
    assert [response['content'] for response in responses] == [
        reference.answer_text([conversation.Message('user', text)], 100)
        for text in texts
    ]
    assert len(crashed_engines(deployment)) == 2
    restart(deployment)
    again = [curio.run(send_everywhere, deployment, text) for text in texts]
    assert codes(sum(again, [])) == {'ok'}
