import concurrent.futures
import signal
import uuid

import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises.tests import support

IN_FORCE_SECONDS = 5.0
# What a process needs to start comes on top where one is restarted.
START_SECONDS = 5.0


@pytest.fixture(scope='module')
def deployment():
    with cluster.Deployment(engines=1, services=(), entries=3) as started:
        support.set_up(started)
        yield started


@pytest.fixture
def entries(deployment):
    yield list(deployment.entries.values())
    deployment.set_faults(
        deployment.platform, outage=False, lost_reply_rate=0.0,
        lost_event_rate=0.0,
    )  # fmt: skip
    deployments.wait_until(deployment.is_ready, 'ready entries')


def new_name():
    return f'class-{uuid.uuid4().hex[:8]}'


def accept(node, name, version=None):
    status, answer = support.put_class(node, name, version=version)
    assert status == 200, answer
    return answer['version']


def version_at(deployment, node):
    return deployment.metric(node, 'configuration_version')


def wait_in_force(deployment, nodes, version, seconds=IN_FORCE_SECONDS):
    deployments.wait_until(
        lambda: all(version_at(deployment, n) >= version for n in nodes),
        f'version {version} in force',
        seconds,
    )


def check_used(node, work_class):
    """Open a program of a class, which only works where it is in force."""
    status, answer = support.send_request(
        node, 'PUT', f'/v1/programs/p-{uuid.uuid4().hex}',
        {'class': work_class, 'budget': support.BUDGET},
    )  # fmt: skip
    assert status == 201, answer


def test_of_two_racing_operators_one_wins(deployment, entries):
    name = new_name()
    version = accept(entries[0], name)
    for number in range(10):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            tries = [
                pool.submit(support.put_class, node, name, target, version)
                for node, target in zip(
                    entries, (100 + number, 200 + number), strict=False
                )
            ]
        answers = sorted(
            (t.result() for t in tries), key=lambda answer: answer[0]
        )
        assert [status for status, _ in answers] == [200, 412]
        assert answers[1][1]['code'] == 'version_conflict'
        assert answers[0][1]['version'] > version
        version = answers[0][1]['version']
    wait_in_force(deployment, entries, version)


def test_change_whose_reply_was_lost_is_in_force(deployment, entries):
    deployment.set_faults(deployment.platform, lost_reply_rate=1.0)
    name = new_name()
    version = accept(entries[0], name)
    deployment.set_faults(deployment.platform, lost_reply_rate=0.0)
    wait_in_force(deployment, entries, version)
    for node in entries:
        check_used(node, name)


def test_entry_restarted_in_an_outage_has_the_newest(deployment, entries):
    name = new_name()
    version = accept(entries[0], name)
    wait_in_force(deployment, entries, version)
    deployment.set_faults(deployment.platform, outage=True)
    last = entries[-1]
    last.process.kill()
    last.process.start()
    deployments.wait_until(
        lambda: (
            deployments.answers(last.http)
            and version_at(deployment, last) >= version
        ),
        'the newest configuration',
        START_SECONDS + IN_FORCE_SECONDS,
    )
    deployments.wait_until(
        lambda: deployments.call(last.http, 'GET', '/readyz')[0] == 200,
        'a ready entry',
    )
    status, answer = support.send_request(
        last, 'PUT',
        support.path_owned_by(deployment, 'entry-1'),
        {'class': name, 'budget': support.BUDGET},
    )  # fmt: skip
    assert status == 201, answer


def test_entry_frozen_during_a_change_catches_up(deployment, entries):
    frozen = entries[-1]
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        name = new_name()
        version = accept(entries[0], name)
        wait_in_force(deployment, entries[:-1], version)
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    wait_in_force(deployment, entries, version)
    check_used(frozen, name)


def test_change_is_in_force_though_watches_lose_events(deployment, entries):
    deployment.set_faults(deployment.platform, lost_event_rate=1.0)
    # The next watches begin after the fault was set.
    name = new_name()
    accept(entries[0], name)
    for node in entries:
        version = accept(node, new_name())
        wait_in_force(deployment, entries, version)
    for node in entries:
        check_used(node, name)


def test_versions_only_rise(deployment, entries):
    seen = [0] * len(entries)
    name = new_name()
    version = accept(entries[0], name)
    for number in range(12):
        node = entries[number % len(entries)]
        deployment.set_faults(
            deployment.platform, lost_event_rate=(number % 3) / 2
        )
        version = accept(node, name, version)
        now = [version_at(deployment, n) for n in entries]
        assert all(new >= old for new, old in zip(now, seen, strict=True))
        seen = now
    wait_in_force(deployment, entries, version)
