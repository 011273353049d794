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
import itertools

import pytest

from magnoliawood.replication import quorum
from magnoliawood.replication.tests import exploration
from magnoliawood.replication.tests import model_disks
from magnoliawood.turns import records

PROGRAM = 'p'
COST = 80
BUDGET = 2 * COST
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


@dataclasses.dataclass(frozen=True)
class _State:
    """Disks, number of attempts and those that were granted.

    :param last: period of the last attempt that was granted
    """

    rules: _Rules
    period: int = 0
    attempts: int = 0
    granted: int = 0
    last: int = 0
    disks: tuple = (model_disks.Disk(),) * 3

    def steps(self):
        if self.period < PERIODS:
            yield 'advance', dataclasses.replace(self, period=self.period + 1)
        # An attempt as late as the expiry of the last one begins anew.
        goes_on = self.period < self.last + model_disks.RETENTION
        if self.attempts < MAX_ATTEMPTS and goes_on:
            yield from self._attempts()
        for step, disks in model_disks.steps(
            self.disks, self.period, self.rules.cleans_complete_only
        ):
            yield step, dataclasses.replace(self, disks=disks)

    def violation(self):
        if self.granted * COST > BUDGET:
            return f'{self.granted} attempts were granted'
        return ''

    def _attempts(self):
        complete = model_disks.complete(self.disks)
        group = model_disks.GROUP
        name = f'a{self.attempts + 1}'
        for charged, read, sent in itertools.product(
            itertools.combinations(complete, group.meeting_quorum),
            itertools.combinations(complete, group.read_quorum),
            itertools.combinations(complete, group.write_quorum),
        ):
            yield (
                f'{name} on {charged}, read {read}, all on {sent}',
                self._attempt(name, charged, read, sent),
            )

    def _attempt(self, name, charged, read, sent):
        charge = records.ChargeRecord(
            PROGRAM, name, COST, False, model_disks.expiry(self.period)
        )
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
            last=self.period if is_granted else self.last,
        )

    def _list(self, numbers):
        return [
            self.disks[number].table(self.period).charges(PROGRAM)
            for number in numbers
        ]

    def _write(self, charges, numbers):
        disks = self.disks
        for number in numbers:
            table = disks[number].table(self.period)
            for charge in charges:
                table.apply(charge)
            disks = model_disks.replace(
                disks, number, disks[number].with_table(table)
            )
        return dataclasses.replace(self, disks=disks)


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
