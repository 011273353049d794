"""Identity of a disk and completeness of its replica."""

import dataclasses
import os
import pathlib
import uuid

import pydantic

_FILE_PATTERN = 'state-*.json'


@dataclasses.dataclass(frozen=True, slots=True)
class DiskState:
    """Persistent state of a disk.

    :param disk_id: random identity, generated when the disk is first used
    :param copied_epoch: epoch of the replica group up to which the replica
        is complete
    :param sealed_epoch: requests with an older epoch are rejected
    """

    disk_id: str
    copied_epoch: int = 0
    sealed_epoch: int = 0


_STATE = pydantic.TypeAdapter(DiskState)


def load(folder: pathlib.Path) -> DiskState:
    """Return the state on a disk; an empty disk gets a new identity.

    :raises OSError: if reading or writing the state fails
    """
    for path in sorted(folder.glob(_FILE_PATTERN), reverse=True):
        try:
            return _STATE.validate_json(path.read_bytes())
        except ValueError:
            # The write of this version was torn; the previous one is valid.
            continue
    state = DiskState(uuid.uuid4().hex)
    save(folder, state)
    return state


def save(folder: pathlib.Path, state: DiskState) -> None:
    """Write a state durably.

    :raises OSError: if writing or syncing fails
    """
    existing = sorted(folder.glob(_FILE_PATTERN))
    last = int(existing[-1].stem.split('-')[1]) if existing else 0
    path = folder / f'state-{last + 1:08d}.json'
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL)
    try:
        os.write(descriptor, _STATE.dump_json(state))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    for old in existing[:-1]:
        old.unlink()
