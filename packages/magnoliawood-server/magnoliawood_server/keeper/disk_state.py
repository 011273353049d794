"""The identity of a disk and how complete its copy is."""

import dataclasses
import os
import pathlib
import uuid

import pydantic

_PATTERN = 'state-*.json'


@dataclasses.dataclass(frozen=True, slots=True)
class DiskState:
    """What a disk says of itself.

    :param disk_id: drawn when the disk was first used
    :param copied_epoch: epoch of the group up to which the copy is complete
    :param sealed_epoch: older epochs are refused
    """

    disk_id: str
    copied_epoch: int = 0
    sealed_epoch: int = 0


_STATE = pydantic.TypeAdapter(DiskState)


def load(folder: pathlib.Path) -> DiskState:
    """Return the state on a disk; an empty disk gets a new identity.

    :raises OSError: if the disk refuses it
    """
    for path in sorted(folder.glob(_PATTERN), reverse=True):
        try:
            return _STATE.validate_json(path.read_bytes())
        except ValueError:
            # The write of this version was torn; the one before holds.
            continue
    state = DiskState(uuid.uuid4().hex)
    save(folder, state)
    return state


def save(folder: pathlib.Path, state: DiskState) -> None:
    """Write a state durably.

    :raises OSError: if the disk refuses it
    """
    known = sorted(folder.glob(_PATTERN))
    last = int(known[-1].stem.split('-')[1]) if known else 0
    path = folder / f'state-{last + 1:08d}.json'
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL)
    try:
        os.write(descriptor, _STATE.dump_json(state))
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    for old in known[:-1]:
        old.unlink()
