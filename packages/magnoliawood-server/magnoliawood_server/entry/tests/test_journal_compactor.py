import datetime
import itertools

import curio
import pytest

from magnoliawood.ownership import journal
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import identity
from magnoliawood.programs import records
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import journal_compactor
from magnoliawood_server.entry import journal_writer
from magnoliawood_server.entry.tests import memory_store

KEYS = [identity.ProgramKey('red-clay', f'pour-{n}') for n in range(4)]
SHARDS = sorted({key.shard for key in KEYS})
WRITE_INTERVAL = datetime.timedelta(milliseconds=1)


class NullReplicator:
    """Replicator without peers, since the store accepts all writes."""

    async def trim(self, log, buffer):
        pass


class Owner:
    """Journal, shard map and programs of an owner, without its services."""

    def __init__(self, objects):
        self.objects = objects
        self.table = tables.ProgramTable()
        self.names = (f'entry-1~run.{n}' for n in itertools.count(1))
        self.map = shard_maps.ShardMap.empty()
        metrics = registries.Registry()
        self.compactor = journal_compactor.JournalCompactor(
            'entry-1', objects, metrics, lambda: next(self.names), limit=2
        )
        self.writer = journal_writer.JournalWriter(
            objects,
            next(self.names),
            WRITE_INTERVAL,
            metrics,
            self._fail_on_seal,
            NullReplicator(),
        )
        self.compactor.set_writer(self.writer)

    async def _fail_on_seal(self):
        raise AssertionError('the log must not be sealed in this test')

    async def write_map(self, changed):
        stored = await self.objects.put(
            shard_maps.MAP_NAME, changed.to_text(), self.map.version
        )
        self.map = shard_maps.ShardMap.from_text(stored.version, stored.value)

    async def write_snapshots(self, shards):
        for shard in shards:
            for program in self.table.in_shard(shard):
                await self.writer.append_all(program.snapshot())

    async def record(self, record):
        self.table.apply(record)
        journal_position = await self.writer.append(record)
        await self.writer.wait_durable(journal_position.position)

    async def step(self):
        await self.compactor.step(
            self.map, SHARDS, self.write_map, self.write_snapshots
        )
        await self.writer.wait_durable(self.writer.last_position())


def opened(key):
    return records.Opened(
        key,
        'booking',
        budgets.Budget(100, 10, 60.0),
        datetime.datetime(2026, 5, 1, tzinfo=datetime.UTC),
    )


async def open_programs(objects, stored):
    """Open programs and let the compactor replace the log twice.

    Each program is added to ``stored`` once its record is durable.
    """
    owner = Owner(objects)
    await owner.write_map(
        owner.map.assign(SHARDS, 'entry-1', owner.writer.log)
    )
    owner.compactor.record_snapshots(SHARDS)
    await curio.spawn(owner.writer.run, daemon=True)
    for key in KEYS:
        await owner.record(opened(key))
        stored.append(key)
        await owner.step()
        await owner.step()
    return owner


async def read_programs(objects):
    """Return the programs in the logs that the shard map names."""
    stored_map = objects.objects[shard_maps.MAP_NAME]
    shard_map = shard_maps.ShardMap.from_text(
        stored_map.version, stored_map.value
    )
    table = tables.ProgramTable()
    for shard in SHARDS:
        for log in shard_map.assignments[shard].logs:
            for record in await journal_writer.read_log(objects, log):
                if records.program_of(record).shard == shard:
                    table.apply(record)
    return {program.key for program in table.all()}


def test_old_logs_are_deleted_without_losing_programs():
    async def main():
        objects = memory_store.MemoryStore()
        owner = await open_programs(objects, [])
        assert await read_programs(objects) == set(KEYS)
        assert owner.map.logs() == {owner.writer.log}
        logs = {
            name.rpartition('/')[0]
            for name in objects.objects
            if name.startswith(journal.JOURNAL_PREFIX)
        }
        assert logs == {f'{journal.JOURNAL_PREFIX}{owner.writer.log}'}
        assert owner.writer.log != 'entry-1~run.1'

    curio.run(main)


@pytest.mark.parametrize('limit', range(1, 30))
def test_kill_after_any_store_change_loses_no_stored_program(limit):
    async def main():
        objects = memory_store.MemoryStore(limit)
        stored = []

        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(open_programs, objects, stored)
            await group.spawn(objects.stopped.wait)
        objects.changes_left = 1_000_000
        assert set(stored) <= await read_programs(objects)

    curio.run(main)


def test_seal_of_another_entry_is_not_deleted():
    async def main():
        objects = memory_store.MemoryStore()
        owner = Owner(objects)
        await objects.put(journal.segment_name('entry-2~run.1', 1), '[]', 0)
        await journal_writer.seal_log(objects, 'entry-2~run.1')
        await owner.write_map(
            owner.map.assign(SHARDS, 'entry-2', 'entry-2~run.1').assign(
                SHARDS, 'entry-1', owner.writer.log
            )
        )
        owner.compactor.record_snapshots(SHARDS)
        await owner.step()
        kept = [item.value for item in objects.objects.values()]
        assert journal.SEAL in kept
        assert '[]' not in kept

    curio.run(main)
