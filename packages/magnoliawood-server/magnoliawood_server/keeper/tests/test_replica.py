"""Records survive what a loss of power leaves of the files."""

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

FAR = 4e9


def _turn(name, previous=''):
    return records.TurnRecord(name, previous, b'in', b'out', FAR)


async def _write(replica, *found):
    writer = await curio.spawn(replica.run, daemon=True)
    await replica.write([records.encode(record) for record in found])
    await writer.cancel()


def _joined(folder, epoch=1):
    replica = replicas.DiskReplica(folder, clocks.ManualClock())
    member = groups.Member(replica.state.disk_id, 'host', '')
    replica.update_group(groups.Group(epoch, 0, (member,)))
    return replica


def test_records_are_there_after_a_restart(tmp_path):
    replica = _joined(tmp_path)
    curio.run(_write, replica, _turn('t1'), _turn('t2', 't1'))
    again = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert again.state.disk_id == replica.state.disk_id
    assert [t.turn_id for t in again.table.chain('t2')] == ['t2', 't1']


def test_torn_entry_does_not_hide_records_of_a_later_start(tmp_path):
    curio.run(_write, _joined(tmp_path), _turn('t1'))
    segment = next(tmp_path.glob('records-*.log'))
    with segment.open('ab') as file:
        file.write(disk_log.frame(b'lost')[:-2])
    curio.run(_write, _joined(tmp_path), _turn('t2', 't1'))
    again = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert [t.turn_id for t in again.table.chain('t2')] == ['t2', 't1']


def test_emptied_disk_is_another_disk(tmp_path):
    first = replicas.DiskReplica(tmp_path / 'a', clocks.ManualClock())
    second = replicas.DiskReplica(tmp_path / 'b', clocks.ManualClock())
    assert first.state.disk_id != second.state.disk_id


def test_sealed_epoch_is_refused_also_after_a_restart(tmp_path):
    replica = _joined(tmp_path)
    replica.seal(groups.Group(5, 0, replica.group.members))
    again = _joined(tmp_path)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        again.check(4, again.state.disk_id)
    assert caught.value.code is errors.ErrorCode.STALE_EPOCH


def test_incomplete_copy_takes_no_part(tmp_path):
    replica = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    member = groups.Member(replica.state.disk_id, 'host', '', since=3)
    replica.update_group(groups.Group(3, 0, (member,)))
    with pytest.raises(errors.MagnoliawoodError) as caught:
        replica.check(3, replica.state.disk_id)
    assert caught.value.code is errors.ErrorCode.COPY_INCOMPLETE
    curio.run(replica.mark_complete, 3)
    replica.check(3, replica.state.disk_id)


def test_copy_does_not_answer_for_a_group_that_it_does_not_know(tmp_path):
    """The later group may need more of it; found by the group's model."""
    replica = _joined(tmp_path, epoch=1)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        replica.check(2, replica.state.disk_id)
    assert caught.value.code is errors.ErrorCode.COPY_INCOMPLETE


class _FullDisk:
    """Refuses the writes of the system while it is full."""

    def __init__(self, monkeypatch):
        self.is_full = True
        self._write = os.write
        monkeypatch.setattr(os, 'write', self.write)

    def write(self, descriptor, data):
        if self.is_full:
            raise OSError(errno.ENOSPC, 'disk full')
        return self._write(descriptor, data)


async def _write_refused(replica, *found):
    with pytest.raises(OSError, match='disk full'):
        await _write(replica, *found)


async def _copy_from_elsewhere(replica, *found):
    writer = await curio.spawn(replica.run, daemon=True)
    await replica.write_new([records.encode(record) for record in found])
    await replica.mark_complete(1)
    await writer.cancel()


def test_record_that_the_disk_refused_is_written_when_copied(
    tmp_path, monkeypatch
):
    replica = _joined(tmp_path)
    disk = _FullDisk(monkeypatch)
    curio.run(_write_refused, replica, _turn('t1'))
    disk.is_full = False
    curio.run(_copy_from_elsewhere, replica, _turn('t1'))
    again = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert [t.turn_id for t in again.table.chain('t1')] == ['t1']


def test_copy_is_not_complete_before_all_it_knows_is_on_disk(
    tmp_path, monkeypatch
):
    """The sources need not have a record that only this copy was sent."""
    replica = _joined(tmp_path)
    disk = _FullDisk(monkeypatch)
    curio.run(_write_refused, replica, _turn('t1'))
    disk.is_full = False
    curio.run(_copy_from_elsewhere, replica)
    again = replicas.DiskReplica(tmp_path, clocks.ManualClock())
    assert [t.turn_id for t in again.table.chain('t1')] == ['t1']
