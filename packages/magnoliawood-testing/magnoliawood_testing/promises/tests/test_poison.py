import curio
import pytest

from magnoliawood.ownership import shard_map
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.standins import reference

ENGINES = 5
POISON = 'please crash-the-engine now'


@pytest.fixture
def deployment():
    with cluster.Deployment(engines=ENGINES, entries=3) as started:
        started.create_class('booking', 30)
        started.create_account('red-clay')
        started.wait_for_configuration()
        wait_for_sidecars(started)
        yield started


def wait_for_sidecars(deployment):
    """Wait until all entries know the same upstreams."""
    deployments.wait_until(
        lambda: all(
            deployment.metric(node, 'sidecars_reachable')
            == len(deployment.sidecars)
            for node in deployment.entries.values()
        ),
        'entries that see all sidecars',
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


def crashed(deployment):
    return [
        node.name
        for node in deployment.upstreams.values()
        if node.name.startswith('engine') and not node.process.is_running
    ]


def restart(deployment):
    for name in crashed(deployment):
        deployment.upstreams[name].process.start()
        deployments.wait_until(
            lambda name=name: is_seen(deployment, name), f'{name} is back'
        )


def is_seen(deployment, engine):
    node = deployment.sidecars[f'{engine}-sidecar']
    return deployment.metric(node, 'upstream_up') == 1


def sequences(deployment):
    return sum(
        deployment.engine_state(name)['sequences']
        for name in deployment.upstreams
        if name.startswith('engine')
    )


async def chat(caller, address, text, limit=40):
    body = {
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': limit,
    }
    return await caller.attempt(address, 'POST', '/v1/chat/completions', body)


async def send_everywhere(deployment, text):
    """Send one content through every entry at the same time."""
    caller = caller_of(deployment)
    async with curio.TaskGroup() as group:
        for address in running_entries(deployment) * 2:
            await group.spawn(chat, caller, address, text)
    return group.results


def codes(answers):
    return {value.get('code', 'ok') for _, value in answers}


def test_request_sent_everywhere_takes_down_two_upstreams(deployment):
    answers = curio.run(send_everywhere, deployment, POISON)
    assert codes(answers) == {'quarantined'}
    assert len(crashed(deployment)) <= 2
    restart(deployment)
    answers = curio.run(send_everywhere, deployment, POISON)
    assert codes(answers) == {'quarantined'}
    assert all(value['verdict'] == 'not_run' for _, value in answers)
    assert all(value['retry_after_seconds'] > 0 for _, value in answers)
    assert not crashed(deployment)


def names_by_owner(deployment):
    """Return a program name for each entry that would own it."""
    found = deployment.stored_object(shard_map.MAP_NAME)
    owners = shard_map.ShardMap.from_text(1, found.value).assignments
    keys = [
        identity.ProgramKey('red-clay', f'outage-{number}')
        for number in range(100)
    ]
    return {owners[key.shard].owner: key.name for key in keys}


def test_quarantine_outlives_the_entry_in_a_store_outage(deployment):
    names = names_by_owner(deployment)
    deployment.set_faults(deployment.platform, outage=True)
    doomed, *others = deployment.entries.values()

    async def send(entry):
        caller = caller_of(deployment)
        await caller.open(names[entry.name], 'booking')
        body = {
            'kind': 'model',
            'model': 'model-a',
            'messages': [{'role': 'user', 'content': POISON}],
            'max_tokens': 40,
        }
        path = f'/v1/programs/{names[entry.name]}/calls/1'
        return await caller.attempt(entry.http, 'PUT', path, body)

    answers = [curio.run(send, doomed)]
    doomed.process.kill()
    answers += [curio.run(send, entry) for entry in others]
    assert codes(answers) == {'quarantined'}
    assert len(crashed(deployment)) <= 2


def test_quarantine_reaches_every_entry_and_survives_restarts(deployment):
    curio.run(send_everywhere, deployment, POISON)
    restart(deployment)
    for node in [*deployment.entries.values(), *deployment.sidecars.values()]:
        node.process.kill()
        node.process.start()
    deployments.wait_until(deployment.is_ready, 'restarted processes')
    wait_for_sidecars(deployment)
    answers = curio.run(send_everywhere, deployment, POISON)
    assert codes(answers) == {'quarantined'}
    assert not crashed(deployment)


def test_long_program_that_turns_poisonous_is_stopped(deployment):
    async def main():
        caller = caller_of(deployment)
        await caller.open('turns', 'booking')
        await caller.turn('turns', 1, 'hello')
        with pytest.raises(RuntimeError, match='quarantined'):
            await caller.turn('turns', 2, POISON)
        with pytest.raises(RuntimeError, match='quarantined'):
            await caller.turn('turns', 2, POISON)
        return await caller.request('GET', '/v1/programs/turns/history')

    kept = curio.run(main)
    assert len(crashed(deployment)) == 2
    assert len(kept['messages']) == 2


def test_requests_beside_the_poison_run_again_and_stay_welcome(deployment):
    texts = [f'innocent {number}' for number in range(12)]

    async def run_beside():
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
            await group.spawn(chat, caller, next(iter(entries)), POISON)
        return group.results[:-1]

    entries = running_entries(deployment)
    for number in range(1, ENGINES + 1):
        engine = deployment.upstreams[f'engine-{number}']
        deployment.set_faults(engine, step_seconds=0.02)
    answers = curio.run(run_beside)
    assert [answer['content'] for answer in answers] == [
        reference.answer_text([conversation.Message('user', text)], 100)
        for text in texts
    ]
    assert len(crashed(deployment)) == 2
    restart(deployment)
    again = [curio.run(send_everywhere, deployment, text) for text in texts]
    assert codes(sum(again, [])) == {'ok'}
