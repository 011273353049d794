"""The group of disks that hold copies of all records.

Explanation
===========

A record is written to ``write_quorum`` disks and looked for on
``read_quorum`` disks; the two always meet in one disk, also after as many
losses as are tolerated. The group is one object in the platform's store and
changes by conditional writes only; each change has a higher epoch.

A disk that joins takes part only after it has copied the records of
``sources_needed`` disks of the group before, each of which has refused all
older epochs first. A former group can then neither acknowledge a write that
the new one misses nor answer a read without what the new one has written.
"""

import dataclasses

from magnoliawood.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A disk of the group.

    :param disk_id: identity of the disk's content; an emptied disk has a
        new one
    :param host: name of the host that it is in
    :param address: IP number and port of its keeper
    :param since: epoch from which its copy has to be complete
    """

    disk_id: str
    host: str
    address: str
    since: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The disks of one epoch.

    Examples
    ========

    >>> disks = [Member(name, name, '') for name in 'abc']
    >>> group = Group.first(disks, losses=1)
    >>> group.write_quorum, group.read_quorum
    (2, 2)
    >>> changed = group.replace('b', Member('d', 'd', ''))
    >>> [(member.disk_id, member.since) for member in changed.members]
    [('a', 0), ('c', 0), ('d', 2)]
    >>> changed.sources_needed
    2

    :param epoch: number of this version of the group
    :param losses: disks that may be lost at once
    :param members: disks that hold copies
    :param sources: disks that joining ones copy from
    :param sources_needed: how many of those each has to copy from
    """

    epoch: int
    losses: int
    members: tuple[Member, ...]
    sources: tuple[Member, ...] = ()
    sources_needed: int = 0

    @staticmethod
    def full_size(losses: int) -> int:
        """Return how many disks a group has if there are enough."""
        return 2 * losses + 1

    @classmethod
    def first(cls, candidates: list[Member], losses: int) -> 'Group':
        """Return the group of a new deployment."""
        return cls(1, losses, tuple(candidates[: cls.full_size(losses)]))

    @property
    def write_quorum(self) -> int:
        """Disks that have to hold a record before it counts."""
        return self.losses + 1

    @property
    def read_quorum(self) -> int:
        """Disks that have to answer before a record counts as absent."""
        return max(1, len(self.members) - self.losses)

    @property
    def can_shrink(self) -> bool:
        """Whether enough disks remain without one of them."""
        return len(self.members) > self.write_quorum

    @property
    def is_full(self) -> bool:
        """Whether another disk would add nothing."""
        return len(self.members) >= self.full_size(self.losses)

    def find(self, disk_id: str) -> Member | None:
        """Return the member with a disk."""
        return next(
            (member for member in self.members if member.disk_id == disk_id),
            None,
        )

    def find_host(self, host: str) -> Member | None:
        """Return the member on a host."""
        return next(
            (member for member in self.members if member.host == host),
            None,
        )

    def replace(self, disk_id: str, joining: Member) -> 'Group':
        """Return the group with one disk in place of another."""
        epoch = self.epoch + 1
        others = self._without(disk_id)
        return dataclasses.replace(
            self,
            epoch=epoch,
            members=(*others, dataclasses.replace(joining, since=epoch)),
            sources=self.members,
            # These meet each write quorum; the replaced disk is left out of
            # both, so the others need not wait for it.
            sources_needed=self.read_quorum,
        )

    def remove(self, disk_id: str) -> 'Group':
        """Return the group without a disk.

        :raises MagnoliawoodError: if too few disks would remain
        """
        if not self.can_shrink:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f'{len(self.members)} disks are the fewest for '
                f'{self.losses} losses',
            )
        return self._resized(self._without(disk_id))

    def add(self, joining: Member) -> 'Group':
        """Return the group with one more disk."""
        return self._resized((*self.members, joining))

    def _resized(self, members: tuple[Member, ...]) -> 'Group':
        # Another size changes the quorums, so each copy has to be complete
        # once more.
        epoch = self.epoch + 1
        return dataclasses.replace(
            self,
            epoch=epoch,
            members=tuple(
                dataclasses.replace(member, since=epoch) for member in members
            ),
            sources=self.members,
            sources_needed=self._seals(),
        )

    def _without(self, disk_id: str) -> tuple[Member, ...]:
        return tuple(
            member for member in self.members if member.disk_id != disk_id
        )

    def _seals(self) -> int:
        """Return how many disks meet each quorum of this group."""
        return max(self.write_quorum, self.read_quorum)
