import time

import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises.tests import support

PEER_BOUND_SECONDS = 3.0
UPSTREAM_SILENCE_SECONDS = 2.0
STORE_BOUND_SECONDS = 4.0
CALLER_READ_TIMEOUT_SECONDS = 3.0
STEP_SECONDS = 0.04
LINKS = {
    'caller': ('callers', 'entry-1'),
    'entry': ('entries', 'entry-2'),
    'sidecar': ('entries', 'engine-1-sidecar'),
    'pours': ('entries', 'pours-sidecar'),
    'engine': ('engine-1-sidecar', 'engine-1'),
    'service': ('pours-sidecar', 'pours'),
    'platform': ('entry-1', 'platform'),
}


@pytest.fixture(scope='module')
def deployment():
    with cluster.Deployment(
        engines=1,
        step_seconds=STEP_SECONDS,
        links=tuple(LINKS.values()),
        sidecar_settings={
            'upstream_silence_seconds': UPSTREAM_SILENCE_SECONDS
        },
    ) as started:
        support.set_up(started)
        yield started


def freeze(deployment, link, direction='both'):
    deployment.links.command(*LINKS[link], 'freeze', direction=direction)


def takeover_counts(deployment):
    return [
        deployment.metric(node, 'shards_taken_total')
        for node in deployment.entries.values()
    ]


def stream_with_freeze(deployment, link, direction):
    """Freeze a link during a stream and check that the stream completes.

    :returns: path of the program
    """
    first = deployment.entries['entry-1']
    deployments.wait_until(
        lambda: (
            not any(
                deployment.metric(node, 'entries_silent')
                for node in deployment.entries.values()
            )
        ),
        'entries that reach each other',
    )
    path = support.open_program_of(deployment, 'entry-2')
    prompt = support.long_prompt(1)
    stream = support.stream(
        first.http, 'PUT', f'{path}/calls/1',
        support.turn_body(prompt, stream=True),
    )  # fmt: skip
    deployments.wait_until(lambda: len(stream.text) > 20, 'first tokens')
    freeze(deployment, link, direction)
    frozen_at = time.monotonic()
    bound = max(PEER_BOUND_SECONDS, UPSTREAM_SILENCE_SECONDS + 1)
    deployments.wait_until(
        lambda: stream.is_done,
        'a complete response',
        bound + 40 * STEP_SECONDS,
    )
    print(f'{link} {direction}: {time.monotonic() - frozen_at:.2f} s')
    assert stream.is_complete, (stream.failure, stream.last_event)
    assert stream.text == support.expected_answer(prompt)
    return path


@pytest.mark.parametrize('direction', ['both', 'to_server', 'to_client'])
@pytest.mark.parametrize('link', ['entry', 'sidecar'])
def test_stream_continues_when_a_peer_link_freezes(
    deployment, link, direction
):
    before = takeover_counts(deployment)
    path = stream_with_freeze(deployment, link, direction)
    requests = deployment.engine_state('engine-1')['requests']
    assert requests[f'{support.name_of(path)}/1'] == 1
    assert takeover_counts(deployment) == before


def test_stream_continues_when_the_engine_link_freezes(deployment):
    stream_with_freeze(deployment, 'engine', 'both')


@pytest.mark.parametrize('link', ['entry', 'pours'])
def test_booking_runs_once_when_a_peer_link_freezes(deployment, link):
    first = deployment.entries['entry-1']
    pours = deployment.upstreams['pours']
    deployment.set_faults(pours, delay_seconds=1.0)
    path = support.open_program_of(deployment, 'entry-2')
    call = f'{support.name_of(path)}/1'
    stream = support.stream(
        first.http, 'PUT', f'{path}/calls/1', support.booking_body(stream=True)
    )
    deployments.wait_until(
        lambda: deployment.metric(
            deployment.sidecars['pours-sidecar'], 'waiting_calls'
        ) == 1,
        'a booking in progress',
    )  # fmt: skip
    freeze(deployment, link)
    deployments.wait_until(
        lambda: stream.is_done, 'the outcome', PEER_BOUND_SECONDS + 1
    )
    deployment.set_faults(pours, delay_seconds=0.005)
    assert stream.is_complete, (stream.failure, stream.last_event)
    assert deployment.runs('pours')[call] == 1


