"""A budget holds as long as its program goes on, whatever disks drop.

All orders of a few steps are explored, with the table and the merging of
replies that the product uses: attempts that are charged on any quorum and
read from any other, expiry on each disk, the loss of a disk and the copy to a
new one, charge by charge. A program goes on as long as its newest attempt is
charged; at most one disk at a time is lost or incomplete.

Attempts are charged one after the other here; those that meet are the
subject of ``test_budget_model``.
"""

import dataclasses
import datetime
import itertools

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood.replication import quorum
from magnoliawood.replication.tests import exploration
from magnoliawood.turns import records
from magnoliawood.turns import table as tables

GROUP = groups.Group.first(
    [groups.Member(name, name, '') for name in 'abc'], losses=1
)
PROGRAM = 'p'
COST = 80
BUDGET = 2 * COST
# Periods for which a charge is retained; the clock advances by one of them.
RETENTION = 2
PERIODS = 5
MAX_ATTEMPTS = 3
DEPTH = 12


@dataclasses.dataclass(frozen=True)
class _Rules:
    """What the product does; each fault takes one rule back.

    :param writes_all: who has the newest charge gets all before it
    :param cleans_complete_only: an incomplete disk drops nothing
    """

    writes_all: bool = True
    cleans_complete_only: bool = True


@dataclasses.dataclass(frozen=True, order=True)
class _Disk:
    """Charges of one disk, and those still to be copied to it."""

    charges: tuple = ()
    uncopied: tuple = ()
    is_complete: bool = True

    def table(self, now):
        clock = clocks.ManualClock()
        clock.advance(datetime.timedelta(seconds=10 * now))
        table = tables.RecordTable(clock)
        for fields in self.charges:
            table.apply(records.ChargeRecord(*fields))
        return table

    def with_table(self, table, **changes):
        charges = tuple(sorted(map(dataclasses.astuple, table.records())))
        return dataclasses.replace(self, charges=charges, **changes)


@dataclasses.dataclass(frozen=True)
class _State:
    """Disks, number of attempts and those that were granted.

    :param last: period of the last attempt that was granted
    """

    rules: _Rules
    now: int = 0
    attempts: int = 0
    granted: int = 0
    last: int = 0
    disks: tuple = (_Disk(), _Disk(), _Disk())

    def steps(self):
        if self.now < PERIODS:
            yield 'advance', dataclasses.replace(self, now=self.now + 1)
        # An attempt as late as the expiry of the last one begins anew.
        if self.attempts < MAX_ATTEMPTS and self.now < self.last + RETENTION:
            yield from self._attempts()
        for number, disk in enumerate(self.disks):
            yield f'clean {number}', self._clean(number, disk)
            if disk.uncopied:
                yield f'copy {number}', self._copy(number, disk)
        if all(disk.is_complete for disk in self.disks):
            for number in range(len(self.disks)):
                yield f'lose {number}', self._lose(number)

    def violation(self):
        if self.granted * COST > BUDGET:
            return f'{self.granted} attempts were granted'
        return ''

    def _attempts(self):
        complete = [
            number
            for number, disk in enumerate(self.disks)
            if disk.is_complete
        ]
        name = f'a{self.attempts + 1}'
        charge = self._record(name)
        for charged in itertools.combinations(complete, GROUP.meeting_quorum):
            for read in itertools.combinations(complete, GROUP.read_quorum):
                for sent in itertools.combinations(
                    complete, GROUP.write_quorum
                ):
                    yield (
                        f'{name} on {charged}, read {read}, all on {sent}',
                        self._attempt(charge, charged, read, sent),
                    )

    def _attempt(self, charge, charged, read, sent):
        state = self._write([charge], charged)
        listed = state._list(charged)
        if not quorum.is_round_decisive(listed):
            again = state._list(read)
            listed += again
            if self.rules.writes_all and not quorum.is_round_decisive(again):
                state = state._write(
                    quorum.merged_charges(PROGRAM, again, [charge]), sent
                )
        is_granted = quorum.decide_budget(listed, BUDGET).is_granted
        return dataclasses.replace(
            state,
            attempts=self.attempts + 1,
            granted=self.granted + is_granted,
            last=self.now if is_granted else self.last,
        )

    def _record(self, name):
        start = clocks.ManualClock().now().timestamp()
        return records.ChargeRecord(
            PROGRAM, name, COST, False, start + 10 * (self.now + RETENTION) - 5
        )

    def _list(self, numbers):
        return [
            self.disks[number].table(self.now).charges(PROGRAM)
            for number in numbers
        ]

    def _write(self, charges, numbers):
        state = self
        for number in numbers:
            table = state.disks[number].table(self.now)
            for charge in charges:
                table.apply(charge)
            state = state._with_disk(
                number, state.disks[number].with_table(table)
            )
        return state

    def _clean(self, number, disk):
        if self.rules.cleans_complete_only and not disk.is_complete:
            return self
        table = disk.table(self.now)
        table.expire()
        return self._with_disk(number, disk.with_table(table))

    def _lose(self, number):
        uncopied = {
            fields
            for other, disk in enumerate(self.disks)
            if other != number
            for fields in disk.charges
        }
        return self._with_disk(
            number,
            _Disk((), tuple(sorted(uncopied)), is_complete=not uncopied),
        )

    def _copy(self, number, disk):
        table = disk.table(self.now)
        first, *uncopied = disk.uncopied
        table.apply(records.ChargeRecord(*first))
        return self._with_disk(
            number,
            disk.with_table(
                table, uncopied=tuple(uncopied), is_complete=not uncopied
            ),
        )

    def _with_disk(self, number, disk):
        disks = list(self.disks)
        disks[number] = disk
        return dataclasses.replace(self, disks=tuple(disks))


def test_budget_holds_as_long_as_its_program_goes_on():
    """Guards against a budget of which each disk forgets a part (issue 41)."""
    found = exploration.explore(_State(_Rules()), DEPTH)
    print(f'{found.states} states')
    assert not found.violation


@pytest.mark.parametrize(
    'rules', [_Rules(writes_all=False), _Rules(cleans_complete_only=False)]
)
def test_model_detects_each_rule_that_is_taken_back(rules):
    assert exploration.explore(_State(rules), DEPTH).violation
