import json
import uuid

import curio
import pytest

from magnoliawood.programs import message as conversation
from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.standins import reference

BUDGET = {'tokens': 500, 'calls': 10, 'seconds': 600}


@pytest.fixture
def program(deployment):
    """URL path of an open program."""
    path = f'/v1/programs/p-{uuid.uuid4().hex}'
    status, response = send_request(
        deployment, 'PUT', path, {'class': 'booking', 'budget': BUDGET}
    )
    assert status == 201, response
    return path


def send_request(
    deployment, method, path, body=None, entry=0, caller='red-clay'
):
    node = list(deployment.entries.values())[entry]
    headers = {'authorization': f'Bearer token-of-{caller}'}
    return deployments.call(node.http, method, path, body, headers)


def turn(text, **fields):
    return {
        'kind': 'model',
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': 40,
        **fields,
    }


def booking(**fields):
    return {
        'kind': 'service',
        'service': 'pours',
        'operation': 'book',
        **fields,
    }


def expected_history(*texts):
    history = []
    for text in texts:
        history.append(conversation.Message('user', text))
        response = reference.answer_text(history, 40)
        history.append(conversation.Message('assistant', response))
    return history


def test_turns_share_one_history_across_entries(deployment, program):
    for number, text in enumerate(('first', 'second', 'third'), start=1):
        status, response = send_request(
            deployment, 'PUT', f'{program}/calls/{number}', turn(text),
            entry=number % 2,
        )  # fmt: skip
        assert status == 200
        assert response['verdict'] == 'ran'
    history = expected_history('first', 'second', 'third')
    for entry in (0, 1):
        _, stored = send_request(
            deployment, 'GET', f'{program}/history', entry=entry
        )
        assert [
            conversation.Message(**m) for m in stored['messages']
        ] == history


def test_stream_carries_the_complete_response(deployment, program):
    for entry in (0, 1):
        path = f'{program}/calls/1'
        _, text = send_request(
            deployment, 'PUT', path, turn('hello', stream=True), entry
        )
        events = [
            json.loads(line.removeprefix('data: '))
            for line in text.splitlines()
            if line.startswith('data: ')
        ]
        response = expected_history('hello')[-1].content
        assert ''.join(e['text'] for e in events[:-1]) == response
        assert events[-1]['content'] == response
        assert events[-1]['verdict'] == 'ran'


def test_repeat_gets_the_stored_response(deployment, program):
    path = f'{program}/calls/1'
    first = send_request(deployment, 'PUT', path, booking())
    second = send_request(deployment, 'PUT', path, booking(), entry=1)
    read = send_request(deployment, 'GET', path)
    assert first == second == read
    name = program.rpartition('/')[2]
    assert deployment.runs('pours')[f'red-clay/{name}/1'] == 1


def test_response_is_read_from_an_offset(deployment, program):
    send_request(deployment, 'PUT', f'{program}/calls/1', turn('hello'))
    _, remainder = send_request(
        deployment, 'GET', f'{program}/calls/1?offset=7'
    )
    assert remainder['content'] == expected_history('hello')[-1].content[7:]


def test_spent_budget_rejects_further_calls(deployment, program):
    for number in range(1, 11):
        send_request(
            deployment, 'PUT', f'{program}/calls/{number}', turn('again')
        )
    _, status = send_request(deployment, 'GET', program)
    assert status['calls_left'] == 0
    assert 0 < status['tokens_spent'] <= BUDGET['tokens']
    code, problem = send_request(
        deployment, 'PUT', f'{program}/calls/11', turn('more')
    )
    assert code == 402
    assert problem['code'] == 'budget_exhausted'
    assert problem['verdict'] == 'not_run'


def test_response_ends_at_the_token_budget(deployment):
    path = f'/v1/programs/p-{uuid.uuid4().hex}'
    budget = {**BUDGET, 'tokens': 5}
    send_request(
        deployment, 'PUT', path, {'class': 'booking', 'budget': budget}
    )
    _, response = send_request(
        deployment, 'PUT', f'{path}/calls/1', turn('hello')
    )
    assert response['tokens'] == 5
    assert response['finish_reason'] == 'length'


def test_ended_program_frees_cache_and_rejects_calls(deployment, program):
    send_request(deployment, 'PUT', f'{program}/calls/1', turn('word ' * 100))
    name = f'red-clay/{program.rpartition("/")[2]}'

    def cached_blocks():
        return sum(
            deployment.engine_state(engine)['held'].get(name, 0)
            for engine in ('engine-1', 'engine-2')
        )

    assert cached_blocks() > 0
    assert send_request(deployment, 'DELETE', program)[1]['state'] == 'ended'
    deployments.wait_until(lambda: cached_blocks() == 0, 'freed cache')
    code, problem = send_request(
        deployment, 'PUT', f'{program}/calls/2', turn('more')
    )
    assert (code, problem['code']) == (410, 'program_ended')


