"""Has other entries hold journal records while the store is late."""

import typing

import curio

from magnoliawood.core import errors
from magnoliawood.ownership import held_records
from magnoliawood.ownership import journal
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.platform import store
from magnoliawood.programs import records
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

RECORDS_PER_MESSAGE = 64


class RecordHolder:
    """Keeps one living peer in step with what the store lacks.

    :param data_centre: own data centre; a holder elsewhere is preferred
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

    async def hold(
        self, log: str, buffer: journal.JournalBuffer, position: int
    ) -> bool:
        """Have a peer hold all records up to a position.

        :returns: false if no peer can
        :raises MagnoliawoodError: with ``stale_epoch`` if a new owner
            sealed the log
        """
        async with self._lock:
            for peer in self._candidates(log):
                if await self._extend(peer, log, buffer, position):
                    return True
        self._metrics.count('holds_failed_total')
        return False

    async def trim(self, log: str, buffer: journal.JournalBuffer) -> None:
        """Let the holder drop the records that are stored by now."""
        async with self._lock:
            if self._log != log or not buffer.held:
                return
            try:
                await self._send(log, buffer, [])
            except errors.MagnoliawoodError:
                # The new owner releases the records of a sealed log.
                return
            if buffer.held <= buffer.durable:
                buffer.note_held(0)

    def _candidates(self, log: str) -> list[store.Host]:
        alive = [
            host
            for host in self._membership.peers()
            if self._membership.is_alive(host.name)
        ]
        return sorted(
            alive,
            key=lambda host: (
                host.name != self._peer,
                host.data_centre == self._data_centre,
                shard_maps.preferred_owner(0, [host.name, log]) != host.name,
                host.name,
            ),
        )

    async def _extend(
        self,
        peer: store.Host,
        log: str,
        buffer: journal.JournalBuffer,
        position: int,
    ) -> bool:
        if (self._peer, self._log) != (peer.name, log):
            self._peer, self._log = peer.name, log
            buffer.note_held(0)
        # The peer is asked even if it had all: it may have restarted.
        while True:
            start = max(buffer.held, buffer.durable)
            part = buffer.after(start)[:RECORDS_PER_MESSAGE]
            if not await self._send(log, buffer, part):
                return False
            self._metrics.count('records_held_total', len(part))
            if buffer.is_covered(position):
                return True

    async def _send(
        self,
        log: str,
        buffer: journal.JournalBuffer,
        part: list[records.Record],
    ) -> bool:
        start = max(buffer.held, buffer.durable)
        try:
            reply = await self._pool.ask(
                self._membership.address_of(self._peer),
                messages.HoldRecords(log, start + 1, part, buffer.durable),
                sidecar_directory.ANSWER_TIMEOUT,
            )
        except errors.MagnoliawoodError as error:
            self._peer = ''
            buffer.note_held(0)
            if error.code == errors.ErrorCode.STALE_EPOCH:
                raise
            return False
        buffer.note_held(reply.position)
        return True


class HeldRecordService:
    """Serves the records that this entry holds for other owners."""

    def __init__(self) -> None:
        self.held = held_records.HeldRecords()

    def handles(self, message: typing.Any) -> bool:
        """Whether a message is about held records."""
        return isinstance(
            message,
            messages.HoldRecords | messages.SealHeld | messages.ReleaseHeld,
        )

    async def handle_peer(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        """Serve one message of another entry."""
        if isinstance(message, messages.SealHeld):
            await stream.send(messages.Held(self.seal(message.logs)))
            return
        if isinstance(message, messages.HoldRecords):
            position = self.held.hold(
                message.log, message.first, message.records, message.durable
            )
            await stream.send(messages.HeldUpTo(position))
        else:
            self.release(message.logs, message.shards)
            await stream.send(messages.Done())

    def seal(self, logs: list[str]) -> list[records.Record]:
        """Take no more records of logs and return those held."""
        return [record for log in logs for record in self.held.seal(log)]

    def release(self, logs: list[str], shards: list[int]) -> None:
        """Drop the records of shards from sealed logs."""
        for log in logs:
            self.held.release(log, set(shards))
