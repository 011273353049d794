"""Replication of journal records to peers while store writes are late."""

import collections.abc
import dataclasses
import itertools
import typing

import curio

from magnoliawood.core import errors
from magnoliawood.ownership import journal
from magnoliawood.ownership import replicated_records
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.platform import store
from magnoliawood.programs import footprint
from magnoliawood.programs import records
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

RECORDS_PER_MESSAGE = 64
# Limit on the records of a message, unless one is longer.
BYTES_PER_MESSAGE = 2 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _FormerPeer:
    """Peer that may hold records, and gets no further ones.

    :param position: position up to which it may hold records
    """

    name: str
    log: str
    buffer: journal.JournalBuffer
    position: int


class RecordReplicator:
    """Replicates the records that are not stored yet to one live peer.

    :param data_centre: own data centre; a peer in another data centre is
        preferred
    """

    def __init__(
        self,
        data_centre: str,
        membership: memberships.Membership,
        pool: pools.PeerPool,
        metrics: registries.Registry,
    ) -> None:
        self._data_centre = data_centre
        self._membership = membership
        self._pool = pool
        self._metrics = metrics
        self._lock = curio.Lock()
        self._log = ''
        self._peer = ''
        self._buffer: journal.JournalBuffer | None = None
        # By name and log.
        self._former: dict[tuple[str, str], _FormerPeer] = {}

    @property
    def peers(self) -> int:
        """Number of live peers, which may all choose the same one."""
        return len(self._live_peers())

    async def replicate(
        self, log: str, buffer: journal.JournalBuffer, position: int
    ) -> bool:
        """Replicate all records up to a position to a peer.

        :returns: false if no peer accepted the records
        :raises MagnoliawoodError: with ``stale_epoch`` if a new owner
            sealed the log
        """
        async with self._lock:
            for peer in self._candidates(log):
                if await self._replicate_to(peer, log, buffer, position):
                    return True
        self._metrics.count('holds_failed_total')
        return False

    async def trim(self, log: str, buffer: journal.JournalBuffer) -> None:
        """Report the stored position, so that the peer drops its replica."""
        async with self._lock:
            await self._trim_former(buffer)
            if self._log != log or not buffer.replicated:
                return
            try:
                await self._send(log, buffer, [])
            except errors.MagnoliawoodError:
                # The new owner releases the records of a sealed log.
                return
            if buffer.replicated <= buffer.durable:
                buffer.set_replicated(0)

    def _leave_peer(self) -> None:
        """Record that the peer gets no further records for now."""
        if self._peer and self._buffer is not None:
            self._former[self._peer, self._log] = _FormerPeer(
                self._peer, self._log, self._buffer, self._buffer.appended
            )
        self._peer = ''

    async def _trim_former(self, buffer: journal.JournalBuffer) -> None:
        """Let former peers drop records, once the store has all of them.

        Those of a sealed log are released by its new owner.
        """
        for key, item in [*self._former.items()]:
            is_due = item.position <= buffer.durable
            if item.buffer is not buffer or (
                is_due and await self._trim_at(item)
            ):
                del self._former[key]

    async def _trim_at(self, item: '_FormerPeer') -> bool:
        """Let a former peer drop records; return whether that is settled."""
        address = self._membership.address_of(item.name)
        if not address:
            return True
        if not self._membership.is_alive(item.name):
            return False
        durable = item.buffer.durable
        try:
            await self._pool.request(
                address,
                messages.HoldRecords(item.log, durable + 1, [], durable),
                sidecar_directory.RESPONSE_TIMEOUT,
            )
        except errors.MagnoliawoodError as error:
            return error.code == errors.ErrorCode.STALE_EPOCH
        return True

    def _live_peers(self) -> list[store.Host]:
        return [
            host
            for host in self._membership.peers()
            if self._membership.is_alive(host.name)
        ]

    def _candidates(self, log: str) -> list[store.Host]:
        return sorted(
            self._live_peers(),
            key=lambda host: (
                host.name != self._peer,
                host.data_centre == self._data_centre,
                shard_maps.preferred_owner(0, [host.name, log]) != host.name,
                host.name,
            ),
        )

    async def _replicate_to(
        self,
        peer: store.Host,
        log: str,
        buffer: journal.JournalBuffer,
        position: int,
    ) -> bool:
        if (self._peer, self._log) != (peer.name, log):
            self._leave_peer()
            self._peer, self._log, self._buffer = peer.name, log, buffer
            buffer.set_replicated(0)
        # A message is sent even if the peer had all records, because it may
        # have restarted and lost them.
        while True:
            start = max(buffer.replicated, buffer.durable)
            batch = buffer.unstored_batch(
                start, RECORDS_PER_MESSAGE, BYTES_PER_MESSAGE
            )
            if not await self._send(log, buffer, batch):
                return False
            self._metrics.count('records_held_total', len(batch))
            if buffer.is_durable_or_replicated(position):
                return True

    async def _send(
        self,
        log: str,
        buffer: journal.JournalBuffer,
        batch: list[records.Record],
    ) -> bool:
        start = max(buffer.replicated, buffer.durable)
        try:
            reply = await self._pool.request(
                self._membership.address_of(self._peer),
                messages.HoldRecords(log, start + 1, batch, buffer.durable),
                sidecar_directory.RESPONSE_TIMEOUT,
            )
        except errors.MagnoliawoodError as error:
            self._leave_peer()
            buffer.set_replicated(0)
            if error.code == errors.ErrorCode.STALE_EPOCH:
                raise
            return False
        buffer.set_replicated(reply.position)
        return True


