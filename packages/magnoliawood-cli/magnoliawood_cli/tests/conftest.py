import json
import os
import subprocess
import sys

import pytest

from magnoliawood_testing import cluster
from magnoliawood_testing.cluster import deployment as deployments


@pytest.fixture(scope='package')
def deployment():
    """A small deployment that the tests of this package share."""
    with cluster.Deployment(engines=2, entries=2) as started:
        started.create_class('booking', 30)
        started.create_account('red-clay')
        started.create_account('kessick')
        started.create_account('support', 'viewer')
        started.wait_for_configuration()
        yield started


class Control:
    """Runs ``magnoliactl`` as a process of its own."""

    def __init__(self, entry, token=deployments.OPERATOR_TOKEN):
        self._environment = {
            **os.environ,
            'MAGNOLIACTL_ENTRY': entry,
            'MAGNOLIACTL_TOKEN': token,
            'COLUMNS': '200',
        }

    def run(self, *arguments):
        """Return the exit code and what was printed."""
        done = subprocess.run(
            [sys.executable, '-m', 'magnoliawood_cli.main', *arguments],
            env=self._environment,
            capture_output=True,
            text=True,
            check=False,
        )
        assert 'Traceback' not in done.stderr
        return done.returncode, done.stdout, done.stderr

    def read(self, *arguments):
        """Return the parsed answer of a command that succeeds."""
        code, printed, complaint = self.run('--output', 'json', *arguments)
        assert code == 0, complaint
        return json.loads(printed)


@pytest.fixture
def control(deployment):
    """The command line of the operator at the first entry."""
    return Control(deployment.entries['entry-1'].http)


@pytest.fixture
def other(deployment):
    """The command line of the operator at the second entry."""
    return Control(deployment.entries['entry-2'].http)


@pytest.fixture
def viewer(deployment):
    """The command line of a viewer."""
    return Control(
        deployment.entries['entry-1'].http, deployments.token_of('support')
    )
