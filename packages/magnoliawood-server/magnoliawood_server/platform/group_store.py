"""The group of copies and its candidates in the platform's store."""

import dataclasses
import logging

from magnoliawood.replication import group as groups
from magnoliawood_server.platform import decoding
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredGroup:
    """A group and the revision at which the store has it."""

    group: groups.Group
    revision: int


class GroupStore:
    """Reads and changes the group of copies.

    :param client: client for short calls
    """

    def __init__(self, client: objects.StoreClient) -> None:
        self._client = client

    async def read(self, allow_stale: bool = False) -> StoredGroup | None:
        """Return the group, or nothing before there is one.

        :raises StoreUnavailable: if the store does not answer
        """
        stored = await self._client.get(
            names.KIND_GROUP, names.NAME_GROUP, allow_stale
        )
        if stored is None:
            return None
        return StoredGroup(decoding.decode_group(stored.spec), stored.revision)

    async def create(self, group: groups.Group) -> None:
        """Store the first group.

        :raises RevisionConflict: if there is one
        :raises StoreUnavailable: if the store does not answer
        """
        await self._client.create(
            names.KIND_GROUP, names.NAME_GROUP, decoding.encode_group(group)
        )

    async def change(self, old: StoredGroup, group: groups.Group) -> None:
        """Store another group in place of one.

        :raises RevisionConflict: if it has changed meanwhile
        :raises StoreUnavailable: if the store does not answer
        """
        spec = decoding.encode_group(group)
        await self._client.replace(
            names.KIND_GROUP,
            objects.StoredObject(names.NAME_GROUP, old.revision, spec),
        )

    async def register_disk(self, member: groups.Member) -> None:
        """Make a disk known as a candidate.

        :raises StoreUnavailable: if the store does not answer
        """
        spec = decoding.encode_member(member)
        try:
            await self._client.create(names.KIND_DISKS, member.host, spec)
        except objects.RevisionConflict:
            known = await self._client.get(names.KIND_DISKS, member.host)
            if known is None or known.spec == spec:
                return
            await self._client.replace(
                names.KIND_DISKS, dataclasses.replace(known, spec=spec)
            )

    async def disks(self) -> list[groups.Member]:
        """Return all candidates, ordered by host.

        :raises StoreUnavailable: if the store does not answer
        """
        listing = await self._client.list(names.KIND_DISKS)
        found = [
            decoding.decode_member(stored.spec) for stored in listing.objects
        ]
        return sorted(found, key=lambda member: member.host)

    async def evacuations(self) -> dict[str, bool]:
        """Return the hosts that are to be emptied, and whether they are.

        :raises StoreUnavailable: if the store does not answer
        """
        listing = await self._client.list(
            names.KIND_EVACUATIONS, allow_stale=True
        )
        return {
            stored.name: _state(stored) == names.EVACUATION_DONE
            for stored in listing.objects
        }

    async def report_evacuation(self, host: str, is_done: bool) -> None:
        """Report how far a host is emptied.

        :raises StoreUnavailable: if the store does not answer
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
