"""Order in which replicas are queried."""

import collections.abc
import datetime
import hashlib
import itertools

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups

# How long a replica that was slow to reply is queried last.
SUSPICION_PERIOD = datetime.timedelta(seconds=1)


class ReplicaPreference:
    """Round-robin order of replicas, with those that were slow last.

    Examples
    ========

    >>> preference = ReplicaPreference(clocks.ManualClock())
    >>> members = [groups.Member(name, name, '') for name in 'abc']
    >>> [member.disk_id for member in preference.order(members)]
    ['a', 'b', 'c']
    >>> preference.mark_slow('b')
    >>> [member.disk_id for member in preference.order(members)]
    ['c', 'a', 'b']
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._rotation = itertools.count()
        self._suspected_until: dict[str, datetime.timedelta] = {}

    def mark_slow(self, disk_id: str) -> None:
        """Query a replica last during :data:`SUSPICION_PERIOD`."""
        now = self._clock.monotonic()
        self._suspected_until[disk_id] = now + SUSPICION_PERIOD

    def order(
        self, members: collections.abc.Sequence[groups.Member]
    ) -> list[groups.Member]:
        """Return the members in the order in which to query them."""
        if not members:
            return []
        start = next(self._rotation) % len(members)
        rotated = [*members[start:], *members[:start]]
        return sorted(rotated, key=self._is_suspected)

    def order_for(
        self, key: str, members: collections.abc.Sequence[groups.Member]
    ) -> list[groups.Member]:
        """Return the members in the order in which to query them for a key.

        Explanation
        ===========

        Everyone starts with the same members for a key, so what belongs
        together meets on the same disks; the keys spread over all disks.

        Examples
        ========

        >>> one, other = [
        ...     ReplicaPreference(clocks.ManualClock()) for _ in range(2)
        ... ]
        >>> members = [groups.Member(name, name, '') for name in 'abc']
        >>> order = one.order_for('program', members)
        >>> order == other.order_for('program', members[::-1])
        True
        >>> other.mark_slow(order[0].disk_id)
        >>> other.order_for('program', members) == [*order[1:], order[0]]
        True
        """

        def rank(member: groups.Member) -> tuple[bool, bytes]:
            point = hashlib.blake2b(
                f'{key}\n{member.disk_id}'.encode(), digest_size=8
            )
            return self._is_suspected(member), point.digest()

        return sorted(members, key=rank)

    def _is_suspected(self, member: groups.Member) -> bool:
        now = self._clock.monotonic()
        return self._suspected_until.get(member.disk_id, now) > now
