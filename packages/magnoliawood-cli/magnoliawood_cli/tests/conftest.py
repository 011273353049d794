import json
import os
import subprocess
import sys

import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments


@pytest.fixture(scope='package')
def deployment():
    """Small deployment that the tests of this package share."""
    with cluster.Deployment(engines=2, entries=2) as started:
        started.create_class('booking', 30)
        started.create_account('red-clay')
        started.create_account('kessick')
        started.create_account('support', 'viewer')
        started.wait_for_configuration()
        yield started


class Control:
    """Runs ``magnoliactl`` in a separate process."""

    def __init__(self, entry, token=deployments.OPERATOR_TOKEN):
        self._environment = {
            **os.environ,
            'MAGNOLIACTL_ENTRY': entry,
            'MAGNOLIACTL_TOKEN': token,
            'COLUMNS': '200',
        }

    def run(self, *arguments):
        """Return the exit code, stdout and stderr."""
        process = subprocess.run(
            [sys.executable, '-m', 'magnoliawood_cli.main', *arguments],
            env=self._environment,
            capture_output=True,
            text=True,
            check=False,
        )
        assert 'Traceback' not in process.stderr
        return process.returncode, process.stdout, process.stderr

    def read(self, *arguments):
        """Return the parsed JSON output of a command that must succeed."""
        code, stdout, stderr = self.run('--output', 'json', *arguments)
        assert code == 0, stderr
        return json.loads(stdout)


@pytest.fixture
def control(deployment):
    """Command line of the operator, connected to the first entry."""
    return Control(deployment.entries['entry-1'].http)


@pytest.fixture
def other_control(deployment):
    """Command line of the operator, connected to the second entry."""
    return Control(deployment.entries['entry-2'].http)


@pytest.fixture
def viewer(deployment):
    """Command line of a viewer, connected to the first entry."""
    return Control(
        deployment.entries['entry-1'].http, deployments.token_of('support')
    )
