"""Replica of all records on the disk of this host."""

import collections.abc
import dataclasses
import datetime
import logging
import math
import pathlib

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood.turns import records
from magnoliawood.turns import spill
from magnoliawood.turns import table as tables
from magnoliawood_server.keeper import disk_log
from magnoliawood_server.keeper import disk_state

# Size above which the log is rewritten if more than half of it is outdated.
_REWRITE_BYTES = 64 * 1024 * 1024
_REWRITE_SHARE = 0.3
_NO_ROOM_RETRY_AFTER = datetime.timedelta(milliseconds=200)
# Number of dropped turns that a log line names.
_LOGGED_TURNS = 8

_MEGABYTE = 1024 * 1024

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaLimits:
    """Limits on what a replica holds.

    :param body_bytes: bodies in memory that are on disk as well
    :param waiting_bytes: records that wait for the disk
    :param index_bytes: memory of the index of records; 0 for no limit
    :param disk_bytes: records on the disk; 0 for no limit
    :param first_turn_share: share of both, beyond which turns of further
        programs should be refused before they run
    :param next_turn_share: the same for programs that are under way
    """

    body_bytes: int = 50 * _MEGABYTE
    waiting_bytes: int = 25 * _MEGABYTE
    disk_bytes: int = 0
    index_bytes: int = 0
    first_turn_share: float = 0.5
    next_turn_share: float = 0.75


_USUAL_LIMITS = ReplicaLimits()


