"""Ownership of programs by entries and fencing of previous owners."""

from magnoliawood.ownership.fence import FenceTable
from magnoliawood.ownership.journal import JournalBuffer
from magnoliawood.ownership.replicated_records import ReplicatedRecords
from magnoliawood.ownership.shard_map import Assignment
from magnoliawood.ownership.shard_map import ShardMap
from magnoliawood.ownership.witness import WitnessRecord
from magnoliawood.ownership.witness import WitnessTable

__all__ = [
    'Assignment',
    'FenceTable',
    'JournalBuffer',
    'ReplicatedRecords',
    'ShardMap',
    'WitnessRecord',
    'WitnessTable',
]
