"""Quorums intersect, also after changes of the group and disk failures."""

import itertools

import pytest

from magnoliawood.core import errors
from magnoliawood.replication import group as groups


def _disks(count):
    return [
        groups.Member(f'd{number}', f'host-{number}', '')
        for number in range(count)
    ]


@pytest.mark.parametrize('losses', [0, 1, 2, 3])
def test_each_write_quorum_intersects_each_read_quorum(losses):
    for size in range(losses + 1, 2 * losses + 2):
        group = groups.Group(1, losses, tuple(_disks(size)))
        names = [member.disk_id for member in group.members]
        for written in itertools.combinations(names, group.write_quorum):
            for read in itertools.combinations(names, group.read_quorum):
                assert set(written) & set(read)


@pytest.mark.parametrize('losses', [0, 1, 2, 3])
def test_sources_intersect_each_write_quorum_of_the_previous_group(losses):
    previous = groups.Group.first(_disks(2 * losses + 1), losses)
    lost = previous.members[0].disk_id
    changed = previous.replace(lost, groups.Member('new', 'new', ''))
    remaining = [m.disk_id for m in previous.members if m.disk_id != lost]
    for written in itertools.combinations(remaining + [lost], losses + 1):
        for read in itertools.combinations(remaining, changed.sources_needed):
            assert set(written) & set(read) or losses == 0


def test_resized_group_requires_complete_replicas_again():
    group = groups.Group.first(_disks(3), 1)
    smaller = group.remove('d0')
    assert [member.since for member in smaller.members] == [2, 2]
    assert (smaller.write_quorum, smaller.read_quorum) == (2, 1)
    larger = smaller.add(groups.Member('d9', 'host-9', ''))
    assert [member.since for member in larger.members] == [3, 3, 3]


def test_group_never_shrinks_below_its_write_quorum():
    group = groups.Group.first(_disks(2), 1)
    with pytest.raises(errors.MagnoliawoodError):
        group.remove('d0')


def test_small_group_survives_the_loss_of_a_disk():
    """Evacuating a host leaves two disks, one of which then fails."""
    group = groups.Group.first(_disks(3), 1).remove('d0')
    changed = group.replace('d1', groups.Member('new', 'new', ''))
    remaining = [m for m in changed.sources if m.disk_id != 'd1']
    assert len(remaining) >= changed.sources_needed
