"""Tests for the recovery of records after power failures and disk errors."""

import datetime
import errno
import os

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood.turns import records
from magnoliawood_server.keeper import disk_log
from magnoliawood_server.keeper import replica as replicas

FAR_FUTURE = 4e9


def _turn(name, previous=''):
    return records.TurnRecord(name, previous, b'in', b'out', FAR_FUTURE)


async def _write(replica, *new_records):
    writer = await curio.spawn(replica.run, daemon=True)
    await replica.write([records.encode(record) for record in new_records])
    await writer.cancel()


def _replica_in_group(folder, epoch=1):
    replica = replicas.DiskReplica(folder, clocks.ManualClock())
    member = groups.Member(replica.state.disk_id, 'host', '')
    replica.update_group(groups.Group(epoch, 0, (member,)))
    return replica


def test_records_survive_restart(tmp_path):
    replica = _replica_in_group(tmp_path)
    curio.run(_write, replica, _turn('t1'), _turn('t2', 't1'))
    reloaded = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert reloaded.state.disk_id == replica.state.disk_id
    assert [t.turn_id for t in reloaded.table.chain('t2')] == ['t2', 't1']


def test_torn_entry_does_not_hide_later_segments(tmp_path):
    curio.run(_write, _replica_in_group(tmp_path), _turn('t1'))
    segment = next(tmp_path.glob('records-*.log'))
    with segment.open('ab') as file:
        file.write(disk_log.frame(b'lost')[:-2])
    curio.run(_write, _replica_in_group(tmp_path), _turn('t2', 't1'))
    reloaded = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert [t.turn_id for t in reloaded.table.chain('t2')] == ['t2', 't1']


def test_each_empty_folder_gets_its_own_disk_id(tmp_path):
    first = replicas.DiskReplica(tmp_path / 'a', clocks.ManualClock())
    second = replicas.DiskReplica(tmp_path / 'b', clocks.ManualClock())
    assert first.state.disk_id != second.state.disk_id


def test_sealed_epoch_is_rejected_after_restart(tmp_path):
    replica = _replica_in_group(tmp_path)
    replica.seal(groups.Group(5, 0, replica.group.members))
    reloaded = _replica_in_group(tmp_path)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        reloaded.check_request(4, reloaded.state.disk_id)
    assert caught.value.code is errors.ErrorCode.STALE_EPOCH


def test_incomplete_replica_rejects_requests(tmp_path):
    replica = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    member = groups.Member(replica.state.disk_id, 'host', '', since=3)
    replica.update_group(groups.Group(3, 0, (member,)))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        replica.check_request(3, replica.state.disk_id)
    assert caught.value.code is errors.ErrorCode.COPY_INCOMPLETE
    curio.run(replica.mark_complete, 3)
    replica.check_request(3, replica.state.disk_id)


def test_request_of_newer_unknown_group_is_rejected(tmp_path):
    """The newer group may require records that this replica lacks.

    The model of the replica group found this fault.
    """
    replica = _replica_in_group(tmp_path, epoch=1)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        replica.check_request(2, replica.state.disk_id)
    assert caught.value.code is errors.ErrorCode.COPY_INCOMPLETE


async def _clean_while_copying(replica, clock, pages):
    writer = await curio.spawn(replica.run, daemon=True)
    for page in pages:
        await replica.write_new([records.encode(record) for record in page])
        clock.advance(datetime.timedelta(seconds=5))
        await replica.clean()
    await replica.mark_complete(3)
    await replica.clean()
    await writer.cancel()


def test_joining_replica_keeps_expired_turn_until_the_copy_is_complete(
    tmp_path,
):
    """Guards against a chain that is dropped before its last turn arrives."""
    clock = clocks.ManualClock()
    now = clock.now().timestamp()
    replica = replicas.DiskReplica(tmp_path, clock)
    member = groups.Member(replica.state.disk_id, 'host', '', since=3)
    replica.update_group(groups.Group(3, 0, (member,)))
    first = records.TurnRecord('t1', '', b'in', b'out', now + 1)
    other = records.TurnRecord('t0', '', b'in', b'out', now + 1)
    pages = [[first, other], [_turn('t2', 't1')]]
    curio.run(_clean_while_copying, replica, clock, pages)
    assert [t.turn_id for t in replica.table.chain('t2')] == ['t2', 't1']
    assert replica.table.chain('t0') == []


class _FullDisk:
    """Makes ``os.write`` fail while ``is_full`` is set."""

    def __init__(self, monkeypatch):
        self.is_full = True
        self._write = os.write
        monkeypatch.setattr(os, 'write', self.write)

    def write(self, descriptor, data):
        if self.is_full:
            raise OSError(errno.ENOSPC, 'disk full')
        return self._write(descriptor, data)


async def _write_to_full_disk(replica, *new_records):
    with pytest.raises(OSError, match='disk full'):
        await _write(replica, *new_records)


async def _copy_and_complete(replica, *new_records):
    writer = await curio.spawn(replica.run, daemon=True)
    await replica.write_new([records.encode(record) for record in new_records])
    await replica.mark_complete(1)
    await writer.cancel()


def test_copying_writes_record_whose_first_write_failed(tmp_path, monkeypatch):
    replica = _replica_in_group(tmp_path)
    disk = _FullDisk(monkeypatch)
    curio.run(_write_to_full_disk, replica, _turn('t1'))
    disk.is_full = False
    curio.run(_copy_and_complete, replica, _turn('t1'))
    reloaded = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert [t.turn_id for t in reloaded.table.chain('t1')] == ['t1']


def test_unsynced_records_are_written_before_replica_is_complete(
    tmp_path, monkeypatch
):
    """The sources may lack a record that only this replica was sent.

    Its first write failed, so marking the replica complete has to write it.
    """
    replica = _replica_in_group(tmp_path)
    disk = _FullDisk(monkeypatch)
    curio.run(_write_to_full_disk, replica, _turn('t1'))
    disk.is_full = False
    curio.run(_copy_and_complete, replica)
    reloaded = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert [t.turn_id for t in reloaded.table.chain('t1')] == ['t1']


@pytest.mark.parametrize('cut_bytes', [0, 2])
def test_damaged_segment_is_reported(tmp_path, caplog, cut_bytes):
    """Guards against records of a disk that are gone without a line."""
    curio.run(_write, _replica_in_group(tmp_path), _turn('t1'))
    segment = next(tmp_path.glob('records-*.log'))
    torn = disk_log.frame(records.encode(_turn('t2')))
    with segment.open('ab') as file:
        file.write(torn[: len(torn) - cut_bytes])
    replicas.DiskReplica(tmp_path, clocks.ManualClock())
    unread = [
        record.unread_bytes
        for record in caplog.records
        if record.getMessage().startswith('segment is damaged')
    ]
    assert unread == ([len(torn) - cut_bytes] if cut_bytes else [])
