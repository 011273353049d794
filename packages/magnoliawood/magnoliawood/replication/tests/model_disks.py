"""Disks of a small replica group for models that explore all orders.

Their records are those of the product's own table. One disk at a time may be
lost; the one in its place copies the records of the others one by one.
"""

import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood.turns import records
from magnoliawood.turns import table as tables

GROUP = groups.Group.first(
    [groups.Member(name, name, '') for name in 'abc'], losses=1
)
# Periods for which a record is retained; the clock advances by one of them.
RETENTION = 2
_PERIOD = datetime.timedelta(seconds=10)


def time_at(period):
    """Return the Unix time in seconds at the start of a period."""
    return (clocks.ManualClock().now() + period * _PERIOD).timestamp()


def expiry(period):
    """Return when a record of a period expires: between two periods."""
    return time_at(period + RETENTION) - _PERIOD.total_seconds() / 2


@dataclasses.dataclass(frozen=True, order=True)
class Disk:
    """Records of one disk.

    :param entries: the encoded records, sorted
    :param uncopied: records still to be copied to it, the next one first
    """

    entries: tuple = ()
    uncopied: tuple = ()

    @property
    def is_complete(self):
        return not self.uncopied

    def table(self, period):
        clock = clocks.ManualClock()
        clock.advance(period * _PERIOD)
        table = tables.RecordTable(clock)
        for entry in self.entries:
            table.apply(records.decode(entry))
        return table

    def with_table(self, table):
        entries = tuple(sorted(map(records.encode, table.records())))
        return dataclasses.replace(self, entries=entries)

    def cleaned(self, period):
        table = self.table(period)
        table.expire()
        return self.with_table(table)

    def with_next_copy(self, period):
        table = self.table(period)
        first, *uncopied = self.uncopied
        table.apply(records.decode(first))
        copied = self.with_table(table)
        return dataclasses.replace(copied, uncopied=tuple(uncopied))


def replace(disks, number, disk):
    """Return disks with one in place of another."""
    return (*disks[:number], disk, *disks[number + 1 :])


def complete(disks):
    """Return the numbers of the disks that are complete."""
    return [number for number, disk in enumerate(disks) if disk.is_complete]


def steps(disks, period, cleans_complete_only):
    """Yield each step that disks make by themselves, and what it leads to.

    :param cleans_complete_only: whether an incomplete disk drops nothing
    """
    for number, disk in enumerate(disks):
        if disk.is_complete or not cleans_complete_only:
            cleaned = disk.cleaned(period)
            yield f'clean {number}', replace(disks, number, cleaned)
        if disk.uncopied:
            copied = disk.with_next_copy(period)
            yield f'copy {number}', replace(disks, number, copied)
    if len(complete(disks)) < len(disks):
        return
    for number in range(len(disks)):
        sources = replace(disks, number, Disk())
        # Sorted, the oldest turns come first.
        uncopied = sorted({item for disk in sources for item in disk.entries})
        yield (
            f'lose {number}',
            replace(disks, number, Disk((), tuple(uncopied))),
        )
