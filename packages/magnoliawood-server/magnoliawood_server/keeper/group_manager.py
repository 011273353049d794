"""Membership of this host in the replica group.

The disk joins the group, replaces failed members, copies records and leaves
the group when the host is evacuated.
"""

import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood_server.keeper import copier as copiers
from magnoliawood_server.keeper import messages
from magnoliawood_server.keeper import replica as replicas
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import group_store as group_stores
from magnoliawood_server.platform import objects

ROUND_INTERVAL = datetime.timedelta(milliseconds=300)
# Age after which a group that was read from the store is read again, even
# if nothing indicates a change.
REFRESH_INTERVAL = datetime.timedelta(seconds=1)
# Delay before a failed copy of records is tried again.
COPY_RETRY_INTERVAL = datetime.timedelta(milliseconds=600)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=400)
# Time without a response after which a standby disk replaces a member.
MEMBER_TIMEOUT = datetime.timedelta(seconds=2)
# Time that a leaving member gives a standby disk to replace it, before it
# leaves without a replacement.
REPLACEMENT_WAIT = datetime.timedelta(seconds=2.5)
# Time to wait for enough disks for a first group of full size; after that
# the smallest possible group is created.
FIRST_GROUP_WAIT = datetime.timedelta(seconds=3)

_log = logging.getLogger(__name__)


