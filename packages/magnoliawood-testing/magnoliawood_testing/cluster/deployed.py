"""Processes as the deploy file of the repository starts them."""

import pathlib
import sys
import tomllib

from magnoliawood_testing.cluster import process as processes

ROOT = pathlib.Path(__file__).parents[4]
_DEPLOY_FILE = ROOT / 'deploy' / 'system.toml'
_INTERPRETER = 'python3'


def command_of(role: str) -> list[str]:
    """Return the command of a role, to be run from any folder."""
    roles = tomllib.loads(_DEPLOY_FILE.read_text(encoding='utf-8'))['roles']
    interpreter, script, *arguments = roles[role]['run'].split()
    assert interpreter == _INTERPRETER
    return [sys.executable, str(ROOT / script), *arguments]


class DeployedProcess(processes.Process):
    """Process that runs a role of the deploy file.

    :param environment: variables in addition to those of this process
    """

    def __init__(
        self,
        name: str,
        role: str,
        folder: pathlib.Path,
        environment: dict[str, str],
    ) -> None:
        super().__init__(name, '', {}, folder, environment=environment)
        self._command = command_of(role)
