"""Skips file syncs in processes with this folder on their module path.

On a busy machine one sync took more than five seconds, which is longer than
gateways wait for a keeper, so that test results depended on the load of the
machine. Tests kill processes but not the machine, so written data survives
without a sync.
"""

import os


def _skip(descriptor: int) -> None:
    """Return without syncing the file."""


os.fsync = _skip
os.fdatasync = _skip
