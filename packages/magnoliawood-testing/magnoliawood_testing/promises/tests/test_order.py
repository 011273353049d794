import random
import threading

import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises.tests import support

LINKS = {
    'caller': ('callers', 'entry-1'),
    'entry': ('entries', 'entry-2'),
    'sidecar': ('entries', 'engine-1-sidecar'),
    'engine': ('engine-1-sidecar', 'engine-1'),
}


@pytest.fixture(scope='module')
def deployment():
    links = tuple(LINKS.values())
    with cluster.Deployment(
        engines=1, step_seconds=0.03, links=links
    ) as started:
        support.set_up(started)
        yield started


def caller_address(deployment):
    return deployment.links.address(*LINKS['caller'], '')


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('link', LINKS)
def test_interrupted_stream_is_complete(deployment, link, seed):
    generator = random.Random(f'{link} {seed}')
    prompt = support.long_prompt(seed)
    response = support.expected_answer(prompt)
    # Each cut of the engine stream uses up one attempt, so there is one cut
    # fewer than attempts.
    points = sorted(generator.sample(range(1, len(response) - 20), 2))
    path = support.open_program_of(deployment, 'entry-2')

    def cut_when_due(text):
        if points and len(text) >= points[0]:
            points.pop(0)
            deployment.links.command(*LINKS[link], 'cut')

    text, resumed = support.read_to_completion(
        [caller_address(deployment)],
        f'{path}/calls/1',
        support.turn_body(prompt, stream=True),
        cut_when_due,
    )
    assert text == response
    assert not points
    assert resumed == (2 if link == 'caller' else 0)
    _, history = support.send_request(
        deployment.entries['entry-1'], 'GET', f'{path}/history'
    )
    assert [m['content'] for m in history['messages']] == [prompt, response]


def test_interrupted_stream_resumes_through_another_entry(deployment):
    prompt = support.long_prompt(9)
    path = support.open_program_of(deployment, 'entry-2')
    is_cut = []

    def cut_once(text):
        if len(text) > 30 and not is_cut:
            is_cut.append(True)
            deployment.links.command(*LINKS['caller'], 'cut')

    text, resumed = support.read_to_completion(
        [caller_address(deployment), deployment.entries['entry-2'].http],
        f'{path}/calls/1',
        support.turn_body(prompt, stream=True),
        cut_once,
    )
    assert (text, resumed) == (support.expected_answer(prompt), 1)


@pytest.mark.parametrize('seed', [1, 2])
def test_calls_sent_out_of_order_twice_and_at_once(deployment, seed):
    generator = random.Random(seed)
    nodes = list(deployment.entries.values())
    path = support.open_program(nodes[0])
    sent = [n for n in range(1, 6) for _ in range(3)]
    generator.shuffle(sent)
    responses = {n: [] for n in sent}

    def run(number, node):
        # A call whose number is not the next one is rejected and sent again.
        while True:
            status, response = support.send_request(
                node, 'PUT', f'{path}/calls/{number}',
                support.booking_body(arguments={'number': number}),
            )  # fmt: skip
            if status != 409:
                break
            assert response['code'] == 'sequence_gap'
            assert response['verdict'] == 'not_run'
        responses[number].append((status, response))

    threads = [
        threading.Thread(target=run, args=(number, generator.choice(nodes)))
        for number in sent
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    runs = deployment.runs('pours')
    for number, results in responses.items():
        assert len(results) == 3
        assert [status for status, _ in results] == [200] * 3
        assert results[0] == results[1] == results[2]
        assert runs[f'{support.name_of(path)}/{number}'] == 1
    late = support.send_request(
        nodes[1],
        'PUT',
        f'{path}/calls/1',
        support.booking_body(arguments={'number': 1}),
    )
    assert late == responses[1][0]


def test_response_can_be_read_after_its_caller_disconnected(deployment):
    first, second = deployment.entries.values()
    prompt = support.long_prompt(5)
    path = support.open_program_of(deployment, 'entry-1')
    part = support.stream(
        first.http, 'PUT', f'{path}/calls/1',
        support.turn_body(prompt, stream=True),
    )  # fmt: skip
    deployments.wait_until(lambda: part.text, 'the first tokens')
    part.close()
    status, response = support.send_request(second, 'GET', f'{path}/calls/1')
    assert status == 200
    assert response['content'] == support.expected_answer(prompt)
    assert sum(deployment.engine_state('engine-1')['requests'].values()) > 0
    again = support.send_request(
        second, 'PUT', f'{path}/calls/1', support.turn_body(prompt)
    )
    assert again == (status, response)
