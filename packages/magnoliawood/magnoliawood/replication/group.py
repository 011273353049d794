"""The replica group: the disks that each store a replica of all records.

Explanation
===========

A record is written to ``write_quorum`` disks and read from ``read_quorum``
disks. A write quorum and a read quorum always share at least one disk, also
after as many disks have failed as the group tolerates. The group is one
object in the platform's store and changes only by conditional writes; each
change has a higher epoch.

A disk that joins serves requests only after it has copied the records of
``sources_needed`` disks of the previous group. Each of these is sealed first:
it rejects every request with an older epoch from then on. The previous group
can then neither acknowledge a write that the new group misses nor serve a
read that misses a write of the new group.
"""

import dataclasses

from magnoliawood.core import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A disk of the group.

    :param disk_id: identity of the disk's content; a disk that was wiped
        gets a new one
    :param host: name of the host that contains the disk
    :param address: IP address and port of its keeper, the process that
        serves the disk
    :param since: the disk serves requests only if its replica was completed
        in this epoch or a later one
    """

    disk_id: str
    host: str
    address: str
    since: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The replica group of one epoch.

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
    :param losses: number of disks that may fail at once
    :param members: disks that store replicas
    :param sources: disks from which joining disks copy
    :param sources_needed: number of sources that a joining disk must copy
    """

    epoch: int
    losses: int
    members: tuple[Member, ...]
    sources: tuple[Member, ...] = ()
    sources_needed: int = 0

    @staticmethod
    def full_size(losses: int) -> int:
        """Return the number of disks that a group has if enough exist."""
        return 2 * losses + 1

    @classmethod
    def first(cls, candidates: list[Member], losses: int) -> 'Group':
        """Return the initial group of a new deployment."""
        return cls(1, losses, tuple(candidates[: cls.full_size(losses)]))

    @property
    def write_quorum(self) -> int:
        """Number of disks that must store a record to acknowledge it."""
        return self.losses + 1

    @property
    def read_quorum(self) -> int:
        """Number of disks that must reply to conclude a record is absent."""
        return max(1, len(self.members) - self.losses)

    @property
    def meeting_quorum(self) -> int:
        """Number of disks of which any two sets have a disk in common.

        A record that so many disks have confirmed is also acknowledged.
        """
        return max(self.write_quorum, self.read_quorum)

    @property
    def can_shrink(self) -> bool:
        """Whether a write quorum remains if one disk is removed."""
        return len(self.members) > self.write_quorum

    @property
    def is_full(self) -> bool:
        """Whether the group has its full size, so it needs no more disks."""
        return len(self.members) >= self.full_size(self.losses)

    def find(self, disk_id: str) -> Member | None:
        """Return the member with the given disk, if any."""
        return next(
            (member for member in self.members if member.disk_id == disk_id),
            None,
        )

    def find_host(self, host: str) -> Member | None:
        """Return the member on a host, if any."""
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
            # A read quorum intersects each write quorum. The replaced disk
            # counts for neither, so the other disks need not wait for it.
            sources_needed=self.read_quorum,
        )

    def remove(self, disk_id: str) -> 'Group':
        """Return the group without a disk.

        :raises MagnoliawoodError: if too few disks would remain
        """
        if not self.can_shrink:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                f'cannot remove a disk: {len(self.members)} disks are the '
                f'minimum to tolerate {self.losses} disk failures',
            )
        return self._resized(self._without(disk_id))

    def add(self, joining: Member) -> 'Group':
        """Return the group with one more disk."""
        return self._resized((*self.members, joining))

    def _resized(self, members: tuple[Member, ...]) -> 'Group':
        # The size determines the quorums, so each replica has to be completed
        # again.
        epoch = self.epoch + 1
        return dataclasses.replace(
            self,
            epoch=epoch,
            members=tuple(
                dataclasses.replace(member, since=epoch) for member in members
            ),
            sources=self.members,
            # They have a disk in common with every quorum.
            sources_needed=self.meeting_quorum,
        )

    def _without(self, disk_id: str) -> tuple[Member, ...]:
        return tuple(
            member for member in self.members if member.disk_id != disk_id
        )
