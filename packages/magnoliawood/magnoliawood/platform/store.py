"""Interface of the platform's object store."""

import dataclasses
import datetime
import typing

from magnoliawood.core import errors

# Version of an object that does not exist.
ABSENT = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """One object of the store.

    :param name: kind and name, separated by ``/``
    :param version: version of the store at the last write of the object; it
        increases with every write of any object; 0 if absent
    :param value: the content
    """

    name: str
    version: int
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """Objects under a prefix, read at one version of the store."""

    version: int
    objects: list[StoredObject]


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """One host on the platform's host list.

    :param name: name of the host
    :param role: ``entry`` or ``sidecar``
    :param address: IP address and port of the magnoliawood process on it
    :param data_centre: name of the data centre
    :param leaving: whether the host is about to be removed
    """

    name: str
    role: str
    address: str
    data_centre: str
    leaving: bool


class VersionConflict(errors.MagnoliawoodError):  # noqa: N818
    """Error of a conditional write that found another version.

    :param name: name of the object
    :param current: the object as the store has it now, if it exists
    """

    def __init__(self, name: str, current: StoredObject | None) -> None:
        super().__init__(
            errors.ErrorCode.VERSION_CONFLICT,
            f'{name} was changed by another writer',
        )
        self.current = current


class ObjectStore(typing.Protocol):
    """Versioned objects with conditional writes and watches.

    Every method raises :class:`MagnoliawoodError` with
    ``store_unavailable`` if the store does not respond in time.
    """

    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it is absent."""
        ...

    async def scan(self, prefix: str) -> Listing:
        """Return the objects whose names start with ``prefix``."""
        ...

    async def put(self, name: str, value: str, expected: int) -> StoredObject:
        """Write an object if it is at version ``expected``.

        :raises VersionConflict: if it is not
        """
        ...

    async def delete(self, name: str, expected: int) -> None:
        """Remove an object if it is at version ``expected``.

        :raises VersionConflict: if it is not
        """
        ...

    async def watch(
        self, prefix: str, after: int, wait: datetime.timedelta
    ) -> int:
        """Wait until an object under ``prefix`` changes, or ``wait`` passes.

        :returns: the newest version; ``after`` if nothing changed
        """
        ...

    async def hosts(self) -> list[Host]:
        """Return the platform's host list."""
        ...
