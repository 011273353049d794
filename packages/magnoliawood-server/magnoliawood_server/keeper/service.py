"""Serves requests of gateways and other keepers to this replica."""

import logging
import typing

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.telemetry import registry as registries
from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records
from magnoliawood_server.keeper import messages
from magnoliawood_server.keeper import replica as replicas
from magnoliawood_server.peer import connection as connections

# Limit on the turns of one reply, unless the first of them is longer. A reply
# has a time limit, which a chain of any length has not.
_CHAIN_REPLY_BYTES = 256 * 1024

_log = logging.getLogger(__name__)


class KeeperService:
    """Serves the streams that peers open to the keeper.

    :param replica: replica on the disk of this host
    """

    def __init__(
        self,
        replica: replicas.DiskReplica,
        clock: clocks.Clock,
        registry: registries.Registry,
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._registry = registry

    async def serve(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        """Serve one stream.

        :param message: request that opened the stream
        :raises MagnoliawoodError: if the request is rejected
        """
        try:
            await self._serve(stream, message)
        except errors.MagnoliawoodError as error:
            self._registry.count('copy_refusals_total', reason=str(error.code))
            raise

    async def _serve(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        match message:
            case messages.WriteRecords():
                await stream.send(await self._write(message))
            case messages.ReadCharges():
                self._replica.check_request(message.epoch, message.disk_id)
                program_charges = self._replica.table.charges(
                    message.program_id
                )
                await stream.send(messages.Charges(program_charges))
            case messages.ReadChain():
                self._replica.check_request(message.epoch, message.disk_id)
                await stream.send(self._read_chain(message.turn_id))
            case messages.FindMissingTurns():
                self._replica.check_request(message.epoch, message.disk_id)
                await stream.send(
                    messages.MissingTurns(
                        self._replica.table.missing_turns(message.turn_ids)
                    )
                )
            case messages.ReadStream():
                self._replica.check_request(message.epoch, message.disk_id)
                await stream.send(self._stream_origin(message.stream_id))
            case messages.GetCopyStatus():
                await stream.send(self._status())
            case messages.TakeGroup():
                self._replica.update_group(message.group)
                await stream.send(self._status())
            case messages.CopyAll():
                await self._copy_all(stream, message)
            case _:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.MALFORMED_REQUEST,
                    f'a keeper does not serve {type(message).__name__}',
                )

    async def _write(
        self, message: messages.WriteRecords
    ) -> messages.RecordsWritten:
        self._replica.check_request(message.epoch, message.disk_id)
        self._replica.check_room(message.records)
        new_records = [records.decode(entry) for entry in message.records]
        self._replica.check_chains(new_records)
        started_at = self._clock.monotonic()
        try:
            self._replica.apply(new_records)
            # Listed before anything else runs, so that of two charges that
            # meet at this disk the later one lists the earlier one.
            charges = self._charges(message.program_id)
            await self._replica.sync(message.records, new_records)
        except OSError as error:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f'disk write failed: {error}',
            ) from error
        self._registry.record(
            'disk_write_seconds', self._clock.monotonic() - started_at
        )
        # A newer group may have sealed this epoch during the write.
        self._replica.check_request(message.epoch, message.disk_id)
        return messages.RecordsWritten(
            charges,
            self._replica.takes_first_turns,
            self._replica.takes_next_turns,
        )

    def _charges(self, program_id: str) -> list[ledgers.Charge] | None:
        if not program_id:
            return None
        return self._replica.table.charges(program_id)

    def _read_chain(self, turn_id: str) -> messages.ChainRecords:
        """Return a part of a chain.

        :raises MagnoliawoodError: with ``store_unavailable`` if the disk
            fails
        """
        try:
            return self._chain(turn_id)
        except OSError as error:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f'disk read failed: {error}',
            ) from error

    def _chain(self, turn_id: str) -> messages.ChainRecords:
        """Return a turn and those before it, as far as one reply may hold.

        The gateway asks for the next one that is missing.
        """
        entries: list[bytes] = []
        size = 0
        chain = self._replica.table.iterate_chain(turn_id)
        for entry in map(records.encode, chain):
            size += len(entry)
            if entries and size > _CHAIN_REPLY_BYTES:
                break
            entries.append(entry)
        if not entries:
            self._record_absent(turn_id)
        return messages.ChainRecords(entries)

    def _record_absent(self, turn_id: str) -> None:
        """Record whether this disk ever had a turn that it lacks."""
        expiry = self._replica.table.dropped.expiry(turn_id)
        cause = 'unknown' if expiry is None else 'dropped'
        self._registry.count('absent_turns_total', cause=cause)
        now = self._clock.now().timestamp()
        _log.info(
            'turn that was asked for is not stored',
            extra={
                'request_id': turn_id,
                'cause': cause,
                'seconds_past_expiry': expiry and round(now - expiry, 3),
                'copied_epoch': self._replica.state.copied_epoch,
            },
        )

    def _stream_origin(self, stream_id: str) -> messages.StreamOrigin:
        record = self._replica.table.stream(stream_id)
        if record is None:
            return messages.StreamOrigin(None)
        return messages.StreamOrigin(records.encode(record))

    def _status(self) -> messages.CopyStatus:
        state = self._replica.state
        return messages.CopyStatus(
            state.disk_id, state.copied_epoch, self._replica.group
        )

    async def _copy_all(
        self, stream: connections.Stream, message: messages.CopyAll
    ) -> None:
        if message.disk_id != self._replica.state.disk_id:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH, 'the request is for another disk'
            )
        self._replica.seal(message.group)
        await stream.send(self._status())
        sent = 0
        is_whole = False
        try:
            for page in records.pages(self._replica.table.records()):
                await stream.send(messages.CopyPage(page, is_last=False))
                sent += len(page)
            await stream.send(messages.CopyPage([], is_last=True))
            is_whole = True
        finally:
            _log.info(
                'records sent to a joining replica',
                extra={
                    'epoch': message.group.epoch,
                    'records': sent,
                    'is_whole': is_whole,
                },
            )
