"""Processes of the users' platform: gateways and keepers."""

import json
import os
import pathlib
import typing

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
) -> processes.Process:
    """Return a process with its settings in a file.

    :param folder: folder for the settings and the log
    :param settings: settings as the platform writes them
    :param peer_bind: address at which it listens for peers
    """
    name = settings['node_name']
    path = folder / f'{name}.json'
    path.write_text(json.dumps(settings), encoding='utf-8')
    metrics_port = processes.free_address().split(':')[1]
    return processes.Process(
        name,
        _LAUNCH_MODULE,
        {},
        folder,
        role,
        {
            'MAGNOLIAWOOD_CONFIG': str(path),
            'MAGNOLIAWOOD_PEER_BIND': peer_bind,
            'PYTHONPATH': unsynced_path(),
            'MAGNOLIAWOOD_METRICS_PORT': metrics_port,
        },
    )


def unsynced_path() -> str:
    """Return a module search path that makes processes skip file syncs."""
    inherited = os.environ.get('PYTHONPATH')
    return os.pathsep.join(
        [str(_UNSYNCED_FOLDER), *([inherited] if inherited else [])]
    )
