"""Retained turns beyond what the memory or the disks of keepers hold.

The keepers live, a turn that was accepted is not lost, and a turn that is
refused has not run.
"""

import concurrent.futures
import contextlib
import http

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import process_watch

MEGABYTE = 1024 * 1024
KEEPER_MEMORY_MB = 96
MAX_FDS = 400
KEEPERS = 3
GATEWAYS = 2
AT_ONCE = 8
REFUSALS = (429, 503)
DISK_MB = 24
BODY = b'y' * MEGABYTE
LARGE_TURNS = 48
# Legal names, which a keeper has to find turns by.
NAME_BYTES = 12 * 1024
SMALL_TURNS = 6000
CHECKED_TURNS = 40


@contextlib.contextmanager
def small_keepers(**limits):
    """Start a deployment; yield it and the watches of its keepers."""
    with hosted.HostedDeployment(
        gateways=GATEWAYS,
        keepers=KEEPERS,
        host_limits={
            'gateway': {'memory_mb': 256, 'max_fds': MAX_FDS},
            'keeper': {
                'memory_mb': KEEPER_MEMORY_MB,
                'max_fds': MAX_FDS,
                **limits,
            },
        },
    ) as deployment:
        for name in deployment.upstreams:
            deployment.set_upstream_faults(name, event_seconds=0)
        members = sorted(
            deployment.group()['members'], key=lambda member: member['host']
        )
        with contextlib.ExitStack() as stack:
            yield (
                deployment,
                [
                    stack.enter_context(
                        process_watch.ProcessWatch(process, member['address'])
                    )
                    for process, member in zip(
                        deployment.keepers, members, strict=True
                    )
                ],
            )


def send_once(deployment, name, body, **headers):
    """Send a turn once; return its status and name."""
    gateway = sum(map(ord, name)) % GATEWAYS
    try:
        response = deployment.call(
            gateway, '/turns/stream', name, body, **headers
        )
    except OSError:
        return 0, name
    return response.status, name


def send_all(deployment, names, body):
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        return list(
            pool.map(lambda name: send_once(deployment, name, body), names)
        )


def is_continued(deployment, name, body):
    """Whether a turn that continues another runs with its whole history."""

    def has_run():
        nonlocal tries
        tries += 1
        # Two long names exceed the limit on a head.
        next_name = f'next-{tries}-{name[:64]}'
        status, _ = send_once(deployment, next_name, b'z', Previous_Turn=name)
        assert status != http.HTTPStatus.NOT_FOUND, name[:64]
        if status != http.HTTPStatus.OK:
            return False
        sent = deployment.journals.body_of(next_name)
        return sent.startswith(body.decode()) and sent.endswith('z')

    tries = 0
    try:
        deployment.wait_for(has_run)
    except TimeoutError:
        return False
    return True


def is_answered(deployment):
    """Whether an ordinary request is answered, as for a usual client."""

    def ask():
        response = deployment.call(0, '/once/page', 'ordinary', b'hello')
        return response.status == http.HTTPStatus.OK

    try:
        deployment.wait_for(ask)
    except TimeoutError:
        return False
    return True


def check(deployment, watches, sent):
    assert all(process.is_running for process in deployment.keepers)
    for watch in watches:
        assert watch.peak_bytes <= KEEPER_MEMORY_MB * MEGABYTE
        assert watch.peak_descriptors <= MAX_FDS
    runs = deployment.journals.runs()
    refused = [name for status, name in sent if status in REFUSALS]
    assert not [name[:64] for name in refused if name in runs]
    assert is_answered(deployment)


def test_turns_beyond_the_disks_are_refused_before_they_run():
    with small_keepers(disk_mb=DISK_MB) as (deployment, watches):
        names = [f'turn-{number}' for number in range(LARGE_TURNS)]
        sent = send_all(deployment, names, BODY)
        check(deployment, watches, sent)
        accepted = [name for status, name in sent if status == 200]
        assert accepted
        assert {status for status, _ in sent} <= {200, *REFUSALS}
        for name in accepted:
            assert deployment.journals.body_of(name) == BODY.decode()


def test_small_turns_beyond_the_memory_of_keepers():
    with small_keepers() as (deployment, watches):
        names = [
            f'small-{number}-'.ljust(NAME_BYTES, 'n')
            for number in range(SMALL_TURNS)
        ]
        sent = send_all(deployment, names, b'x')
        check(deployment, watches, sent)
        accepted = [name for status, name in sent if status == 200]
        assert accepted
        assert {status for status, _ in sent} <= {200, *REFUSALS}
        for name in accepted[:: len(accepted) // CHECKED_TURNS + 1]:
            assert is_continued(deployment, name, b'x')
