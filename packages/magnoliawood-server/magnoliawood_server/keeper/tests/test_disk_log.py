"""Segments are replaced while other entries are written."""

import threading

import curio
import pytest

from magnoliawood_server.keeper import disk_log


async def _rewrite_during_a_write(folder):
    log = disk_log.DiskLog(folder)
    has_begun = threading.Event()
    may_sync = threading.Event()
    write = log._write

    def slow_write(*arguments):
        has_begun.set()
        may_sync.wait()
        return write(*arguments)

    writer = await curio.spawn(log.run, daemon=True)
    await log.append([b'old'])
    log._write = slow_write
    under_way = await curio.spawn(log.append, [b'under way'])
    await curio.run_in_thread(has_begun.wait)
    rewriting = await curio.spawn(log.rewrite, [b'under way', b'kept'])
    # The rewrite is asked for before the write under way ends.
    await curio.sleep(0)
    may_sync.set()
    await under_way.join()
    await rewriting.join()
    await log.append([b'later'])
    await writer.cancel()


def test_rewrite_leaves_a_write_under_way_alone(tmp_path):
    curio.run(_rewrite_during_a_write, tmp_path)
    again = disk_log.DiskLog(tmp_path)
    assert list(again.load()) == [b'under way', b'kept', b'later']
    size = sum(path.stat().st_size for path in tmp_path.glob('*.log'))
    assert again.total_bytes == size


async def _fail_during_rewrite(folder, monkeypatch):
    log = disk_log.DiskLog(folder)
    writer = await curio.spawn(log.run, daemon=True)
    await log.append([b'old'])
    monkeypatch.setattr(disk_log.os, 'fdatasync', _refuse)
    with pytest.raises(OSError, match='disk failed'):
        await log.rewrite([b'new'])
    await writer.cancel()


def _refuse(descriptor):
    raise OSError('disk failed')


def test_refused_rewrite_keeps_what_stood(tmp_path, monkeypatch):
    curio.run(_fail_during_rewrite, tmp_path, monkeypatch)
    assert b'old' in list(disk_log.DiskLog(tmp_path).load())
