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
