"""Check that the deployment's requirements cover the imports of the roles."""

import importlib.metadata
import json
import os
import pathlib
import subprocess
import sys

import pytest

from magnoliawood_server.platform import launch

ROOT = pathlib.Path(__file__).parents[5]
REQUIREMENTS = ROOT / 'deploy' / 'requirements.txt'
OWN_DISTRIBUTIONS = {'magnoliawood', 'magnoliawood-server'}
LIST_MODULES = """
import json, sys
before = set(sys.modules)
import magnoliawood_server.platform.launch
import {app}
names = {{name.partition('.')[0] for name in set(sys.modules) - before}}
print(json.dumps(sorted(names)))
"""


def _canonical(name):
    return name.lower().replace('_', '-')


def _required_distributions():
    lines = REQUIREMENTS.read_text(encoding='utf-8').splitlines()
    return {_canonical(line.partition('==')[0]) for line in lines}


@pytest.mark.parametrize(
    'app',
    ['magnoliawood_server.gateway.app', 'magnoliawood_server.keeper.app'],
)
def test_role_imports_only_listed_requirements(app):
    """Importing a module that is not listed ends the process at its start."""
    completed = subprocess.run(
        [sys.executable, '-c', LIST_MODULES.format(app=app)],
        capture_output=True,
        check=True,
    )
    installed = importlib.metadata.packages_distributions()
    used = {
        _canonical(distribution)
        for module in json.loads(completed.stdout)
        for distribution in installed.get(module, [])
    }
    assert used - OWN_DISTRIBUTIONS <= _required_distributions()


@pytest.mark.parametrize('role', ['gateway', 'keeper'])
def test_malformed_limit_ends_the_start_with_one_line(role, tmp_path):
    settings = {
        'node_name': 'host-1',
        'ip': '127.0.0.1',
        'zone': 'zone-1',
        'port_range': [7380, 7395],
        'platform': {'address': '127.0.0.1:1'},
    }
    path = tmp_path / 'boot.json'
    path.write_text(json.dumps(settings), encoding='utf-8')
    completed = subprocess.run(
        [sys.executable, '-m', 'magnoliawood_server.platform.launch', role],
        capture_output=True,
        check=False,
        text=True,
        env={
            **os.environ,
            'MAGNOLIAWOOD_CONFIG': str(path),
            'MAGNOLIAWOOD_STALL_SECONDS': 'soon',
        },
    )
    assert completed.returncode == launch.BAD_SETTING_EXIT_CODE
    assert 'stall_seconds' in completed.stderr
    assert 'Traceback' not in completed.stderr
