"""Copies of the records of other replicas, without a network."""

import datetime

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood.turns import records
from magnoliawood_server.keeper import copier as copiers
from magnoliawood_server.keeper import messages
from magnoliawood_server.keeper import replica as replicas

PAGE_INTERVAL = datetime.timedelta(milliseconds=100)
PAGES = 8


class _SlowStream:
    """Stream of a source that sends a page after each interval.

    :param pages: number of pages after which it falls silent
    """

    def __init__(self, disk_id, pages):
        self._disk_id = disk_id
        self._numbers = iter(range(pages))

    async def send(self, message):
        self._next = messages.CopyStatus(self._disk_id, 0, message.group)

    async def receive(self):
        message, self._next = self._next, None
        if message is not None:
            return message
        await curio.sleep(PAGE_INTERVAL.total_seconds())
        number = next(self._numbers, None)
        if number is None:
            await curio.Event().wait()
        turn = records.TurnRecord(f't{number}', '', b'in', b'out', 4e9)
        is_last = number == PAGES - 1
        return messages.CopyPage([records.encode(turn)], is_last)

    def close(self):
        pass


class _Pool:
    def __init__(self, pages):
        self._pages = pages

    async def open_stream(self, address):
        return _SlowStream(address, self._pages)


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    """A time limit of a few pages, whatever it applies to."""
    limit = PAGE_INTERVAL * (PAGES - 2)
    for name in ('COPY_TIMEOUT', 'PROGRESS_TIMEOUT'):
        monkeypatch.setattr(copiers, name, limit, raising=False)


def _copy(folder, pages):
    """Return whether a copy ended, and the table of the joining disk."""
    replica = replicas.DiskReplica(folder, clocks.ManualClock())
    source = groups.Member('a', 'a', 'a')
    joining = groups.Member(replica.state.disk_id, 'b', 'b')
    group = groups.Group.first([source], 0).replace('a', joining)

    async def run():
        writer = await curio.spawn(replica.run, daemon=True)
        copied = await copiers.Copier(replica, _Pool(pages)).complete(group)
        await writer.cancel()
        return copied

    return curio.run(run), replica.table


def test_copy_that_goes_on_is_not_given_up_however_long_it_takes(tmp_path):
    """Guards against a disk that never joins, so that the next loss is final.

    The copy takes longer than the time limit; none of its pages does.
    """
    copied, table = _copy(tmp_path, PAGES)
    assert copied
    assert len([*table.records()]) == PAGES


def test_copy_from_a_source_that_falls_silent_is_given_up(tmp_path):
    copied, _ = _copy(tmp_path, 2)
    assert not copied


def test_each_copy_leaves_what_it_received(tmp_path, caplog):
    """H2 of issue 45: guards against copies that begin anew unnoticed."""
    caplog.set_level('INFO')
    _copy(tmp_path / 'silent', PAGES - 1)
    _copy(tmp_path / 'whole', PAGES)
    lines = [
        (record.getMessage(), getattr(record, 'records', None))
        for record in caplog.records
        if record.getMessage().startswith('copying')
    ]
    assert lines == [
        ('copying from a source replica began', None),
        ('copying from a source replica failed', PAGES - 1),
        ('copying from a source replica began', None),
        ('copying from a source replica ended', PAGES),
    ]
    assert [
        record.is_complete
        for record in caplog.records
        if record.getMessage() == 'records copied from source replicas'
    ] == [False, True]
