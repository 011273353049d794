"""What the platform's store and the processes say of the system."""

import dataclasses
import datetime
import enum
import json
import typing

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood_server.gateway import messages as gateway_messages
from magnoliawood_server.keeper import messages as keeper_messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import decoding
from magnoliawood_server.platform import group_store as group_stores
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

REQUEST_TIMEOUT = datetime.timedelta(seconds=1)


class ReplicaState(enum.StrEnum):
    """How far the copy on a disk is."""

    COMPLETE = 'complete'
    COPYING = 'copying'
    STANDING_BY = 'standing_by'
    SILENT = 'silent'
    REPLACED = 'replaced'


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRow:
    """One disk.

    :param since: epoch in which it joined the group; none if it is no member
    :param copied: epoch up to which it says that its copy is complete
    """

    host: str
    disk: str
    since: int | None
    copied: int | None
    state: ReplicaState


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayRow:
    """What one gateway has in force; without a version it gave no answer.

    :param upstreams_revision: revision of the store that its upstreams are
        as of
    :param epoch: epoch of the group of copies that it knows
    """

    address: str
    configuration: int | None = None
    upstreams_revision: int | None = None
    epoch: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRow:
    """A host that is to be emptied, and whether it is."""

    host: str
    is_empty: bool


def state_of(
    member: groups.Member | None,
    status: keeper_messages.CopyStatus | None,
    disk_id: str,
) -> ReplicaState:
    """Return how far a copy is.

    Examples
    ========

    >>> member = groups.Member('d1', 'host-1', '', since=3)
    >>> status = keeper_messages.CopyStatus('d1', 2, None)
    >>> state_of(member, status, 'd1')
    <ReplicaState.COPYING: 'copying'>
    >>> state_of(None, status, 'd1')
    <ReplicaState.STANDING_BY: 'standing_by'>

    :param member: its place in the group, if it has one
    :param status: what its host says; nothing if it gave no answer
    """
    if status is None:
        return ReplicaState.SILENT
    if status.disk_id != disk_id:
        return ReplicaState.REPLACED
    if member is None:
        return ReplicaState.STANDING_BY
    if status.is_complete_replica_of(member):
        return ReplicaState.COMPLETE
    return ReplicaState.COPYING


class PlatformView:
    """Reads the store and asks the processes.

    :param store: address of the platform's store
    """

    def __init__(self, store: str) -> None:
        self._client = objects.StoreClient(store)
        self._groups = group_stores.GroupStore(self._client)
        self._pool = pools.PeerPool(clocks.SystemClock(), None)

    async def replicas(self) -> list[ReplicaRow]:
        """Return all disks, the members of the group first.

        :raises StoreUnavailable: if the store does not answer
        """
        stored = await self._groups.read()
        members = stored.group.members if stored else ()
        by_disk = {member.disk_id: member for member in members}
        spares = [
            disk
            for disk in await self._groups.disks()
            if disk.disk_id not in by_disk
        ]
        return [
            await self._replica_row(disk, by_disk.get(disk.disk_id))
            for disk in (*members, *spares)
        ]

    async def evacuations(self) -> list[EvacuationRow]:
        """Return the hosts that are to be emptied.

        :raises StoreUnavailable: if the store does not answer
        """
        found = await self._groups.evacuations()
        return [EvacuationRow(host, done) for host, done in found.items()]

    async def configuration(self) -> int:
        """Return the version of the configuration in the store.

        :raises StoreUnavailable: if the store does not answer
        :raises MagnoliawoodError: with ``not_found`` if it has none
        """
        stored = await self._client.get(
            names.KIND_CONFIGURATION, names.NAME_CONFIGURATION
        )
        if stored is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, 'the store has no configuration'
            )
        return decoding.decode_configuration(stored.spec).version

    async def gateway(self, address: str) -> GatewayRow:
        """Return what a gateway has in force.

        :param address: its address for peers
        """
        reply = await self._request(address, gateway_messages.GetSnapshot())
        if reply is None:
            return GatewayRow(address)
        snapshot = reply.snapshot
        version = None
        if snapshot.configuration:
            spec = json.loads(snapshot.configuration)
            version = decoding.decode_configuration(spec).version
        epoch = reply.group.epoch if reply.group else None
        return GatewayRow(address, version, snapshot.revision, epoch)

    async def _replica_row(
        self, disk: groups.Member, member: groups.Member | None
    ) -> ReplicaRow:
        status = await self._request(
            disk.address, keeper_messages.GetCopyStatus()
        )
        return ReplicaRow(
            disk.host,
            disk.disk_id,
            member.since if member else None,
            status.copied_epoch if status else None,
            state_of(member, status, disk.disk_id),
        )

    async def _request(self, address: str, message: object) -> typing.Any:
        """Return the answer of a process, or nothing if there is none."""
        try:
            return await self._pool.request(address, message, REQUEST_TIMEOUT)
        except errors.MagnoliawoodError:
            # The line about it says that it is silent.
            return None