def test_booking_is_not_repeated_when_the_service_link_freezes(deployment):
    first = deployment.entries['entry-1']
    pours = deployment.upstreams['pours']
    deployment.set_faults(pours, delay_seconds=1.0)
    path = support.open_program(first)
    call = f'{support.name_of(path)}/1'
    stream = support.stream(
        first.http, 'PUT', f'{path}/calls/1', support.booking_body(stream=True)
    )
    deployments.wait_until(
        lambda: deployment.metric(
            deployment.sidecars['pours-sidecar'], 'waiting_calls'
        ) == 1,
        'a booking in progress',
    )  # fmt: skip
    freeze(deployment, 'service')
    deployments.wait_until(
        lambda: stream.is_done,
        'the outcome',
        UPSTREAM_SILENCE_SECONDS + PEER_BOUND_SECONDS,
    )
    deployment.set_faults(pours, delay_seconds=0.005)
    assert stream.last_event['verdict'] == 'may_have_run'
    assert deployment.runs('pours').get(call, 0) <= 1


@pytest.mark.parametrize('direction', ['both', 'to_server', 'to_client'])
def test_entry_keeps_working_when_its_platform_link_freezes(
    deployment, direction
):
    first, second = deployment.entries.values()
    freeze(deployment, 'platform', direction)
    name = f'class-{direction.replace("_", "-")}'
    support.put_class(second, name)
    deployments.wait_until(
        lambda: len(set(deployment.configuration_versions())) == 1,
        'change applied by all entries',
        STORE_BOUND_SECONDS,
    )
    path = support.open_program_of(deployment, 'entry-1')
    status, _ = support.send_request(
        first, 'PUT', f'{path}/calls/1', support.booking_body()
    )
    assert status == 200


def test_caller_gets_keepalives_while_nothing_is_generated(deployment):
    first = deployment.entries['entry-1']
    engine = deployment.upstreams['engine-1']
    deployment.set_faults(engine, step_seconds=1.5)
    path = support.open_program(first)
    stream = support.stream(
        first.http, 'PUT', f'{path}/calls/1',
        support.turn_body('hello', stream=True, max_tokens=2),
    )  # fmt: skip
    deployments.wait_until(
        lambda: stream.comments and not stream.text,
        'a comment before the first token',
        CALLER_READ_TIMEOUT_SECONDS,
    )
    deployments.wait_until(lambda: stream.is_done, 'the response')
    deployment.set_faults(engine, step_seconds=STEP_SECONDS)
    assert stream.is_complete


def test_caller_detects_a_frozen_link_and_resumes(deployment):
    first = deployment.entries['entry-1']
    path = support.open_program(first)
    prompt = support.long_prompt(3)
    address = deployment.links.address(*LINKS['caller'], '')
    stream = support.stream(
        address, 'PUT', f'{path}/calls/1',
        support.turn_body(prompt, stream=True),
        CALLER_READ_TIMEOUT_SECONDS,
    )  # fmt: skip
    deployments.wait_until(lambda: len(stream.text) > 20, 'first tokens')
    freeze(deployment, 'caller')
    deployments.wait_until(
        lambda: stream.is_done,
        'detected read timeout',
        CALLER_READ_TIMEOUT_SECONDS + 1,
    )
    assert stream.failure
    remainder = support.stream(
        address, 'GET', f'{path}/calls/1?stream=1&offset={len(stream.text)}'
    )
    deployments.wait_until(lambda: remainder.is_done, 'the remaining text')
    assert stream.text + remainder.text == support.expected_answer(prompt)