class DiskReplica:
    """Records on disk, with an index in memory.

    :param folder: data folder of this host
    :param limits: limits on what it holds in memory and on the disk
    """

    def __init__(
        self,
        folder: pathlib.Path,
        clock: clocks.Clock,
        limits: ReplicaLimits = _USUAL_LIMITS,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._clock = clock
        self._last_write = _last_write(folder)
        self._state = disk_state.load(folder)
        self._log = disk_log.DiskLog(folder)
        self._limits = limits
        self._table = tables.RecordTable(
            clock,
            spill.Bodies(self._read_turn, limits.body_bytes),
        )
        for data, place in self._log.load_places():
            record = records.decode(data)
            self._table.apply(record)
            self._table.locate(record, place)
        # Records whose write to the disk is not confirmed or has failed.
        self._unsynced_records: set[records.Record] = set()
        self._group: groups.Group | None = None
        self._epoch = self._state.sealed_epoch

    @property
    def table(self) -> tables.RecordTable:
        """In-memory table of all records of the replica."""
        return self._table

    @property
    def state(self) -> disk_state.DiskState:
        """Identity and completeness of the disk, as saved on it."""
        return self._state

    @property
    def time_away(self) -> datetime.timedelta | None:
        """Time since the disk was written before this process had it."""
        if self._last_write is None:
            return None
        now = self._clock.now().timestamp()
        return datetime.timedelta(seconds=now - self._last_write)

    @property
    def group(self) -> groups.Group | None:
        """Newest replica group that this host knows."""
        return self._group

    @property
    def is_complete(self) -> bool:
        """Whether the replica has all records that its group requires.

        Only then does it count towards a quorum.
        """
        if self._group is None:
            return False
        member = self._group.find(self._state.disk_id)
        if member is None:
            return False
        return self._state.copied_epoch >= member.since

    async def run(self) -> None:
        """Write records to the disk until cancelled."""
        await self._log.run()

    def update_group(self, group: groups.Group) -> None:
        """Apply a replica group unless a newer one is known."""
        if self._group is None or group.epoch > self._group.epoch:
            self._group = group
            self._epoch = max(self._epoch, group.epoch)
            _log.info(
                'replica group updated',
                extra={
                    'epoch': group.epoch,
                    'members': [member.host for member in group.members],
                },
            )

    def seal(self, group: groups.Group) -> None:
        """Seal all epochs before the given group.

        Every later request with an older epoch is rejected, also after a
        restart.

        :raises OSError: if the state cannot be written to the disk
        """
        self.update_group(group)
        if group.epoch > self._state.sealed_epoch:
            self._save(
                dataclasses.replace(self._state, sealed_epoch=group.epoch)
            )

    async def mark_complete(self, epoch: int) -> None:
        """Mark the replica as complete up to an epoch.

        It then has all records of the previous groups.

        Explanation
        ===========

        The sources may lack a record that was sent to this replica only, so
        records that the disk has not confirmed yet are written first.

        :raises OSError: if the records or the state cannot be written to
            the disk
        """
        if self._unsynced_records:
            await self.write(
                [records.encode(record) for record in self._unsynced_records]
            )
        self._save(dataclasses.replace(self._state, copied_epoch=epoch))

    def check_request(self, epoch: int, disk_id: str) -> None:
        """Reject a request that this replica must not serve.

        Explanation
        ===========

        Whether the replica is complete depends on the group: a later group
        may require records that an earlier one did not. A request is
        therefore also rejected if the sender knows a newer group than this
        host.

        :param epoch: epoch of the newest group that the sender knows
        :param disk_id: disk that the request is addressed to
        :raises MagnoliawoodError: with ``stale_epoch`` if the sender knows
            an older group or means another disk, with ``copy_incomplete``
            unless this replica is known to be complete
        """
        if disk_id != self._state.disk_id or epoch < self._epoch:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH,
                f'request epoch {epoch} is older than {self._epoch}, '
                'or the request is for another disk',
            )
        is_known = self._group is not None and self._group.epoch == epoch
        if not is_known or not self.is_complete:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.COPY_INCOMPLETE,
                'this replica is not complete',
            )

    async def write(self, entries: collections.abc.Sequence[bytes]) -> None:
        """Store records and wait until they are on disk.

        :raises OSError: if writing or syncing fails
        :raises ValueError: if a record is malformed
        """
        new_records = [records.decode(entry) for entry in entries]
        self.apply(new_records)
        await self.sync(entries, new_records)

    def check_chains(
        self, new_records: collections.abc.Sequence[records.Record]
    ) -> None:
        """Reject turns whose chain would not be stored completely.

        Explanation
        ===========

        A replica drops what no turn that it stores continues, so what it
        confirms has to be complete. The sender knows the chain and sends
        what is missing.

        :raises MagnoliawoodError: with ``chain_incomplete``
        """
        if not self._table.has_chains_of(new_records):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.CHAIN_INCOMPLETE,
                'this replica lacks a turn that the new one continues',
            )

    def check_room(self, entries: collections.abc.Sequence[bytes]) -> None:
        """Reject records for which there is no memory or no disk space.

        :raises MagnoliawoodError: with ``overloaded``; nothing was stored
        """
        size = sum(map(len, entries))
        waiting = self._log.waiting_bytes
        if waiting and waiting + size > self._limits.waiting_bytes:
            raise self._no_room('too much waits for the disk')
        if self._used_share(size) > 1:
            raise self._no_room('the disk or the index is full')

    @property
    def takes_first_turns(self) -> bool:
        """Whether there is room for turns of further programs."""
        return self._used_share() <= self._limits.first_turn_share

    @property
    def takes_next_turns(self) -> bool:
        """Whether there is room for turns of programs under way."""
        return self._used_share() <= self._limits.next_turn_share

    def _used_share(self, size: int = 0) -> float:
        """Return the used share of the disk or the index, as is greater.

        :param size: length of further records
        """
        stored = self._log.total_bytes + self._log.waiting_bytes + size
        on_disk = stored / (self._limits.disk_bytes or math.inf)
        indexed = self._table.index_bytes
        return max(on_disk, indexed / (self._limits.index_bytes or math.inf))

    @staticmethod
    def _no_room(reason: str) -> errors.MagnoliawoodError:
        return errors.MagnoliawoodError(
            errors.ErrorCode.OVERLOADED,
            reason,
            retry_after=_NO_ROOM_RETRY_AFTER,
        )

    def _read_turn(self, place: disk_log.Place) -> records.TurnRecord:
        record = records.decode(self._log.read(place))
        assert isinstance(record, records.TurnRecord)  # Located as one.
        return record

    def apply(
        self, new_records: collections.abc.Sequence[records.Record]
    ) -> None:
        """Apply records to the table, to be synced next.

        Explanation
        ===========

        Records are applied to the table before they are on disk, so a
        charge that is not durable yet already counts against its budget.
        """
        for record in new_records:
            self._table.apply(record)
        self._unsynced_records.update(new_records)

    async def sync(
        self,
        entries: collections.abc.Sequence[bytes],
        applied: collections.abc.Sequence[records.Record],
    ) -> None:
        """Wait until records that were applied are on disk.

        :param entries: the encoded records
        :raises OSError: if writing or syncing fails
        """
        places = await self._log.append(entries)
        for record, place in zip(applied, places, strict=True):
            self._table.locate(record, place)
        self._unsynced_records.difference_update(applied)

    async def write_new(
        self, entries: collections.abc.Sequence[bytes]
    ) -> None:
        """Store the records that are not on disk yet.

        :raises OSError: if writing or syncing fails
        :raises ValueError: if a record is malformed
        """
        new = [
            entry
            for entry in entries
            if not self._is_on_disk(records.decode(entry))
        ]
        if new:
            await self.write(new)

    async def clean(self) -> None:
        """Drop expired records, and rewrite a large, mostly outdated log.

        Explanation
        ===========

        A replica that is not complete drops nothing: the records that are
        still to be copied may need those that it has.

        :raises OSError: if the log cannot be rewritten
        """
        dropped = self._table.expire() if self.is_complete else 0
        if dropped:
            _log.info(
                'records expired',
                extra={
                    'records': dropped,
                    'last_turns': self._table.dropped.last_ids(_LOGGED_TURNS),
                },
            )
            self._unsynced_records = {
                record
                for record in self._unsynced_records
                if not self._table.is_new(record)
            }
        if self._log.total_bytes > self._rewrite_bytes():
            await self._rewrite_outdated()

    def _rewrite_bytes(self) -> int:
        """Return the size above which a mostly outdated log is rewritten.

        A small disk needs its outdated records gone sooner.
        """
        share = int(self._limits.disk_bytes * _REWRITE_SHARE)
        return min(_REWRITE_BYTES, share or _REWRITE_BYTES)

    async def _rewrite_outdated(self) -> None:
        """Rewrite the log if more than half of it is outdated."""
        live = self._table.bytes_on_disk_only + sum(
            len(records.encode(record))
            for record in self._table.without_bodies()
        )
        if live * 2 >= self._log.total_bytes:
            return
        rewritten: list[records.Record] = []

        def entries() -> collections.abc.Iterator[bytes]:
            for record in self._table.records():
                rewritten.append(self._table.without_body(record))
                yield records.encode(record)

        def move(places: list[disk_log.Place]) -> None:
            for record, place in zip(rewritten, places, strict=True):
                self._table.move(record, place)

        await self._log.rewrite(entries(), move)

    def _is_on_disk(self, record: records.Record) -> bool:
        return record not in self._unsynced_records and not self._table.is_new(
            record
        )

    def _save(self, state: disk_state.DiskState) -> None:
        disk_state.save(self._folder, state)
        self._state = state


def _last_write(folder: pathlib.Path) -> float | None:
    """Return the Unix time of the last write to a folder, if any."""
    return max(
        (path.stat().st_mtime for path in folder.iterdir()), default=None
    )
