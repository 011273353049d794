"""The copy of all records on this host's disk."""

import collections.abc
import dataclasses
import logging
import pathlib

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood.turns import records
from magnoliawood.turns import table as tables
from magnoliawood_server.keeper import disk_log
from magnoliawood_server.keeper import disk_state

# The log is rewritten once it is this large and mostly outdated.
_REWRITE_BYTES = 64 * 1024 * 1024

_log = logging.getLogger(__name__)


class DiskReplica:
    """Records on disk, with an index in memory.

    :param folder: data folder of this host
    """

    def __init__(self, folder: pathlib.Path, clock: clocks.Clock) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder
        self._state = disk_state.load(folder)
        self._log = disk_log.DiskLog(folder)
        self._table = tables.RecordTable(clock)
        for data in self._log.load():
            self._table.apply(records.decode(data))
        # Records that the disk has not confirmed, or refused.
        self._unsynced: set[records.Record] = set()
        self._group: groups.Group | None = None
        self._epoch = self._state.sealed_epoch

    @property
    def table(self) -> tables.RecordTable:
        """All records."""
        return self._table

    @property
    def state(self) -> disk_state.DiskState:
        """Identity and completeness of the disk."""
        return self._state

    @property
    def group(self) -> groups.Group | None:
        """The newest group that is known here."""
        return self._group

    @property
    def is_complete(self) -> bool:
        """Whether this copy may answer what is absent."""
        if self._group is None:
            return False
        member = self._group.find(self._state.disk_id)
        if member is None:
            return False
        return self._state.copied_epoch >= member.since

    async def run(self) -> None:
        """Write to the disk for ever."""
        await self._log.run()

    def update_group(self, group: groups.Group) -> None:
        """Take over a group unless a newer one is known."""
        if self._group is None or group.epoch > self._group.epoch:
            self._group = group
            self._epoch = max(self._epoch, group.epoch)
            _log.info(
                'group of copies in force',
                extra={
                    'epoch': group.epoch,
                    'members': [member.host for member in group.members],
                },
            )

    def seal(self, group: groups.Group) -> None:
        """Refuse all epochs before a group's from now on, durably.

        :raises OSError: if the disk refuses it
        """
        self.update_group(group)
        if group.epoch > self._state.sealed_epoch:
            self._save(
                dataclasses.replace(self._state, sealed_epoch=group.epoch)
            )

    async def mark_complete(self, epoch: int) -> None:
        """Note that the copy has all records of the groups before.

        Explanation
        ===========

        A source may lack a record that only this copy was sent, so what the
        disk has not confirmed yet is written first.

        :raises OSError: if the disk refuses it
        """
        if self._unsynced:
            await self.write(
                [records.encode(record) for record in self._unsynced]
            )
        self._save(dataclasses.replace(self._state, copied_epoch=epoch))

    def check(self, epoch: int, disk_id: str) -> None:
        """Refuse a request that this copy must not take part in.

        Explanation
        ===========

        Whether the copy is complete depends on the group: a later one may
        ask for more. So a request is refused as well if the sender knows a
        group that is not known here yet.

        :raises MagnoliawoodError: with ``stale_epoch`` if the sender knows
            an older group or another disk, with ``copy_incomplete`` before
            this copy is known to be complete
        """
        if disk_id != self._state.disk_id or epoch < self._epoch:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STALE_EPOCH,
                f'epoch {epoch} is older than {self._epoch}',
            )
        is_known = self._group is not None and self._group.epoch == epoch
        if not is_known or not self.is_complete:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.COPY_INCOMPLETE, 'this copy is not complete'
            )

    async def write(self, entries: collections.abc.Sequence[bytes]) -> None:
        """Store records and wait until they are on disk.

        Explanation
        ===========

        The table knows them before the disk does, so a charge that is not
        durable yet already counts against a budget.

        :raises OSError: if the disk refuses them
        :raises ValueError: if a record is malformed
        """
        found = [records.decode(entry) for entry in entries]
        for record in found:
            self._table.apply(record)
        self._unsynced.update(found)
        await self._log.append(entries)
        self._unsynced.difference_update(found)

    async def write_new(
        self, entries: collections.abc.Sequence[bytes]
    ) -> None:
        """Store the records that are not on disk yet.

        :raises OSError: if the disk refuses them
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
        """Drop expired records, and rewrite the log if it pays.

        :raises OSError: if the disk refuses it
        """
        dropped = self._table.expire()
        if dropped:
            _log.info('records expired', extra={'records': dropped})
            self._unsynced = {
                record
                for record in self._unsynced
                if not self._table.is_new(record)
            }
        if self._log.total_bytes > _REWRITE_BYTES:
            entries = [
                records.encode(record) for record in self._table.records()
            ]
            if sum(map(len, entries)) * 2 < self._log.total_bytes:
                await self._log.rewrite(entries)

    def _is_on_disk(self, record: records.Record) -> bool:
        return record not in self._unsynced and not self._table.is_new(record)

    def _save(self, state: disk_state.DiskState) -> None:
        disk_state.save(self._folder, state)
        self._state = state
