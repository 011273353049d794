import concurrent.futures
import signal
import uuid

import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments
from magnoliawood_testing.promises.tests import support

APPLY_BOUND_SECONDS = 5.0
# Start-up time of a process, added to the bound where one is restarted.
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


def write_class(node, name, version=None):
    status, response = support.put_class(node, name, version=version)
    assert status == 200, response
    return response['version']


def version_at(deployment, node):
    return deployment.metric(node, 'configuration_version')


def wait_until_applied(
    deployment, nodes, version, seconds=APPLY_BOUND_SECONDS
):
    deployments.wait_until(
        lambda: all(version_at(deployment, n) >= version for n in nodes),
        f'version {version} applied',
        seconds,
    )


def check_applied(node, work_class):
    """Open a program of a class; fails if the entry has not applied it."""
    status, response = support.send_request(
        node, 'PUT', f'/v1/programs/p-{uuid.uuid4().hex}',
        {'class': work_class, 'budget': support.BUDGET},
    )  # fmt: skip
    assert status == 201, response


def test_only_one_of_two_concurrent_changes_is_accepted(deployment, entries):
    name = new_name()
    version = write_class(entries[0], name)
    for number in range(10):
        with concurrent.futures.ThreadPoolExecutor() as pool:
            attempts = [
                pool.submit(support.put_class, node, name, target, version)
                for node, target in zip(
                    entries, (100 + number, 200 + number), strict=False
                )
            ]
        responses = sorted(
            (t.result() for t in attempts), key=lambda response: response[0]
        )
        assert [status for status, _ in responses] == [200, 412]
        assert responses[1][1]['code'] == 'version_conflict'
        assert responses[0][1]['version'] > version
        version = responses[0][1]['version']
    wait_until_applied(deployment, entries, version)


def test_change_whose_reply_was_lost_is_applied(deployment, entries):
    deployment.set_faults(deployment.platform, lost_reply_rate=1.0)
    name = new_name()
    version = write_class(entries[0], name)
    deployment.set_faults(deployment.platform, lost_reply_rate=0.0)
    wait_until_applied(deployment, entries, version)
    for node in entries:
        check_applied(node, name)


def test_entry_restarted_in_an_outage_has_the_newest_version(
    deployment, entries
):
    name = new_name()
    version = write_class(entries[0], name)
    wait_until_applied(deployment, entries, version)
    # Entries that start together own all shards by turns at first. A shard
    # whose owner is killed in an outage has none until the store is back.
    deployments.wait_until(
        lambda: support.has_preferred_owners(deployment), 'preferred owners'
    )
    support.open_program_of(deployment, 'entry-1')
    deployment.set_faults(deployment.platform, outage=True)
    restarted = entries[-1]
    restarted.process.kill()
    restarted.process.start()
    deployments.wait_until(
        lambda: (
            deployments.is_responding(restarted.http)
            and version_at(deployment, restarted) >= version
        ),
        'the newest configuration',
        START_SECONDS + APPLY_BOUND_SECONDS,
    )
    deployments.wait_until(
        lambda: deployments.call(restarted.http, 'GET', '/readyz')[0] == 200,
        'a ready entry',
    )
    status, response = support.send_request(
        restarted, 'PUT',
        support.path_owned_by(deployment, 'entry-1'),
        {'class': name, 'budget': support.BUDGET},
    )  # fmt: skip
    assert status == 201, response


def test_entry_frozen_during_a_change_catches_up(deployment, entries):
    frozen = entries[-1]
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        name = new_name()
        version = write_class(entries[0], name)
        wait_until_applied(deployment, entries[:-1], version)
    finally:
        frozen.process.send_signal(signal.SIGCONT)
    wait_until_applied(deployment, entries, version)
    check_applied(frozen, name)


def test_change_is_applied_although_watches_lose_events(deployment, entries):
    deployment.set_faults(deployment.platform, lost_event_rate=1.0)
    # Watches that start after this write are subject to the fault.
    name = new_name()
    write_class(entries[0], name)
    for node in entries:
        version = write_class(node, new_name())
        wait_until_applied(deployment, entries, version)
    for node in entries:
        check_applied(node, name)


def test_versions_never_decrease(deployment, entries):
    seen = [0] * len(entries)
    name = new_name()
    version = write_class(entries[0], name)
    for number in range(12):
        node = entries[number % len(entries)]
        deployment.set_faults(
            deployment.platform, lost_event_rate=(number % 3) / 2
        )
        version = write_class(node, name, version)
        now = [version_at(deployment, n) for n in entries]
        assert all(new >= old for new, old in zip(now, seen, strict=True))
        seen = now
    wait_until_applied(deployment, entries, version)
