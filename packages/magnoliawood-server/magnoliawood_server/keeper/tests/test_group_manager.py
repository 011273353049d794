"""What one keeper does for the group, without a network."""

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
    """The platform's store as keepers use it."""

    def __init__(self, group):
        self.stored = group_store.StoredGroup(group, 1)
        self.asked_to_empty = {}
        self.reports = []

    async def read(self, allow_stale=False):
        return self.stored

    async def change(self, old, group):
        assert old == self.stored
        self.stored = group_store.StoredGroup(group, old.revision + 1)

    async def register_disk(self, member):
        pass

    async def evacuations(self):
        return dict(self.asked_to_empty)

    async def report_evacuation(self, host, is_done):
        self.reports.append((host, is_done))


class _Pool:
    """Keepers by address, each with the epoch its copy is complete for."""

    def __init__(self, **copied):
        self.copied = copied

    async def request_with_retry(self, address, message, timeout):
        if self.copied.get(address) is None:
            raise connections.PeerLost('down')
        return messages.CopyStatus(address, self.copied[address], None)


@pytest.fixture
def manager_of(tmp_path):
    def make(host, store, pool):
        clock = clocks.ManualClock()
        replica = replicas.DiskReplica(tmp_path / host, clock)
        member = groups.Member(replica.state.disk_id, host, host)
        keeper = group_manager.GroupManager(
            member, 1, replica, store, pool, clock
        )
        return keeper, member, clock

    return make


def _round(keeper):
    curio.run(keeper._do_round)


def test_spare_takes_the_place_of_a_silent_member(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    keeper, member, clock = manager_of('spare', store, _Pool(a=0, c=0))
    _round(keeper)
    assert store.stored.group.epoch == 1
    clock.advance(group_manager.MEMBER_TIMEOUT * 1.1)
    _round(keeper)
    changed = store.stored.group
    assert changed.find('b') is None
    assert changed.find(member.disk_id).since == 2


def test_spare_that_hears_too_few_changes_nothing(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    keeper, _, clock = manager_of('spare', store, _Pool(a=0))
    for _ in range(3):
        _round(keeper)
        clock.advance(group_manager.MEMBER_TIMEOUT)
    assert store.stored.group.epoch == 1


def test_group_does_not_change_before_enough_copies_are_complete(manager_of):
    """Emptying a host resized the group; a new host comes right after."""
    resized = groups.Group.first(DISKS, 1).remove('a')
    store = _Store(resized)
    pool = _Pool(a=0, b=0, c=0)
    keeper, member, clock = manager_of('new', store, pool)
    _round(keeper)
    assert store.stored.group == resized
    pool.copied = {'b': 2, 'c': 2}
    clock.advance(group_manager.REFRESH_INTERVAL * 2)
    _round(keeper)
    assert store.stored.group.find(member.disk_id) is not None


def test_emptied_disk_replaces_the_one_it_was(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    keeper, member, _ = manager_of('b', store, _Pool(a=0, c=0))
    _round(keeper)
    changed = store.stored.group
    assert changed.find('b') is None
    assert changed.find(member.disk_id) is not None


def test_host_that_was_emptied_does_not_come_back(manager_of):
    store = _Store(groups.Group.first(DISKS, 1).remove('a'))
    store.asked_to_empty = {'spare': True}
    keeper, _, _ = manager_of('spare', store, _Pool(b=2, c=2))
    _round(keeper)
    assert store.stored.group.epoch == 2


def test_store_outage_changes_nothing(manager_of):
    store = _Store(groups.Group.first(DISKS, 1))
    keeper, _, _ = manager_of('spare', store, _Pool())

    async def outage(allow_stale=False):
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE, 'outage'
        )

    store.read = outage
    with pytest.raises(errors.MagnoliawoodError):
        _round(keeper)
