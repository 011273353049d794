"""Random histories of a group never deny a record that was confirmed.

Clients know old groups, disks are emptied, cut off and replaced, hosts are
emptied, processes forget what they had not sealed. At most one disk at a time
is lost or incomplete, as the deployment allows.
"""

import dataclasses
import random

import pytest

from magnoliawood.replication import group as groups

LOSSES = 1
STEPS = 120


@dataclasses.dataclass
class _Copy:
    """A disk with what its keeper knows."""

    disk_id: str
    records: set = dataclasses.field(default_factory=set)
    group: groups.Group | None = None
    copied_epoch: int = 0
    sealed_epoch: int = 0
    epoch: int = 0

    def note(self, group):
        if self.group is None or group.epoch > self.group.epoch:
            self.group = group
            self.epoch = max(self.epoch, group.epoch)

    def seal(self, group):
        self.note(group)
        self.sealed_epoch = max(self.sealed_epoch, group.epoch)

    def restart(self):
        self.group = None
        self.epoch = self.sealed_epoch

    @property
    def is_complete(self):
        member = self.group and self.group.find(self.disk_id)
        return bool(member) and self.copied_epoch >= member.since

    def admits(self, epoch):
        is_known = self.group is not None and epoch == self.group.epoch
        return is_known and epoch >= self.epoch and self.is_complete


class _World:
    def __init__(self, seed, seals):
        self.chooser = random.Random(seed)
        self.seals = seals
        self.copies = {}
        self.names = iter(range(1000))
        disks = [self.new_disk(f'host-{number}') for number in range(3)]
        self.group = groups.Group.first(disks, LOSSES)
        for member in disks:
            self.copies[member.disk_id].note(self.group)
        self.known = [self.group] * 3
        self.confirmed = set()
        self.violations = []

    def new_disk(self, host):
        disk_id = f'd{next(self.names)}'
        self.copies[disk_id] = _Copy(disk_id)
        return groups.Member(disk_id, host, host)

    def is_settled(self):
        """Whether another disk may be lost."""
        return all(
            member.disk_id in self.copies
            and self.copies[member.disk_id].is_complete
            and self.copies[member.disk_id].group == self.group
            for member in self.group.members
        )

    def play(self):
        steps = (
            *(self.write,) * 5,
            *(self.read,) * 5,
            *(self.complete,) * 3,
            *(self.tell,) * 3,
            self.learn,
            self.restart,
            self.empty_disk,
            self.replace_silent,
            self.shrink,
            self.grow,
        )
        for _ in range(STEPS):
            self.chooser.choice(steps)()
        return self.violations

    def answering(self, group):
        """Return the copies that take part, some of them left out."""
        found = [
            self.copies[member.disk_id]
            for member in group.members
            if member.disk_id in self.copies
            and self.copies[member.disk_id].admits(group.epoch)
        ]
        self.chooser.shuffle(found)
        return found

    def write(self):
        group = self.chooser.choice(self.known)
        record = f'r{next(self.names)}'
        # A cut leaves out any of the copies.
        reached = self.answering(group)
        reached = reached[: self.chooser.randint(0, len(reached))]
        for copy in reached:
            copy.records.add(record)
        if len(reached) >= group.write_quorum:
            self.confirmed.add(record)

    def read(self):
        if not self.confirmed:
            return
        group = self.chooser.choice(self.known)
        record = self.chooser.choice(sorted(self.confirmed))
        asked = self.answering(group)[: group.read_quorum]
        if len(asked) < group.read_quorum:
            return
        if not any(record in copy.records for copy in asked):
            self.violations.append(record)

    def learn(self):
        number = self.chooser.randrange(len(self.known))
        self.known[number] = self.group

    def tell(self):
        member = self.chooser.choice(self.group.members)
        if member.disk_id in self.copies:
            self.copies[member.disk_id].note(self.group)

    def restart(self):
        self.copies[self.chooser.choice(sorted(self.copies))].restart()

    def change(self, changed):
        complete = sum(
            member.disk_id in self.copies
            and self.copies[member.disk_id].copied_epoch >= member.since
            for member in self.group.members
        )
        if complete >= changed.sources_needed:
            self.group = changed

    def empty_disk(self):
        if not self.is_settled():
            return
        lost = self.chooser.choice(self.group.members)
        del self.copies[lost.disk_id]
        joining = self.new_disk(lost.host)
        self.change(self.group.replace(lost.disk_id, joining))

    def replace_silent(self):
        """The replaced disk lives on, and knows nothing of it."""
        if not self.is_settled() or not self.group.is_full:
            return
        silent = self.chooser.choice(self.group.members)
        joining = self.new_disk(f'spare-{next(self.names)}')
        self.change(self.group.replace(silent.disk_id, joining))

    def shrink(self):
        if self.is_settled() and self.group.can_shrink:
            leaving = self.chooser.choice(self.group.members)
            self.change(self.group.remove(leaving.disk_id))

    def grow(self):
        if self.is_settled() and not self.group.is_full:
            self.change(self.group.add(self.new_disk('new')))

    def complete(self):
        member = self.chooser.choice(self.group.members)
        copy = self.copies.get(member.disk_id)
        if copy is None or copy.copied_epoch >= member.since:
            return
        if self.seals:
            copy.seal(self.group)
        else:
            copy.note(self.group)
        copied = 0
        for source in self.group.sources:
            other = self.copies.get(source.disk_id)
            if other is None or self.chooser.random() < 0.2:
                continue
            if self.seals:
                other.seal(self.group)
            copy.records |= other.records
            copied += other.copied_epoch >= source.since
        if copied >= self.group.sources_needed:
            copy.copied_epoch = self.group.epoch


@pytest.mark.parametrize('first_seed', range(0, 2000, 500))
def test_confirmed_record_is_never_denied(first_seed):
    seeds = range(first_seed, first_seed + 500)
    assert not any(_World(seed, seals=True).play() for seed in seeds)


def test_planted_fault_is_found():
    """Sources that do not refuse older epochs."""
    seeds = range(500)
    assert any(_World(seed, seals=False).play() for seed in seeds)