class GroupManager:
    """Manages the membership of this host's disk in the replica group.

    :param member: disk of this host
    :param losses: number of disks that may fail at once
    """

    def __init__(
        self,
        member: groups.Member,
        losses: int,
        replica: replicas.DiskReplica,
        store: group_stores.GroupStore,
        pool: pools.PeerPool,
        clock: clocks.Clock,
    ) -> None:
        self._member = member
        self._losses = losses
        self._replica = replica
        self._store = store
        self._pool = pool
        self._clock = clock
        self._copier = copiers.Copier(replica, pool)
        self._started_at = clock.monotonic()
        self._is_registered = False
        self._next_copy_at = datetime.timedelta()
        self._refreshed_at: datetime.timedelta | None = None
        self._stored: group_stores.StoredGroup | None = None
        self._evacuations: dict[str, bool] = {}
        self._evacuation_started_at: datetime.timedelta | None = None
        self._last_response_at: dict[str, datetime.timedelta] = {}
        self._is_store_lost = False

    async def run(self) -> None:
        """Run membership rounds until cancelled."""
        while True:
            try:
                await self._run_round()
                self._update_store_state(is_lost=False)
            except objects.StoreUnavailable as error:
                self._update_store_state(is_lost=True, reason=str(error))
                self._refreshed_at = None
            except objects.RevisionConflict:
                _log.info(
                    'replica group was changed by another host; '
                    'reading it again'
                )
                self._refreshed_at = None
            except (errors.MagnoliawoodError, OSError, ValueError) as error:
                _log.warning(
                    'replica group round failed', extra={'error': str(error)}
                )
            await curio.sleep(ROUND_INTERVAL.total_seconds())

    def _update_store_state(self, is_lost: bool, reason: str = '') -> None:
        if is_lost != self._is_store_lost:
            self._is_store_lost = is_lost
            change = 'lost' if is_lost else 'regained'
            _log.warning(f'store {change}', extra={'reason': reason})

    async def _run_round(self) -> None:
        # Copying needs no store, so it continues during a store outage.
        await self._complete_replica()
        if not self._is_registered:
            await self._store.register_disk(self._member)
            self._is_registered = True
        if self._is_refresh_due():
            await self._refresh()
        if self._stored is None:
            await self._create_group()
            return
        await self._complete_replica()
        if self._member.host in self._evacuations:
            await self._evacuate(self._stored)
        elif self._stored.group.find(self._member.disk_id) is None:
            await self._join(self._stored)

    def _is_refresh_due(self) -> bool:
        if self._refreshed_at is None or self._stored is None:
            return True
        known = self._replica.group
        is_behind = known and known.epoch > self._stored.group.epoch
        age = self._clock.monotonic() - self._refreshed_at
        return bool(is_behind) or age > REFRESH_INTERVAL

    async def _refresh(self) -> None:
        # A change of the group needs a fresh read, since the store rejects
        # a write that is based on an old revision.
        is_fresh = self._refreshed_at is None
        candidate = await self._store.read(allow_stale=not is_fresh)
        if is_fresh or _is_newer(candidate, self._stored):
            self._stored = candidate
        if self._stored is not None:
            self._replica.update_group(self._stored.group)
        self._evacuations = await self._store.evacuations()
        self._refreshed_at = self._clock.monotonic()

    async def _create_group(self) -> None:
        disks = await self._store.disks()
        waited = self._clock.monotonic() - self._started_at
        required_size = groups.Group.full_size(self._losses)
        if waited > FIRST_GROUP_WAIT:
            required_size = self._losses + 1
        if len(disks) >= required_size:
            group = groups.Group.first(disks, self._losses)
            await self._store.create(group)
        self._refreshed_at = None

    async def _complete_replica(self) -> None:
        group = self._replica.group
        if group is None or self._replica.is_complete:
            return
        now = self._clock.monotonic()
        if (
            group.find(self._member.disk_id) is None
            or now < self._next_copy_at
        ):
            return
        if not await self._copier.complete(group):
            self._next_copy_at = now + COPY_RETRY_INTERVAL

    async def _join(self, stored: group_stores.StoredGroup) -> None:
        changed = await self._group_with_this_disk(stored.group)
        if changed is None:
            return
        if await self._has_sources(stored.group, changed):
            await self._change(stored, changed)
            _log.info('replica group joined', extra={'epoch': changed.epoch})

    async def _has_sources(
        self, group: groups.Group, changed: groups.Group
    ) -> bool:
        """Whether enough replicas are complete to be sources of a change.

        Explanation
        ===========

        If the group changed earlier, the new replicas would have to copy
        from replicas that can never be completed themselves.
        """
        statuses = await self._request_statuses(group)
        complete = sum(
            status is not None and status.is_complete_replica_of(member)
            for member, status in zip(group.members, statuses, strict=True)
        )
        if complete < changed.sources_needed:
            _log.info(
                'replica group not changed: too few complete replicas',
                extra={
                    'epoch': group.epoch,
                    'complete': complete,
                    'needed': changed.sources_needed,
                },
            )
        return complete >= changed.sources_needed

    async def _change(
        self, stored: group_stores.StoredGroup, changed: groups.Group
    ) -> None:
        """Store a group and send it to its members and sources.

        :raises RevisionConflict: if another host changed the group first
        """
        await self._store.change(stored, changed)
        self._refreshed_at = None
        await self._refresh()
        recipients = {
            member.address: member
            for member in (*changed.sources, *changed.members)
        }
        async with curio.TaskGroup() as tasks:
            for member in recipients.values():
                await tasks.spawn(
                    self._request, member, messages.TakeGroup(changed)
                )

    async def _group_with_this_disk(
        self, group: groups.Group
    ) -> groups.Group | None:
        """Return the group with this disk added, if the group needs it."""
        previous = group.find_host(self._member.host)
        if previous is not None:
            # The previous disk of this host no longer exists.
            return group.replace(previous.disk_id, self._member)
        leaving = [
            member
            for member in group.members
            if self._evacuations.get(member.host) is False
        ]
        if leaving:
            return group.replace(leaving[0].disk_id, self._member)
        unresponsive = await self._unresponsive_members(group)
        if unresponsive:
            return group.replace(unresponsive[0].disk_id, self._member)
        return None if group.is_full else group.add(self._member)

    async def _unresponsive_members(
        self, group: groups.Group
    ) -> list[groups.Member]:
        """Return members without a response for ``MEMBER_TIMEOUT``.

        Explanation
        ===========

        If fewer members than a read quorum respond, this host is probably
        partitioned from the others itself, so none is returned.
        """
        statuses = await self._request_statuses(group)
        now = self._clock.monotonic()
        for member, status in zip(group.members, statuses, strict=True):
            if status is not None and status.disk_id == member.disk_id:
                self._last_response_at[member.disk_id] = now
            self._last_response_at.setdefault(member.disk_id, now)
        responsive = [
            member
            for member in group.members
            if self._last_response_at[member.disk_id] == now
        ]
        if len(responsive) < group.read_quorum:
            return []
        return [
            member
            for member in group.members
            if now - self._last_response_at[member.disk_id] > MEMBER_TIMEOUT
        ]

    async def _request_statuses(
        self, group: groups.Group
    ) -> list[messages.CopyStatus | None]:
        async with curio.TaskGroup() as tasks:
            started = [
                await tasks.spawn(
                    self._request, member, messages.GetCopyStatus()
                )
                for member in group.members
            ]
        return [task.result for task in started]

    async def _request(
        self,
        member: groups.Member,
        message: messages.GetCopyStatus | messages.TakeGroup,
    ) -> messages.CopyStatus | None:
        try:
            return await self._pool.request_with_retry(
                member.address, message, PROBE_TIMEOUT
            )
        except errors.MagnoliawoodError:
            return None

    async def _evacuate(self, stored: group_stores.StoredGroup) -> None:
        """Do the next step of the evacuation of this host."""
        if self._evacuations[self._member.host]:
            return
        now = self._clock.monotonic()
        if self._evacuation_started_at is None:
            self._evacuation_started_at = now
            await self._store.report_evacuation(
                self._member.host, is_done=False
            )
            _log.info('host evacuation started')
        if stored.group.find(self._member.disk_id) is not None:
            if now - self._evacuation_started_at > REPLACEMENT_WAIT:
                await self._leave_group(stored)
            return
        if await self._is_complete_elsewhere(stored.group):
            await self._store.report_evacuation(
                self._member.host, is_done=True
            )
            self._evacuations[self._member.host] = True
            _log.info(
                'host evacuation complete', extra={'epoch': stored.group.epoch}
            )

    async def _leave_group(self, stored: group_stores.StoredGroup) -> None:
        if not stored.group.can_shrink:
            return
        changed = stored.group.remove(self._member.disk_id)
        if await self._has_sources(stored.group, changed):
            await self._change(stored, changed)
            _log.info('replica group left', extra={'epoch': changed.epoch})

    async def _is_complete_elsewhere(self, group: groups.Group) -> bool:
        statuses = await self._request_statuses(group)
        return all(
            status is not None and status.is_complete_replica_of(member)
            for member, status in zip(group.members, statuses, strict=True)
        )


def _is_newer(
    candidate: group_stores.StoredGroup | None,
    current: group_stores.StoredGroup | None,
) -> bool:
    if candidate is None or current is None:
        return current is None
    return candidate.revision > current.revision
