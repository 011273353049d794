"""Processes of the users' platform: gateways and keepers."""

import json
import os
import pathlib
import typing

from magnoliawood_testing.cluster import deployed
from magnoliawood_testing.cluster import process as processes

# Folder with a module that makes processes skip file syncs; its docstring
# gives the reason.
_UNSYNCED_FOLDER = pathlib.Path(__file__).parent / 'unsynced'
_LAUNCH_MODULE = 'magnoliawood_server.platform.launch'


def make_daemon(
    folder: pathlib.Path,
    role: str,
    settings: dict[str, typing.Any],
    peer_bind: str,
    is_deployed: bool = False,
) -> processes.Process:
    """Return a process with its settings in a file.

    :param folder: folder for the settings and the log
    :param settings: settings as the platform writes them
    :param peer_bind: address at which it listens for peers
    :param is_deployed: whether it is started as the deploy file says
    """
    name = settings['node_name']
    path = folder / f'{name}.json'
    path.write_text(json.dumps(settings), encoding='utf-8')
    metrics_port = processes.free_address().split(':')[1]
    environment = {
        'MAGNOLIAWOOD_CONFIG': str(path),
        'MAGNOLIAWOOD_PEER_BIND': peer_bind,
        'PYTHONPATH': unsynced_path(),
        'MAGNOLIAWOOD_METRICS_PORT': metrics_port,
    }
    if is_deployed:
        return deployed.DeployedProcess(name, role, folder, environment)
    return processes.Process(
        name, _LAUNCH_MODULE, {}, folder, role, environment
    )


def unsynced_path() -> str:
    """Return a module search path that makes processes skip file syncs."""
    inherited = os.environ.get('PYTHONPATH')
    return os.pathsep.join(
        [str(_UNSYNCED_FOLDER), *([inherited] if inherited else [])]
    )
