"""Random interleavings of attempts never exceed a program's budget.

Each attempt writes its charge to a write quorum, then reads a read quorum.
The steps of all attempts interleave, single copies are late, and up to as
many disks as are tolerated lose their content and are filled again.
"""

import random

import pytest

from magnoliawood.replication import group as groups
from magnoliawood.replication import quorum
from magnoliawood.turns import ledger as ledgers

COST = 80


class _Copies:
    """Disks of one group with the charges that each holds."""

    def __init__(self, group, chooser):
        self.group = group
        self._chooser = chooser
        self.charges = {member.disk_id: {} for member in group.members}

    def write(self, charge):
        for disk in self._pick(self.group.write_quorum):
            self.charges[disk][charge.attempt_id] = charge

    def read(self):
        return [
            list(self.charges[disk].values())
            for disk in self._pick(self.group.read_quorum)
        ]

    def lose_and_refill(self):
        lost = self._chooser.choice(sorted(self.charges))
        sources = [disk for disk in sorted(self.charges) if disk != lost]
        picked = self._chooser.sample(sources, self.group.read_quorum)
        self.charges[lost] = {
            attempt: charge
            for disk in picked
            for attempt, charge in self.charges[disk].items()
        }

    def _pick(self, count):
        return self._chooser.sample(sorted(self.charges), count)


def _attempt(copies, name, budget, granted):
    charge = ledgers.Charge(name, COST, False)
    copies.write(charge)
    yield
    decision = quorum.decide_budget(copies.read(), budget)
    yield
    if decision.is_granted:
        granted.append(name)


def _play(seed, losses, reads_first=False):
    chooser = random.Random(seed)
    disks = [groups.Member(str(n), str(n), '') for n in range(2 * losses + 1)]
    copies = _Copies(groups.Group.first(disks, losses), chooser)
    budget = COST * chooser.randint(1, 5)
    granted = []
    running = [
        _attempt(copies, f'a{number}', budget, granted) for number in range(8)
    ]
    if reads_first:
        running = [
            _reading_first(copies, f'a{number}', budget, granted)
            for number in range(8)
        ]
    while running:
        step = chooser.choice(running)
        if next(step, 'ended') == 'ended':
            running.remove(step)
        if chooser.random() < 0.1:
            copies.lose_and_refill()
    return len(granted) * COST <= budget


def _reading_first(copies, name, budget, granted):
    """The planted fault: the charge is written after the decision."""
    charge = ledgers.Charge(name, COST, False)
    known = [*copies.read(), [charge]]
    yield
    if quorum.decide_budget(known, budget).is_granted:
        granted.append(name)
    copies.write(charge)
    yield


@pytest.mark.parametrize('losses', [1, 2])
def test_granted_attempts_never_exceed_the_budget(losses):
    assert all(_play(seed, losses) for seed in range(400))


def test_planted_fault_is_found():
    assert not all(_play(seed, 1, reads_first=True) for seed in range(400))
