"""Many retained turns of legal size that reach the keepers at once."""

import concurrent.futures
import http

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import process_watch

MEGABYTE = 1024 * 1024
KEEPER_MEMORY_MB = 120
GATEWAY_MEMORY_MB = 128
MAX_FDS = 400
KEEPERS = 3
GATEWAYS = 2
BODY = b'y' * (3 * MEGABYTE)
AT_ONCE = 8
TURNS = 40


def send_turn(deployment, name, previous='', body=BODY):
    """Send a turn as a usual client does, until it is not refused."""
    headers = {'Previous_Turn': previous} if previous else {}
    gateway = sum(map(ord, name)) % GATEWAYS

    def is_decided():
        nonlocal response
        response = deployment.call(
            gateway, '/turns/stream', f'{name}-{next(tries)}', body, **headers
        )
        return response.status not in (429, 503)

    tries = iter(range(1_000_000))
    response = None
    try:
        deployment.wait_for(is_decided)
    except TimeoutError:
        pass
    return response.status, f'{name}-{next(tries) - 1}'


def test_many_large_turns_at_once_end_no_keeper_and_none_is_lost():
    with hosted.HostedDeployment(
        gateways=GATEWAYS,
        keepers=KEEPERS,
        host_limits={
            'gateway': {'memory_mb': GATEWAY_MEMORY_MB, 'max_fds': MAX_FDS},
            'keeper': {'memory_mb': KEEPER_MEMORY_MB, 'max_fds': MAX_FDS},
        },
    ) as deployment:
        processes = [*deployment.keepers, *deployment.gateways]
        watches = [
            process_watch.ProcessWatch(process, address)
            for process, address in zip(
                processes,
                [member['address'] for member in _members(deployment)]
                + deployment.peer_addresses,
                strict=True,
            )
        ]
        for watch in watches:
            watch.__enter__()
        with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
            sent = list(
                pool.map(
                    lambda number: send_turn(deployment, f'turn-{number}'),
                    range(TURNS),
                )
            )
        accepted = [name for status, name in sent if status == 200]
        continued = {
            name: send_turn(deployment, f'next-{name}', name, b'z')
            for name in accepted
        }
        for watch in watches:
            watch.__exit__()
        assert all(process.is_running for process in processes)
        for process, watch in zip(processes, watches, strict=True):
            is_keeper = process in deployment.keepers
            limit = KEEPER_MEMORY_MB if is_keeper else GATEWAY_MEMORY_MB
            assert watch.peak_bytes <= limit * MEGABYTE, process.name
            assert watch.peak_descriptors <= MAX_FDS, process.name
        assert accepted
        assert {status for status, _ in continued.values()} == {
            http.HTTPStatus.OK
        }
        for name, (_, sent_name) in continued.items():
            body = deployment.journals.body_of(sent_name)
            assert body.startswith(BODY.decode()), name
            assert body.endswith('z'), name


def _members(deployment):
    """Return the members of the group in the order of the keepers."""
    return sorted(
        deployment.group()['members'], key=lambda member: member['host']
    )
