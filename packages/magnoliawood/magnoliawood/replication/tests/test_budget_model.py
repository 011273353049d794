"""Attempts that run concurrently must not exceed a program's budget.

The model interleaves attempts at random. Each attempt writes its charge to a
write quorum, then reads from a read quorum. Replicas outside of a quorum miss
the write, and at random steps one disk loses its content and is refilled from
a read quorum of the others.
"""

import random

import pytest

from magnoliawood.replication import group as groups
from magnoliawood.replication import quorum
from magnoliawood.turns import ledger as ledgers

COST = 80


class _Replicas:
    """Disks of one group with the charges that each stores."""

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


def _attempt(replicas, name, budget, granted):
    charge = ledgers.Charge(name, COST, False)
    replicas.write(charge)
    yield
    decision = quorum.decide_budget(replicas.read(), budget)
    yield
    if decision.is_granted:
        granted.append(name)


def _is_budget_kept(seed, losses, reads_first=False):
    chooser = random.Random(seed)
    disks = [groups.Member(str(n), str(n), '') for n in range(2 * losses + 1)]
    replicas = _Replicas(groups.Group.first(disks, losses), chooser)
    budget = COST * chooser.randint(1, 5)
    granted = []
    running = [
        _attempt(replicas, f'a{number}', budget, granted)
        for number in range(8)
    ]
    if reads_first:
        running = [
            _attempt_reading_first(replicas, f'a{number}', budget, granted)
            for number in range(8)
        ]
    while running:
        step = chooser.choice(running)
        if next(step, 'ended') == 'ended':
            running.remove(step)
        if chooser.random() < 0.1:
            replicas.lose_and_refill()
    return len(granted) * COST <= budget


def _attempt_reading_first(replicas, name, budget, granted):
    """Injected fault: the charge is written after the decision."""
    charge = ledgers.Charge(name, COST, False)
    replica_charges = [*replicas.read(), [charge]]
    yield
    if quorum.decide_budget(replica_charges, budget).is_granted:
        granted.append(name)
    replicas.write(charge)
    yield


@pytest.mark.parametrize('losses', [1, 2])
def test_granted_attempts_never_exceed_the_budget(losses):
    assert all(_is_budget_kept(seed, losses) for seed in range(400))


def test_model_detects_charges_written_after_the_decision():
    assert not all(
        _is_budget_kept(seed, 1, reads_first=True) for seed in range(400)
    )
