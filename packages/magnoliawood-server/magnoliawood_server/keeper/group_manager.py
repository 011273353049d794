"""Keeps the group of copies whole: joins, replaces, copies, leaves."""

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
# How often the store is read while nothing seems to change.
REFRESH_INTERVAL = datetime.timedelta(seconds=1)
# A copy that could not be completed is tried again after this.
COPY_PAUSE = datetime.timedelta(milliseconds=600)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=400)
# Silence of a member after which a spare disk takes its place.
MEMBER_TIMEOUT = datetime.timedelta(seconds=2)
# How long a leaving member waits for a spare disk to take its place.
LEAVE_NOTICE = datetime.timedelta(seconds=2.5)
# How long the first group waits for its full size.
FIRST_GROUP_WAIT = datetime.timedelta(seconds=3)

_log = logging.getLogger(__name__)


class GroupManager:
    """Does this host's part in keeping the group.

    :param member: this host's disk
    :param losses: disks that may be lost at once
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
        self._started = clock.monotonic()
        self._is_registered = False
        self._next_copy = datetime.timedelta()
        self._refreshed: datetime.timedelta | None = None
        self._stored: group_stores.StoredGroup | None = None
        self._evacuations: dict[str, bool] = {}
        self._evacuation_noted: datetime.timedelta | None = None
        self._last_heard: dict[str, datetime.timedelta] = {}
        self._is_store_lost = False

    async def run(self) -> None:
        """Keep the group for ever."""
        while True:
            try:
                await self._do_round()
                self._note_store(is_lost=False)
            except objects.StoreUnavailable as error:
                self._note_store(is_lost=True, reason=str(error))
                self._refreshed = None
            except objects.RevisionConflict:
                _log.info('another host changed the group first')
                self._refreshed = None
            except (errors.MagnoliawoodError, OSError, ValueError) as error:
                _log.warning('group round failed', extra={'error': str(error)})
            await curio.sleep(ROUND_INTERVAL.total_seconds())

    def _note_store(self, is_lost: bool, reason: str = '') -> None:
        if is_lost != self._is_store_lost:
            self._is_store_lost = is_lost
            change = 'lost' if is_lost else 'regained'
            _log.warning(f'store {change}', extra={'reason': reason})

    async def _do_round(self) -> None:
        # A copy is completed also while the store is away.
        await self._complete_copy()
        if not self._is_registered:
            await self._store.register_disk(self._member)
            self._is_registered = True
        if self._is_refresh_due():
            await self._refresh()
        if self._stored is None:
            await self._create_group()
            return
        await self._complete_copy()
        if self._member.host in self._evacuations:
            await self._leave(self._stored)
        elif self._stored.group.find(self._member.disk_id) is None:
            await self._join(self._stored)

    def _is_refresh_due(self) -> bool:
        if self._refreshed is None or self._stored is None:
            return True
        known = self._replica.group
        is_behind = known and known.epoch > self._stored.group.epoch
        age = self._clock.monotonic() - self._refreshed
        return bool(is_behind) or age > REFRESH_INTERVAL

    async def _refresh(self) -> None:
        # A change rests on a fresh read: it is refused at an old revision.
        is_fresh = self._refreshed is None
        found = await self._store.read(allow_stale=not is_fresh)
        if is_fresh or _is_newer(found, self._stored):
            self._stored = found
        if self._stored is not None:
            self._replica.update_group(self._stored.group)
        self._evacuations = await self._store.evacuations()
        self._refreshed = self._clock.monotonic()

    async def _create_group(self) -> None:
        disks = await self._store.disks()
        waited = self._clock.monotonic() - self._started
        wanted = groups.Group.full_size(self._losses)
        if waited > FIRST_GROUP_WAIT:
            wanted = self._losses + 1
        if len(disks) >= wanted:
            group = groups.Group.first(disks, self._losses)
            await self._store.create(group)
        self._refreshed = None

    async def _complete_copy(self) -> None:
        group = self._replica.group
        if group is None or self._replica.is_complete:
            return
        now = self._clock.monotonic()
        if group.find(self._member.disk_id) is None or now < self._next_copy:
            return
        if not await self._copier.complete(group):
            self._next_copy = now + COPY_PAUSE

    async def _join(self, stored: group_stores.StoredGroup) -> None:
        changed = await self._joined(stored.group)
        if changed is None:
            return
        if await self._has_sources(stored.group, changed):
            await self._change(stored, changed)
            _log.info('joins the group', extra={'epoch': changed.epoch})

    async def _has_sources(
        self, group: groups.Group, changed: groups.Group
    ) -> bool:
        """Whether enough copies are complete to make the changed group's.

        Explanation
        ===========

        A change before that would leave copies to be completed from copies
        that never are.
        """
        statuses = await self._ask_all(group)
        complete = sum(
            status is not None and status.is_complete_replica_of(member)
            for member, status in zip(group.members, statuses, strict=True)
        )
        if complete < changed.sources_needed:
            _log.info(
                'group not changed yet',
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
        """Store a group and tell those that it concerns.

        :raises RevisionConflict: if another host was first
        """
        await self._store.change(stored, changed)
        self._refreshed = None
        await self._refresh()
        told = {
            member.address: member
            for member in (*changed.sources, *changed.members)
        }
        async with curio.TaskGroup() as tasks:
            for member in told.values():
                await tasks.spawn(
                    self._request, member, messages.TakeGroup(changed)
                )

    async def _joined(self, group: groups.Group) -> groups.Group | None:
        """Return the group with this disk, if it is needed there."""
        former = group.find_host(self._member.host)
        if former is not None:
            # This host's former disk is gone.
            return group.replace(former.disk_id, self._member)
        leaving = [
            member
            for member in group.members
            if self._evacuations.get(member.host) is False
        ]
        if leaving:
            return group.replace(leaving[0].disk_id, self._member)
        silent = await self._silent_members(group)
        if silent:
            return group.replace(silent[0].disk_id, self._member)
        return None if group.is_full else group.add(self._member)

    async def _silent_members(
        self, group: groups.Group
    ) -> list[groups.Member]:
        """Return members that have been silent for too long.

        Explanation
        ===========

        A host that hears too few of the others is cut off itself.
        """
        statuses = await self._ask_all(group)
        now = self._clock.monotonic()
        for member, status in zip(group.members, statuses, strict=True):
            if status is not None and status.disk_id == member.disk_id:
                self._last_heard[member.disk_id] = now
            self._last_heard.setdefault(member.disk_id, now)
        heard = [
            member
            for member in group.members
            if self._last_heard[member.disk_id] == now
        ]
        if len(heard) < group.read_quorum:
            return []
        return [
            member
            for member in group.members
            if now - self._last_heard[member.disk_id] > MEMBER_TIMEOUT
        ]

    async def _ask_all(
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

    async def _leave(self, stored: group_stores.StoredGroup) -> None:
        """Go on with emptying this host."""
        if self._evacuations[self._member.host]:
            return
        now = self._clock.monotonic()
        if self._evacuation_noted is None:
            self._evacuation_noted = now
            await self._store.report_evacuation(
                self._member.host, is_done=False
            )
            _log.info('host is to be emptied')
        if stored.group.find(self._member.disk_id) is not None:
            if now - self._evacuation_noted > LEAVE_NOTICE:
                await self._withdraw(stored)
            return
        if await self._is_complete_elsewhere(stored.group):
            await self._store.report_evacuation(
                self._member.host, is_done=True
            )
            self._evacuations[self._member.host] = True
            _log.info('host is empty', extra={'epoch': stored.group.epoch})

    async def _withdraw(self, stored: group_stores.StoredGroup) -> None:
        if not stored.group.can_shrink:
            return
        changed = stored.group.remove(self._member.disk_id)
        if await self._has_sources(stored.group, changed):
            await self._change(stored, changed)
            _log.info('leaves the group', extra={'epoch': changed.epoch})

    async def _is_complete_elsewhere(self, group: groups.Group) -> bool:
        statuses = await self._ask_all(group)
        return all(
            status is not None and status.is_complete_replica_of(member)
            for member, status in zip(group.members, statuses, strict=True)
        )


def _is_newer(
    found: group_stores.StoredGroup | None,
    known: group_stores.StoredGroup | None,
) -> bool:
    if found is None or known is None:
        return known is None
    return found.revision > known.revision
