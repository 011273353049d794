"""Collection of the records of shards that change owner."""

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
    """Records collected for a takeover, and the hosts that did not respond.

    :param recorded: records from journals and from replicas at entries
    :param witnessed: witness records, which are a sidecar's replicas of
        calls until the journal has them durably
    :param unresponsive_sidecars: sidecars that did not respond to the fence
    :param unresponsive_entries: entries that did not return the records
        replicated there
    :param sidecars_by_call: sidecars that have a witness record of each call
    :param newer_epoch_at: sidecars that have seen a newer epoch
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
        """Check that no sidecar has seen a newer epoch.

        :raises MagnoliawoodError: with ``stale_epoch``
        """
        if self.newer_epoch_at:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH,
                'a sidecar has seen a newer epoch of the shards',
            )

    def all_records(self) -> list[records.Record]:
        """Return all records in the order in which to apply them."""
        from_witnesses = takeover.journal_records_from_witnesses(
            self.witnessed
        )
        return [*self.recorded, *from_witnesses]


class TakeoverReader:
    """Reads logs, requests replicated records and fences sidecars."""

    def __init__(
        self,
        objects: store.ObjectStore,
        membership: memberships.Membership,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        replicated: record_replicator.ReplicatedRecordService,
    ) -> None:
        self._objects = objects
        self._membership = membership
        self._sidecars = sidecars
        self._pool = pool
        self._replicated = replicated

    async def collect(
        self,
        logs: list[str],
        sealed_logs: list[str],
        epochs: list[messages.ShardEpoch],
    ) -> TakeoverState:
        """Collect all records of shards.

        :param logs: logs that contain records of the shards, oldest first
        :param sealed_logs: logs that were sealed because their owner is dead
        :raises MagnoliawoodError: if the store does not respond or a
            sidecar has seen a newer epoch
        """
        state = TakeoverState()
        shards = {item.shard for item in epochs}
        for log in logs:
            content = await journal_writer.read_log(self._objects, log)
            state.recorded += _records_of_shards(content, shards)
        async with curio.TaskGroup() as group:
            replicated = await group.spawn(
                self._collect_replicated, sealed_logs, state
            )
            for sidecar in self._sidecars.all():
                await group.spawn(self.fence, sidecar, epochs, state)
        state.check_epochs()
        state.recorded += _records_of_shards(replicated.result, shards)
        return state

    async def fence(
        self,
        sidecar: sidecar_directory.Sidecar,
        epochs: list[messages.ShardEpoch],
        state: TakeoverState,
    ) -> None:
        """Send the epochs to a sidecar and collect its witness records.

        If they are too long for one message, it is asked for fewer shards.
        """
        try:
            reply = await self._pool.request(
                sidecar.host.address, messages.Fence(epochs), FENCE_TIMEOUT
            )
        except errors.MagnoliawoodError as error:
            if error.code == errors.ErrorCode.MESSAGE_TOO_LARGE and epochs[1:]:
                half = len(epochs) // 2
                await self.fence(sidecar, epochs[:half], state)
                await self.fence(sidecar, epochs[half:], state)
            elif error.code == errors.ErrorCode.STALE_EPOCH:
                state.newer_epoch_at.add(sidecar.name)
            else:
                state.unresponsive_sidecars.add(sidecar.name)
            return
        state.witnessed += reply.records
        for record in reply.records:
            state.sidecars_by_call.setdefault(record.call, set()).add(
                sidecar.name
            )

    async def release(self, logs: list[str], shards: list[int]) -> None:
        """Drop replicated records of shards in sealed logs at all entries."""
        self._replicated.release(logs, shards)
        for host in self._membership.peers():
            try:
                await self._pool.request(
                    host.address,
                    messages.ReleaseHeld(logs, shards),
                    FENCE_TIMEOUT,
                )
            except errors.MagnoliawoodError:
                # The peer keeps the records until it restarts, which is
                # harmless.
                continue

    async def _held_by(
        self, host: store.Host, logs: list[str]
    ) -> list[records.Record]:
        """Return all records that an entry replicates, after sealing them.

        :raises MagnoliawoodError: if it does not respond
        """
        held: list[records.Record] = []
        message = messages.SealHeld(logs)
        while True:
            reply = await self._pool.request(
                host.address, message, FENCE_TIMEOUT
            )
            held += reply.records
            if not reply.is_more:
                return held
            message = messages.SealHeld(
                logs, reply.last_log, reply.last_position
            )

    async def _collect_replicated(
        self, logs: list[str], state: TakeoverState
    ) -> list[records.Record]:
        collected = self._replicated.seal(logs)

        async def request(host: store.Host) -> None:
            try:
                collected.extend(await self._held_by(host, logs))
            except errors.MagnoliawoodError:
                state.unresponsive_entries.add(host.name)

        async with curio.TaskGroup() as group:
            for host in self._membership.peers():
                await group.spawn(request, host)
        return collected


def _records_of_shards(
    all_records: list[records.Record], shards: set[int]
) -> list[records.Record]:
    return [
        record
        for record in all_records
        if records.program_of(record).shard in shards
    ]
