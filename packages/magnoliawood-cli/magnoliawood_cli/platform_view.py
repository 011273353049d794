"""View of the system, read from the platform's store and the processes."""

import dataclasses
import datetime
import enum
import json
import typing

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood.routes import configuration as configurations
from magnoliawood_server.gateway import messages as gateway_messages
from magnoliawood_server.keeper import messages as keeper_messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import decoding
from magnoliawood_server.platform import group_store as group_stores
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

REQUEST_TIMEOUT = datetime.timedelta(seconds=1)


class ReplicaState(enum.StrEnum):
    """State of the replica on a disk.

    Explanation
    ===========

    ``STANDING_BY`` is a standby disk, which is not a member of the replica
    group. ``SILENT`` means that the keeper did not respond, ``REPLACED``
    that it reported another disk than expected, such as a wiped one.
    """

    COMPLETE = 'complete'
    COPYING = 'copying'
    STANDING_BY = 'standing_by'
    SILENT = 'silent'
    REPLACED = 'replaced'


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaRow:
    """Disk and the state of its replica.

    :param since: epoch in which the disk joined the replica group; none if it
        is not a member
    :param copied: epoch up to which the keeper reports its replica as complete
    """

    host: str
    disk: str
    since: int | None
    copied: int | None
    state: ReplicaState


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayRow:
    """State that a gateway currently uses; all none if it did not respond.

    :param configuration: version of its configuration
    :param upstreams_revision: store revision of its list of upstreams
    :param epoch: epoch of its replica group
    """

    address: str
    configuration: int | None = None
    upstreams_revision: int | None = None
    epoch: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationRow:
    """Host to be evacuated, and whether all its data has been moved."""

    host: str
    is_empty: bool


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRow:
    """Client account as the store has it, without its keys.

    :param keys: number of its keys
    :param rate: requests per second; none if it is not limited
    :param burst: requests beyond the rate; none if it is not limited
    """

    account: str
    keys: int
    priority: int | None
    rate: float | None
    burst: float | None


def account_rows(
    configuration: configurations.Configuration,
) -> list[AccountRow]:
    """Return the client accounts of a configuration by name."""
    return [
        AccountRow(
            account.name,
            len(account.key_digests),
            account.rank,
            account.rate if account.is_limited else None,
            account.burst if account.is_limited else None,
        )
        for account in sorted(
            configuration.accounts or (), key=lambda account: account.name
        )
    ]


def state_of(
    member: groups.Member | None,
    status: keeper_messages.CopyStatus | None,
    disk_id: str,
) -> ReplicaState:
    """Return the state of the replica on a disk.

    Examples
    ========

    >>> member = groups.Member('d1', 'host-1', '', since=3)
    >>> status = keeper_messages.CopyStatus('d1', 2, None)
    >>> state_of(member, status, 'd1')
    <ReplicaState.COPYING: 'copying'>
    >>> state_of(None, status, 'd1')
    <ReplicaState.STANDING_BY: 'standing_by'>

    :param member: the disk as a member of the replica group; none if it is
        not a member
    :param status: response of the keeper on its host; none if it did not
        respond
    :param disk_id: expected identity of the disk
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
    """Reader of the platform's store and of the state of processes.

    :param store: address of the platform's store, HOST:PORT
    """

    def __init__(self, store: str) -> None:
        self._client = objects.StoreClient(store)
        self._groups = group_stores.GroupStore(self._client)
        self._pool = pools.PeerPool(clocks.SystemClock(), None)

    async def replicas(self) -> list[ReplicaRow]:
        """Return all disks, the members of the replica group first.

        :raises StoreUnavailable: if the store does not respond
        """
        stored = await self._groups.read()
        members = stored.group.members if stored else ()
        by_disk = {member.disk_id: member for member in members}
        standby_disks = [
            disk
            for disk in await self._groups.disks()
            if disk.disk_id not in by_disk
        ]
        return [
            await self._replica_row(disk, by_disk.get(disk.disk_id))
            for disk in (*members, *standby_disks)
        ]

    async def evacuations(self) -> list[EvacuationRow]:
        """Return the hosts to be evacuated.

        :raises StoreUnavailable: if the store does not respond
        """
        stored_states = await self._groups.evacuations()
        return [
            EvacuationRow(host, is_empty)
            for host, is_empty in stored_states.items()
        ]

    async def configuration(self) -> configurations.Configuration:
        """Return the configuration in the store.

        :raises StoreUnavailable: if the store does not respond
        :raises MagnoliawoodError: with ``not_found`` if the store contains no
            configuration
        """
        stored = await self._client.get(
            names.KIND_CONFIGURATION, names.NAME_CONFIGURATION
        )
        if stored is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_FOUND, 'the store has no configuration'
            )
        return decoding.decode_configuration(stored.spec)

    async def gateway(self, address: str) -> GatewayRow:
        """Return the state that a gateway currently uses.

        :param address: peer address of the gateway
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
        """Return the response of a process, or none if it did not respond."""
        try:
            return await self._pool.request(address, message, REQUEST_TIMEOUT)
        except errors.MagnoliawoodError:
            # The row of the process shows that it did not respond.
            return None
