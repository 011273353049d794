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
# Longer than any copy here takes, also on a busy machine.
HANGING = datetime.timedelta(seconds=20)


class _SlowStream:
    """Stream of a source that sends a page after each interval.

    :param pages: number of pages after which it falls silent
    """

    def __init__(self, disk_id, pages):
        self._disk_id = disk_id
        self._numbers = iter(range(pages))

    def limit_waiting(self, messages):
        return

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


class _EndlessStream(_SlowStream):
    """Stream of a source that goes on without an end."""

    async def receive(self):
        message, self._next = self._next, None
        if message is not None:
            return message
        await curio.sleep(PAGE_INTERVAL.total_seconds())
        return messages.CopyPage([], False)


class _Pool:
    """Sources by address; one called ``endless`` never gets done."""

    def __init__(self, pages):
        self._pages = pages

    async def open_stream(self, address):
        kind = _EndlessStream if address == 'endless' else _SlowStream
        return kind(address, self._pages)


@pytest.fixture(autouse=True)
def short_timeout(monkeypatch):
    """A time limit of a few pages, whatever it applies to."""
    limit = PAGE_INTERVAL * (PAGES - 2)
    for name in ('COPY_TIMEOUT', 'PROGRESS_TIMEOUT'):
        monkeypatch.setattr(copiers, name, limit, raising=False)


def _copy(folder, pages, sources=('a',), losses=0):
    """Return whether a copy ended, and the table of the joining disk."""
    replica = replicas.DiskReplica(folder, clocks.ManualClock())
    members = [groups.Member(name, name, name) for name in sources]
    joining = groups.Member(replica.state.disk_id, 'new', 'new')
    group = groups.Group.first(members, losses).replace(sources[-1], joining)

    async def run():
        writer = await curio.spawn(replica.run, daemon=True)
        async with curio.timeout_after(HANGING.total_seconds()):
            copier = copiers.Copier(replica, _Pool(pages))
            copied = await copier.complete(group)
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


def test_copy_does_not_wait_for_more_sources_than_it_needs(tmp_path):
    """Guards against a replaced member that keeps a copy from its end."""
    copied, table = _copy(tmp_path, PAGES, ('a', 'b', 'endless'), losses=1)
    assert copied
    assert len([*table.records()]) == PAGES


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
