"""Tests for rewriting the log while entries are written or the disk fails."""

import threading

import curio
import pytest

from magnoliawood_server.keeper import disk_log


async def _rewrite_during_write(folder):
    log = disk_log.DiskLog(folder)
    write_started = threading.Event()
    may_sync = threading.Event()
    write = log._write

    def slow_write(*arguments):
        write_started.set()
        may_sync.wait()
        return write(*arguments)

    writer = await curio.spawn(log.run, daemon=True)
    await log.append([b'old'])
    log._write = slow_write
    append_in_progress = await curio.spawn(log.append, [b'under way'])
    await curio.run_in_thread(write_started.wait)
    rewriting = await curio.spawn(log.rewrite, [b'under way', b'kept'])
    # Lets the rewrite add its batch before the write in progress ends.
    await curio.sleep(0)
    may_sync.set()
    await append_in_progress.join()
    await rewriting.join()
    await log.append([b'later'])
    await writer.cancel()


def test_rewrite_does_not_disturb_write_in_progress(tmp_path):
    curio.run(_rewrite_during_write, tmp_path)
    reloaded = disk_log.DiskLog(tmp_path)
    assert list(reloaded.load()) == [b'under way', b'kept', b'later']
    size = sum(path.stat().st_size for path in tmp_path.glob('*.log'))
    assert reloaded.total_bytes == size


async def _fail_during_rewrite(folder, monkeypatch):
    log = disk_log.DiskLog(folder)
    writer = await curio.spawn(log.run, daemon=True)
    await log.append([b'old'])
    monkeypatch.setattr(disk_log.os, 'fdatasync', _fail_sync)
    with pytest.raises(OSError, match='disk failed'):
        await log.rewrite([b'new'])
    await writer.cancel()


def _fail_sync(descriptor):
    raise OSError('disk failed')


def test_failed_rewrite_keeps_old_entries(tmp_path, monkeypatch):
    curio.run(_fail_during_rewrite, tmp_path, monkeypatch)
    assert b'old' in list(disk_log.DiskLog(tmp_path).load())


async def _fail_once_between_writes(folder, monkeypatch):
    log = disk_log.DiskLog(folder)
    writer = await curio.spawn(log.run, daemon=True)
    with monkeypatch.context() as patch:
        patch.setattr(disk_log.os, 'fdatasync', _fail_sync)
        patch.setattr(disk_log.os, 'write', _write_nothing)
        with pytest.raises(OSError, match='disk failed'):
            await log.append([b'first'])
    await log.append([b'second'])
    await writer.cancel()


def _write_nothing(descriptor, data):
    return len(data)


def test_confirmed_entry_has_all_entries_before_it_on_disk(
    tmp_path, monkeypatch
):
    """Guards against a turn on disk whose previous turn was not written."""
    curio.run(_fail_once_between_writes, tmp_path, monkeypatch)
    reloaded = disk_log.DiskLog(tmp_path)
    assert list(reloaded.load()) == [b'first', b'second']


async def _fail_syncs(folder, monkeypatch, count):
    log = disk_log.DiskLog(folder)
    writer = await curio.spawn(log.run, daemon=True)
    with monkeypatch.context() as patch:
        patch.setattr(disk_log.os, 'fdatasync', _fail_sync)
        for _ in range(count):
            with pytest.raises(OSError, match='disk failed'):
                await log.append([b'x' * 1000])
    await log.append([b'last'])
    await writer.cancel()


def test_failed_writes_leave_no_copies_on_the_disk(tmp_path, monkeypatch):
    """Guards against a disk that fills up with failed tries."""
    curio.run(_fail_syncs, tmp_path, monkeypatch, 20)
    entries = list(disk_log.DiskLog(tmp_path).load())
    assert entries == [b'x' * 1000] * 20 + [b'last']
