"""A read quorum must find each acknowledged record after group changes.

The model runs random sequences of events: clients use outdated groups, disks
are emptied, partitioned off and replaced, hosts are evacuated, and keepers
restart and lose the group, except for the epoch that they had sealed. At most
one disk at a time is lost or incomplete, which the deployment tolerates.
"""

import dataclasses
import random

import pytest

from magnoliawood.replication import group as groups

LOSSES = 1
STEPS = 120


@dataclasses.dataclass
class _Replica:
    """A disk and the state of its keeper."""

    disk_id: str
    records: set = dataclasses.field(default_factory=set)
    group: groups.Group | None = None
    copied_epoch: int = 0
    sealed_epoch: int = 0
    epoch: int = 0

    def update_group(self, group):
        if self.group is None or group.epoch > self.group.epoch:
            self.group = group
            self.epoch = max(self.epoch, group.epoch)

    def seal(self, group):
        self.update_group(group)
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


class _Simulation:
    def __init__(self, seed, seals):
        self.chooser = random.Random(seed)
        self.seals = seals
        self.replicas = {}
        self.names = iter(range(1000))
        disks = [self.new_disk(f'host-{number}') for number in range(3)]
        self.group = groups.Group.first(disks, LOSSES)
        for member in disks:
            self.replicas[member.disk_id].update_group(self.group)
        self.client_groups = [self.group] * 3
        self.acknowledged = set()
        self.violations = []

    def new_disk(self, host):
        disk_id = f'd{next(self.names)}'
        self.replicas[disk_id] = _Replica(disk_id)
        return groups.Member(disk_id, host, host)

    def is_settled(self):
        """Return whether the group tolerates the loss of another disk."""
        return all(
            member.disk_id in self.replicas
            and self.replicas[member.disk_id].is_complete
            and self.replicas[member.disk_id].group == self.group
            for member in self.group.members
        )

    def run(self):
        steps = (
            *(self.write,) * 5,
            *(self.read,) * 5,
            *(self.copy_records,) * 3,
            *(self.send_group,) * 3,
            self.refresh_client,
            self.restart,
            self.lose_disk,
            self.replace_unresponsive,
            self.shrink,
            self.grow,
        )
        for _ in range(STEPS):
            self.chooser.choice(steps)()
        return self.violations

    def admitting_replicas(self, group):
        """Return the replicas that admit the epoch, in random order."""
        admitting = [
            self.replicas[member.disk_id]
            for member in group.members
            if member.disk_id in self.replicas
            and self.replicas[member.disk_id].admits(group.epoch)
        ]
        self.chooser.shuffle(admitting)
        return admitting

    def write(self):
        group = self.chooser.choice(self.client_groups)
        record = f'r{next(self.names)}'
        # A network partition may leave out any of the replicas.
        reached = self.admitting_replicas(group)
        reached = reached[: self.chooser.randint(0, len(reached))]
        for replica in reached:
            replica.records.add(record)
        if len(reached) >= group.write_quorum:
            self.acknowledged.add(record)

    def read(self):
        if not self.acknowledged:
            return
        group = self.chooser.choice(self.client_groups)
        record = self.chooser.choice(sorted(self.acknowledged))
        queried = self.admitting_replicas(group)[: group.read_quorum]
        if len(queried) < group.read_quorum:
            return
        if not any(record in replica.records for replica in queried):
            self.violations.append(record)

    def refresh_client(self):
        number = self.chooser.randrange(len(self.client_groups))
        self.client_groups[number] = self.group

    def send_group(self):
        member = self.chooser.choice(self.group.members)
        if member.disk_id in self.replicas:
            self.replicas[member.disk_id].update_group(self.group)

    def restart(self):
        self.replicas[self.chooser.choice(sorted(self.replicas))].restart()

    def change(self, changed):
        complete = sum(
            member.disk_id in self.replicas
            and self.replicas[member.disk_id].copied_epoch >= member.since
            for member in self.group.members
        )
        if complete >= changed.sources_needed:
            self.group = changed

    def lose_disk(self):
        if not self.is_settled():
            return
        lost = self.chooser.choice(self.group.members)
        del self.replicas[lost.disk_id]
        joining = self.new_disk(lost.host)
        self.change(self.group.replace(lost.disk_id, joining))

    def replace_unresponsive(self):
        """The replaced disk keeps running and is not notified."""
        if not self.is_settled() or not self.group.is_full:
            return
        unresponsive = self.chooser.choice(self.group.members)
        joining = self.new_disk(f'spare-{next(self.names)}')
        self.change(self.group.replace(unresponsive.disk_id, joining))

    def shrink(self):
        if self.is_settled() and self.group.can_shrink:
            leaving = self.chooser.choice(self.group.members)
            self.change(self.group.remove(leaving.disk_id))

    def grow(self):
        if self.is_settled() and not self.group.is_full:
            self.change(self.group.add(self.new_disk('new')))

    def copy_records(self):
        member = self.chooser.choice(self.group.members)
        replica = self.replicas.get(member.disk_id)
        if replica is None or replica.copied_epoch >= member.since:
            return
        if self.seals:
            replica.seal(self.group)
        else:
            replica.update_group(self.group)
        copied = 0
        for source in self.group.sources:
            other = self.replicas.get(source.disk_id)
            if other is None or self.chooser.random() < 0.2:
                continue
            if self.seals:
                other.seal(self.group)
            replica.records |= other.records
            copied += other.copied_epoch >= source.since
        if copied >= self.group.sources_needed:
            replica.copied_epoch = self.group.epoch


@pytest.mark.parametrize('first_seed', range(0, 2000, 500))
def test_acknowledged_record_is_found_by_every_read(first_seed):
    seeds = range(first_seed, first_seed + 500)
    assert not any(_Simulation(seed, seals=True).run() for seed in seeds)


def test_model_detects_sources_that_are_not_sealed():
    """Injected fault: sources do not reject older epochs."""
    seeds = range(500)
    assert any(_Simulation(seed, seals=False).run() for seed in seeds)
