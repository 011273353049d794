"""Runs a program on the hosted deployment while a disk and a gateway fail."""

import sys
import time

from magnoliawood_testing.cluster import hosted

TURNS = 6
TURN_TOKENS = 80
_RETRY_SECONDS = 0.3


def main() -> None:
    """Run a program of several turns; exit with 0 if all checks pass."""
    started = time.monotonic()
    with hosted.HostedDeployment(keepers=3, gateways=2) as deployment:
        checks = {
            'history complete after each turn': _run_program(deployment),
            'turn beyond the budget rejected': _is_budget_enforced(deployment),
            'disk replicas complete again': _are_disk_replicas_complete(
                deployment
            ),
        }
    for check, has_passed in checks.items():
        print(f'{"ok" if has_passed else "FAILED":7} {check}')
    print(f'hosted deployment: {time.monotonic() - started:.1f} s')
    sys.exit(not all(checks.values()))


def _run_program(deployment: hosted.HostedDeployment) -> bool:
    """Run turns through both gateways; wipe a disk, kill a gateway midway.

    Return whether each request body contained the complete history.
    """
    previous, expected = '', ''
    for number in range(TURNS):
        if number == TURNS // 2:
            _lose_disk_and_gateway(deployment)
        name, text = f'turn-{number}', f'question {number}|'
        response = _turn(deployment, number % 2, name, previous, text)
        if deployment.journals.body_of(name) != expected + text:
            return False
        expected += text + response
        previous = name
    return True


def _lose_disk_and_gateway(deployment: hosted.HostedDeployment) -> None:
    print('wiping the disk of a keeper and killing a gateway')
    keeper = deployment.keepers[0]
    keeper.kill()
    deployment.wipe_disk(0)
    keeper.start()
    gateway = deployment.gateways[1]
    gateway.kill()
    gateway.start()
    deployment.wait_until_ready()


def _turn(
    deployment: hosted.HostedDeployment,
    gateway: int,
    name: str,
    previous: str,
    text: str,
) -> str:
    """Run a turn, retrying until its status is 200, and return its output."""
    while True:
        headers = {'Previous_Turn': previous} if previous else {}
        reply = deployment.call(
            gateway,
            '/turns/stream',
            name,
            text.encode(),
            Program_Id='demo',
            Token_Budget=str(TURNS * TURN_TOKENS),
            Token_Usage=f'10,{TURN_TOKENS}',
            **headers,
        )
        if reply.status == 200:
            break
        time.sleep(_RETRY_SECONDS)
    lines = reply.body.decode().splitlines()
    return ''.join(
        line.removeprefix('data: ') + '\n'
        for line in lines
        if line.startswith('data: ')
    )


def _is_budget_enforced(deployment: hosted.HostedDeployment) -> bool:
    """Return whether a turn beyond the budget is rejected with status 402."""
    while (status := _status_beyond_budget(deployment)) == 503:
        time.sleep(_RETRY_SECONDS)
    print(f'status of the turn beyond the budget: {status}')
    return status == 402


def _status_beyond_budget(
    deployment: hosted.HostedDeployment,
) -> int | None:
    reply = deployment.call(
        0,
        '/turns/stream',
        'one-too-many',
        b'x',
        Program_Id='demo',
        Token_Budget=str(TURNS * TURN_TOKENS),
        Token_Usage=f'10,{TURN_TOKENS}',
    )
    return reply.status


def _are_disk_replicas_complete(deployment: hosted.HostedDeployment) -> bool:
    deployment.wait_for_replicas()
    return len(deployment.group()['members']) == len(deployment.keepers)


if __name__ == '__main__':
    main()
