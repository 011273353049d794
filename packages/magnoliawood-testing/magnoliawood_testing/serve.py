"""Runs a small deployment in the foreground to try the scheduler out."""

import argparse
import pathlib
import signal
import sys
import typing

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments

_CALLER = 'red-clay'
_CLASSES = {'booking': 30, 'alerts': 2}


def environment(deployment: deployments.Deployment) -> dict[str, str]:
    """Return the environment variables used in the documentation."""
    entry = next(iter(deployment.entries.values()))
    return {
        'MAGNOLIACTL_ENTRY': entry.http,
        'MAGNOLIACTL_TOKEN': deployments.OPERATOR_TOKEN,
        'ENTRY': f'http://{entry.http}',
        'TOKEN': deployments.token_of(_CALLER),
        'OPENAI_BASE_URL': f'http://{entry.http}/v1',
        'OPENAI_API_KEY': deployments.token_of(_CALLER),
    }


def prepare(deployment: deployments.Deployment) -> None:
    """Create the work classes and the client account of the examples."""
    for name, target_seconds in _CLASSES.items():
        deployment.create_class(name, target_seconds)
    deployment.create_account(_CALLER)
    deployment.wait_for_configuration()


def write_environment(path: pathlib.Path, variables: dict[str, str]) -> None:
    """Write variables to a file that a shell can read with ``.``."""
    path.parent.mkdir(parents=True, exist_ok=True)
    lines = [f'export {name}={value}\n' for name, value in variables.items()]
    path.write_text(''.join(lines), encoding='utf-8')


def main() -> None:
    """Serve until SIGINT or SIGTERM, then delete the environment file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--env-file', type=pathlib.Path, required=True)
    options = parser.parse_args()
    # Shells start background processes with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _stop)
    try:
        with cluster.Deployment(engines=2, entries=2) as deployment:
            prepare(deployment)
            write_environment(options.env_file, environment(deployment))
            print(f'Serving. In another shell: . ./{options.env_file}')
            print('Press Ctrl-C to stop.', flush=True)
            signal.pause()
    finally:
        options.env_file.unlink(missing_ok=True)


def _stop(number: int, frame: typing.Any) -> typing.NoReturn:
    sys.exit(0)


if __name__ == '__main__':
    main()