class ReplicatedRecordService:
    """Stores and returns the records replicated here by other owners.

    Explanation
    ===========

    The set of logs sealed at this entry is lost when it restarts. Records
    are therefore accepted only if the newest known shard map allows their
    log to be written for their shards.

    :param current_map: returns the newest known shard map
    :param limit_bytes: memory of all records; further ones are rejected
    """

    def __init__(
        self,
        current_map: collections.abc.Callable[[], shard_maps.ShardMap],
        limit_bytes: int,
        metrics: registries.Registry,
    ) -> None:
        self.replicated = replicated_records.ReplicatedRecords(limit_bytes)
        self._current_map = current_map
        self._metrics = metrics

    def handles(self, message: typing.Any) -> bool:
        """Whether a message concerns replicated records."""
        return isinstance(
            message,
            messages.HoldRecords | messages.SealHeld | messages.ReleaseHeld,
        )

    async def handle_peer(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        """Handle one message from another entry and send the reply."""
        if isinstance(message, messages.SealHeld):
            await stream.send(self._held(message))
            return
        if isinstance(message, messages.HoldRecords):
            self._check_owner(message)
            position = self._replicate(message)
            await stream.send(messages.HeldUpTo(position))
        else:
            self.release(message.logs, message.shards)
            await stream.send(messages.Done())

    def _held(self, message: messages.SealHeld) -> messages.Held:
        """Return replicated records, as many as one message may hold."""
        logs = message.logs
        if message.after_log:
            logs = logs[logs.index(message.after_log) :]
        # By position, since another new owner may release records meanwhile.
        rest = [
            (record, log, position)
            for log in logs
            for position, record in self.replicated.seal_positions(log).items()
            if log != message.after_log or position > message.after_position
        ]
        if not rest:
            return messages.Held([])
        sizes = itertools.accumulate(
            footprint.of_record(record) for record, _, _ in rest
        )
        count = sum(1 for size in sizes if size <= BYTES_PER_MESSAGE)
        page = rest[: max(1, count)]
        _, last_log, last_position = page[-1]
        return messages.Held(
            [record for record, _, _ in page],
            len(page) < len(rest),
            last_log,
            last_position,
        )

    def _replicate(self, message: messages.HoldRecords) -> int:
        try:
            return self.replicated.replicate(
                message.log, message.first, message.records, message.durable
            )
        except errors.MagnoliawoodError as error:
            if error.code == errors.ErrorCode.OVERLOADED:
                self._metrics.count('holds_refused_total')
            raise

    def _check_owner(self, message: messages.HoldRecords) -> None:
        shard_map = self._current_map()
        shards = {
            records.program_of(record).shard for record in message.records
        }
        if not all(shard_map.may_write(message.log, s) for s in shards):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_OWNER,
                f'log {message.log} is not a log of the shard owner',
            )

    def seal(self, logs: list[str]) -> list[records.Record]:
        """Reject later records of logs and return those replicated here."""
        return [record for log in logs for record in self.replicated.seal(log)]

    def release(self, logs: list[str], shards: list[int]) -> None:
        """Drop the replicated records of shards in sealed logs."""
        for log in logs:
            self.replicated.release(log, set(shards))
