"""Collects what is known of the calls of shards that change owner."""

import dataclasses
import datetime

import curio

from magnoliawood.core import errors
from magnoliawood.ownership import takeover
from magnoliawood.ownership import witness as witnesses
from magnoliawood.platform import store
from magnoliawood.programs import identity
from magnoliawood.programs import records
from magnoliawood_server.entry import journal_writer
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import record_replicator
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

FENCE_TIMEOUT = datetime.timedelta(seconds=1)


@dataclasses.dataclass(slots=True)
class TakeoverState:
    """What was collected.

    :param unresponsive_sidecars: sidecars that did not answer the fence
    :param unresponsive_entries: entries that did not say what they hold
    :param sidecars_by_call: sidecars that have a witness record of each call
    :param newer_epoch_at: sidecars that know a newer epoch
    """

    recorded: list[records.Record] = dataclasses.field(default_factory=list)
    witnessed: list[witnesses.WitnessRecord] = dataclasses.field(
        default_factory=list
    )
    unresponsive_sidecars: set[str] = dataclasses.field(default_factory=set)
    unresponsive_entries: set[str] = dataclasses.field(default_factory=set)
    sidecars_by_call: dict[identity.CallId, set[str]] = dataclasses.field(
        default_factory=dict
    )

    newer_epoch_at: set[str] = dataclasses.field(default_factory=set)

    def check_epochs(self) -> None:
        """Refuse to go on if there is a newer owner.

        :raises MagnoliawoodError: with ``stale_epoch``
        """
        if self.newer_epoch_at:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH,
                'a sidecar knows a newer owner of the shards',
            )

    def all_records(self) -> list[records.Record]:
        """Return all records in an order to apply them."""
        kept = takeover.journal_records_from_witnesses(self.witnessed)
        return [*self.recorded, *kept]


class TakeoverReader:
    """Reads logs, asks peers for held records and fences sidecars."""

    def __init__(
        self,
        objects: store.ObjectStore,
        membership: memberships.Membership,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        held: record_replicator.ReplicatedRecordService,
    ) -> None:
        self._objects = objects
        self._membership = membership
        self._sidecars = sidecars
        self._pool = pool
        self._held = held

    async def collect(
        self,
        logs: list[str],
        sealed: list[str],
        epochs: list[messages.ShardEpoch],
    ) -> TakeoverState:
        """Collect all records of shards.

        :param logs: logs that hold records of the shards, oldest first
        :param sealed: those whose owner is dead
        :raises MagnoliawoodError: if the store does not answer or a
            sidecar knows a newer epoch
        """
        found = TakeoverState()
        shards = {item.shard for item in epochs}
        for log in logs:
            content = await journal_writer.read_log(self._objects, log)
            found.recorded += _of_shards(content, shards)
        async with curio.TaskGroup() as group:
            held = await group.spawn(self._collect_held, sealed, found)
            for sidecar in self._sidecars.all():
                await group.spawn(self.fence, sidecar, epochs, found)
        found.check_epochs()
        found.recorded += _of_shards(held.result, shards)
        return found

    async def fence(
        self,
        sidecar: sidecar_directory.Sidecar,
        epochs: list[messages.ShardEpoch],
        found: TakeoverState,
    ) -> None:
        """Tell a sidecar the epochs and collect its witness records."""
        try:
            reply = await self._pool.request(
                sidecar.host.address, messages.Fence(epochs), FENCE_TIMEOUT
            )
        except errors.MagnoliawoodError as error:
            if error.code == errors.ErrorCode.STALE_EPOCH:
                found.newer_epoch_at.add(sidecar.name)
            else:
                found.unresponsive_sidecars.add(sidecar.name)
            return
        found.witnessed += reply.records
        for record in reply.records:
            found.sidecars_by_call.setdefault(record.call, set()).add(
                sidecar.name
            )

    async def release(self, logs: list[str], shards: list[int]) -> None:
        """Let peers drop what they held of shards in sealed logs."""
        self._held.release(logs, shards)
        for host in self._membership.peers():
            try:
                await self._pool.request(
                    host.address,
                    messages.ReleaseHeld(logs, shards),
                    FENCE_TIMEOUT,
                )
            except errors.MagnoliawoodError:
                # It keeps them until it restarts, which harms nothing.
                continue

    async def _collect_held(
        self, logs: list[str], found: TakeoverState
    ) -> list[records.Record]:
        collected = self._held.seal(logs)

        async def request(host: store.Host) -> None:
            try:
                reply = await self._pool.request(
                    host.address, messages.SealHeld(logs), FENCE_TIMEOUT
                )
            except errors.MagnoliawoodError:
                found.unresponsive_entries.add(host.name)
            else:
                collected.extend(reply.records)

        async with curio.TaskGroup() as group:
            for host in self._membership.peers():
                await group.spawn(request, host)
        return collected


def _of_shards(
    found: list[records.Record], shards: set[int]
) -> list[records.Record]:
    return [
        record
        for record in found
        if records.program_of(record).shard in shards
    ]
