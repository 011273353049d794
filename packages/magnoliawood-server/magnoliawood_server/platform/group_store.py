"""Storage of the replica group and its candidate disks."""

import dataclasses
import logging

from magnoliawood.replication import group as groups
from magnoliawood_server.platform import decoding
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredGroup:
    """A replica group and its revision in the store."""

    group: groups.Group
    revision: int


class GroupStore:
    """Reads and changes the replica group in the platform's store.

    :param client: client without watches, which would delay other calls
    """

    def __init__(self, client: objects.StoreClient) -> None:
        self._client = client

    async def read(self, allow_stale: bool = False) -> StoredGroup | None:
        """Return the replica group, or ``None`` if none has been stored.

        :raises StoreUnavailable: if the store does not respond
        """
        stored = await self._client.get(
            names.KIND_GROUP, names.NAME_GROUP, allow_stale
        )
        if stored is None:
            return None
        return StoredGroup(decoding.decode_group(stored.spec), stored.revision)

    async def create(self, group: groups.Group) -> None:
        """Store the first replica group.

        :raises RevisionConflict: if one is stored already
        :raises StoreUnavailable: if the store does not respond
        """
        await self._client.create(
            names.KIND_GROUP, names.NAME_GROUP, decoding.encode_group(group)
        )

    async def change(self, old: StoredGroup, group: groups.Group) -> None:
        """Replace the stored replica group.

        :raises RevisionConflict: if it has changed since it was read
        :raises StoreUnavailable: if the store does not respond
        """
        spec = decoding.encode_group(group)
        await self._client.replace(
            names.KIND_GROUP,
            objects.StoredObject(names.NAME_GROUP, old.revision, spec),
        )

    async def register_disk(self, member: groups.Member) -> None:
        """Register a disk as a candidate member, or update its entry.

        :raises StoreUnavailable: if the store does not respond
        """
        spec = decoding.encode_member(member)
        try:
            await self._client.create(names.KIND_DISKS, member.host, spec)
        except objects.RevisionConflict:
            registered = await self._client.get(names.KIND_DISKS, member.host)
            if registered is None or registered.spec == spec:
                return
            await self._client.replace(
                names.KIND_DISKS, dataclasses.replace(registered, spec=spec)
            )

    async def disks(self) -> list[groups.Member]:
        """Return all candidate disks, ordered by host.

        :raises StoreUnavailable: if the store does not respond
        """
        listing = await self._client.list(names.KIND_DISKS)
        members = [
            decoding.decode_member(stored.spec) for stored in listing.objects
        ]
        return sorted(members, key=lambda member: member.host)

    async def evacuations(self) -> dict[str, bool]:
        """Return, for each host to evacuate, whether its evacuation is done.

        :raises StoreUnavailable: if the store does not respond
        """
        listing = await self._client.list(
            names.KIND_EVACUATIONS, allow_stale=True
        )
        return {
            stored.name: _state(stored) == names.EVACUATION_DONE
            for stored in listing.objects
        }

    async def report_evacuation(self, host: str, is_done: bool) -> None:
        """Report whether the evacuation of a host is done or still running.

        :raises StoreUnavailable: if the store does not respond
        """
        state = names.EVACUATION_DONE if is_done else names.EVACUATION_RUNNING
        await self._client.put_status(
            names.KIND_EVACUATIONS,
            objects.StoredObject(host, 0, None, {'state': state}),
        )


def _state(stored: objects.StoredObject) -> object:
    return (
        stored.status.get('state') if isinstance(stored.status, dict) else ''
    )
