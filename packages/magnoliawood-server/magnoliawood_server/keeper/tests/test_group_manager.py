"""Tests for the membership rounds of one keeper, without a network."""

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood_server.keeper import group_manager
from magnoliawood_server.keeper import messages
from magnoliawood_server.keeper import replica as replicas
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.platform import group_store

DISKS = [groups.Member(name, name, name) for name in 'abc']


class _Store:
    """Fake group store."""

    def __init__(self, group):
        self.stored = group_store.StoredGroup(group, 1)
        self.evacuations_by_host = {}
        self.reports = []

    async def read(self, allow_stale=False):
        return self.stored

    async def change(self, old, group):
        assert old == self.stored
        self.stored = group_store.StoredGroup(group, old.revision + 1)

    async def register_disk(self, member):
        pass

    async def evacuations(self):
        return dict(self.evacuations_by_host)

    async def report_evacuation(self, host, is_done):
        self.reports.append((host, is_done))


class _Pool:
    """Fake keepers by address.

    :param copied_epochs: epoch up to which each replica is complete
    """

    def __init__(self, **copied_epochs):
        self.copied_epochs = copied_epochs

    async def request_with_retry(self, address, message, timeout):
        if self.copied_epochs.get(address) is None:
            raise connections.PeerLost('down')
        return messages.CopyStatus(address, self.copied_epochs[address], None)


@pytest.fixture
def manager_of(tmp_path):
    def make(host, store, pool):
        clock = clocks.ManualClock()
        replica = replicas.DiskReplica(tmp_path / host, clock)
        member = groups.Member(replica.state.disk_id, host, host)
        manager = group_manager.GroupManager(
            member, 1, replica, store, pool, clock
        )
        return manager, member, clock

    return make


def _round(manager):
    curio.run(manager._run_round)


def test_standby_disk_replaces_unresponsive_member(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    manager, member, clock = manager_of('spare', store, _Pool(a=0, c=0))
    _round(manager)
    assert store.stored.group.epoch == 1
    clock.advance(group_manager.MEMBER_TIMEOUT * 1.1)
    _round(manager)
    changed = store.stored.group
    assert changed.find('b') is None
    assert changed.find(member.disk_id).since == 2


def test_partitioned_standby_disk_does_not_change_group(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    manager, _, clock = manager_of('spare', store, _Pool(a=0))
    for _ in range(3):
        _round(manager)
        clock.advance(group_manager.MEMBER_TIMEOUT)
    assert store.stored.group.epoch == 1


def test_group_is_not_changed_before_enough_replicas_are_complete(manager_of):
    """Guards against a change after which no replica can be completed.

    An evacuation has resized the group, and a new host asks to join before
    the remaining replicas are complete for the resized group.
    """
    resized = groups.Group.first(DISKS, 1).remove('a')
    store = _Store(resized)
    pool = _Pool(a=0, b=0, c=0)
    manager, member, clock = manager_of('new', store, pool)
    _round(manager)
    assert store.stored.group == resized
    pool.copied_epochs = {'b': 2, 'c': 2}
    clock.advance(group_manager.REFRESH_INTERVAL * 2)
    _round(manager)
    assert store.stored.group.find(member.disk_id) is not None


def test_wiped_disk_replaces_its_previous_identity(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    manager, member, _ = manager_of('b', store, _Pool(a=0, c=0))
    _round(manager)
    changed = store.stored.group
    assert changed.find('b') is None
    assert changed.find(member.disk_id) is not None


def test_evacuated_host_does_not_rejoin(manager_of):
    store = _Store(groups.Group.first(DISKS, 1).remove('a'))
    store.evacuations_by_host = {'spare': True}
    manager, _, _ = manager_of('spare', store, _Pool(b=2, c=2))
    _round(manager)
    assert store.stored.group.epoch == 2


def test_round_raises_during_store_outage(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    manager, _, _ = manager_of('spare', store, _Pool())

    async def outage(allow_stale=False):
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE, 'outage'
        )

    store.read = outage
    with pytest.raises(errors.MagnoliawoodError):
        _round(manager)