def test_sub_agents_spend_the_budget_of_their_parent(deployment, program):
    child = f'{program}:helper'
    code, _ = send_request(
        deployment, 'PUT', child, {'class': 'booking', 'budget': BUDGET}
    )
    assert code == 201
    _, response = send_request(
        deployment, 'PUT', f'{child}/calls/1', turn('hello')
    )
    _, status = send_request(deployment, 'GET', program)
    assert status['tokens_spent'] == response['tokens']
    send_request(deployment, 'DELETE', program)
    assert send_request(deployment, 'GET', child)[1]['state'] == 'ended'


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status', 'code'),
    [
        ('PUT', '/calls/3', turn('gap'), 409, 'sequence_gap'),
        ('PUT', '/calls/0', turn('zero'), 400, 'malformed_request'),
        ('PUT', '/calls/1', {'kind': 'model'}, 422, 'malformed_body'),
        ('PUT', '/calls/1', {'kind': 'magic'}, 422, 'malformed_body'),
        ('PUT', '/calls/1', [], 422, 'malformed_body'),
        ('PUT', '/calls/1', turn('x', model='m-0'), 404, 'unknown_model'),
        (
            'PUT',
            '/calls/1',
            booking(service='none'),
            404,
            'unknown_service',
        ),
        ('GET', '/calls/9', None, 404, 'unknown_call'),
        ('GET', '/calls/1?offset=x', None, 400, 'malformed_request'),
        ('GET', '-unknown', None, 404, 'unknown_program'),
        ('PATCH', '', {}, 404, 'not_found'),
        (
            'PUT',
            ':child',
            {'class': 'none', 'budget': BUDGET},
            404,
            'unknown_class',
        ),
        (
            'PUT',
            '',
            {'class': 'booking', 'budget': {**BUDGET, 'tokens': 1}},
            409,
            'program_mismatch',
        ),
        (
            'PUT',
            ':child',
            {'class': 'booking', 'budget': {**BUDGET, 'calls': 10**9}},
            422,
            'class_limit',
        ),
    ],
)
def test_invalid_request_is_rejected_without_side_effects(
    deployment, program, method, path, body, status, code
):
    for entry in (0, 1):
        actual_status, problem = send_request(
            deployment, method, program + path, body, entry
        )
        assert (actual_status, problem['code']) == (status, code)
        assert problem['verdict'] == 'not_run'
    actual_status, _ = send_request(
        deployment, 'PUT', f'{program}/calls/1', turn('fine')
    )
    assert actual_status == 200


def test_changed_repeat_is_rejected(deployment, program):
    send_request(deployment, 'PUT', f'{program}/calls/1', turn('one'))
    status, problem = send_request(
        deployment, 'PUT', f'{program}/calls/1', turn('two')
    )
    assert (status, problem['code']) == (409, 'call_mismatch')


def test_caller_sees_only_its_own_programs(deployment, program):
    send_request(deployment, 'PUT', f'{program}/calls/1', turn('secret'))
    for path in ('', '/history', '/calls/1'):
        status, problem = send_request(
            deployment, 'GET', program + path, caller='kessick'
        )
        assert (status, problem['code']) == (404, 'unknown_program')


def test_unknown_token_is_rejected(deployment, program):
    status, problem = send_request(deployment, 'GET', program, caller='nobody')
    assert (status, problem['code']) == (401, 'unauthenticated')


def test_caller_may_not_administer(deployment):
    status, problem = send_request(deployment, 'GET', '/admin/v1/classes')
    assert (status, problem['code']) == (403, 'forbidden')


def test_metrics_page_is_served_by_entries_and_sidecars(deployment):
    for node in [*deployment.entries.values(), *deployment.sidecars.values()]:
        status, text = deployments.call(node.http, 'GET', '/metrics')
        assert status == 200
        assert '# TYPE' in text


def test_turn_is_counted_in_the_histograms_of_its_sidecar(deployment, program):
    names = ('queue_wait', 'first_token', 'token_gap')

    def counts():
        return [
            sum(
                deployment.metric(node, f'{name}_seconds_count')
                for node in deployment.sidecars.values()
            )
            for name in names
        ]

    before = counts()
    send_request(deployment, 'PUT', f'{program}/calls/1', turn('hello'))
    assert counts() == [count + 1 for count in before]


def test_concurrent_programs_keep_separate_histories(deployment):
    addresses = [node.http for node in deployment.entries.values()]

    async def run(number):
        caller = cluster.Caller(addresses, 'token-of-kessick')
        name = f'many-{number}'
        await caller.open(name, 'booking')
        responses = [
            await caller.turn(name, sequence, f'{number} {sequence}', 40)
            for sequence in (1, 2)
        ]
        return [response['content'] for response in responses]

    async def main():
        async with curio.TaskGroup() as group:
            for number in range(20):
                await group.spawn(run, number)
        return group.results

    for number, contents in enumerate(curio.run(main)):
        history = expected_history(f'{number} 1', f'{number} 2')
        assert contents == [history[1].content, history[3].content]
