import collections

import pydantic
import pytest

from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.programs import identity

ENTRIES = ['entry-1', 'entry-2', 'entry-3']


def owners(entries):
    return [
        shard_maps.preferred_owner(shard, entries)
        for shard in range(identity.SHARD_COUNT)
    ]


def test_every_entry_is_assigned_shards():
    counts = collections.Counter(owners(ENTRIES))
    assert set(counts) == set(ENTRIES)


def test_removal_of_an_entry_moves_only_its_shards():
    before = owners(ENTRIES)
    after = owners(ENTRIES[:2])
    moved = [a for a, b in zip(before, after, strict=True) if a != b]
    assert set(moved) == {'entry-3'}


def test_assignment_increments_the_epoch_and_keeps_older_logs():
    first = shard_maps.ShardMap.empty().assign([4], 'entry-1', 'log-1')
    second = first.assign([4], 'entry-2', 'log-2')
    assert second.assignments[4] == shard_maps.Assignment(
        'entry-2', 2, ('log-1', 'log-2')
    )
    assert second.assignments[5] == shard_maps.Assignment()


def test_logs_are_removed_after_their_records_were_copied():
    shard_map = shard_maps.ShardMap.empty().assign([4], 'a', 'log-1')
    shard_map = shard_map.assign([4], 'b', 'log-2').replace_logs(
        [4], ['log-2']
    )
    assert shard_map.logs() == {'log-2'}


def test_malformed_map_is_rejected():
    with pytest.raises(pydantic.ValidationError):
        shard_maps.ShardMap.from_text(1, '{"assignments": [{"owner": 3}]}')
