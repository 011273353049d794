"""Acquires, serves and releases shards."""

import collections.abc
import datetime
import logging

import curio
import pydantic

from magnoliawood import charts
from magnoliawood.core import errors
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.platform import store
from magnoliawood.programs import identity
from magnoliawood.programs import records
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import journal_compactor
from magnoliawood_server.entry import journal_writer
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import record_replicator
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.entry import takeover_reader
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

RECONCILE_INTERVAL = datetime.timedelta(milliseconds=200)
WATCH_WAIT = datetime.timedelta(seconds=2)
RETRY_AFTER = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)

AdoptedCallback = collections.abc.Callable[
    [list[int], takeover_reader.TakeoverState], collections.abc.Awaitable[None]
]


class ShardManager:
    """Acquires and releases shards according to the shard map.

    Explanation
    ===========

    The map changes only by conditional writes. A live owner hands a shard
    over itself, once all its records are durable in the journal. The shards
    of a dead owner are acquired by the entry that rendezvous hashing
    prefers, which first seals the logs of the dead owner, so that later
    writes to them fail. Both increase the epoch, and sidecars reject
    dispatched calls with a lower epoch.

    :param on_adopted: called with the shards that were loaded and the state
        that was collected for them
    """

    def __init__(
        self,
        entry: str,
        objects: store.ObjectStore,
        membership: memberships.Membership,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        programs: tables.ProgramTable,
        metrics: registries.Registry,
        on_adopted: AdoptedCallback,
        replicated: record_replicator.ReplicatedRecordService,
        compactor: journal_compactor.JournalCompactor,
    ) -> None:
        self._entry = entry
        self._objects = objects
        self._membership = membership
        self._sidecars = sidecars
        self._reader = takeover_reader.TakeoverReader(
            objects, membership, sidecars, pool, replicated
        )
        self._programs = programs
        self._metrics = metrics
        self._on_adopted = on_adopted
        self._map = shard_maps.ShardMap.empty()
        self._chart = charts.load_chart('shard')
        self._compactor = compactor
        self._sealed: set[str] = set()
        self._unreconciled: dict[int, set[str]] = {}
        self._fenced: dict[str, str] = {}
        self._states = [self._chart.initial] * identity.SHARD_COUNT
        self._writer: journal_writer.JournalWriter | None = None

    @property
    def map(self) -> shard_maps.ShardMap:
        """Newest shard map that this entry has read or received."""
        return self._map

    def set_writer(self, writer: journal_writer.JournalWriter) -> None:
        """Replace the journal writer, also in the compactor."""
        self._writer = writer
        self._compactor.set_writer(writer)

    def serves(self, shard: int) -> bool:
        """Whether this entry accepts new calls of a shard."""
        return self._states[shard] == 'serving'

    def is_releasing(self, shard: int) -> bool:
        """Whether a shard is being handed over to another entry."""
        return self._states[shard] == 'releasing'

    def unreconciled_sidecars(self, shard: int) -> set[str]:
        """Return the sidecars that may have unrecorded calls of a shard.

        These did not respond to the fence, and an entry that may have
        replicated intents of the previous owner did not respond either.
        """
        return self._unreconciled.get(shard, set())

    def epoch(self, shard: int) -> int:
        """Return the epoch of a shard, used as its fencing token."""
        return self._map.assignments[shard].epoch

    def owner(self, shard: int) -> str:
        """Return the owner of a shard, empty if there is none."""
        return self._map.assignments[shard].owner

    async def drop_all_shards(self) -> None:
        """Drop every shard, after this entry's journal was sealed."""
        for shard in range(identity.SHARD_COUNT):
            self._drop(shard)

    async def follow_map_forever(self) -> None:
        """Watch the shard map in the store and read each new version."""
        while True:
            try:
                newest = await self._objects.watch(
                    shard_maps.MAP_NAME, self._map.version, WATCH_WAIT
                )
                if newest > self._map.version:
                    await self.refresh_map()
            except errors.MagnoliawoodError:
                await curio.sleep(RECONCILE_INTERVAL.total_seconds())

    async def refresh_map(self) -> None:
        """Read the shard map from the store."""
        stored_map = await self._objects.get(shard_maps.MAP_NAME)
        if stored_map is not None:
            self.apply_map_text(stored_map.version, stored_map.value)

    def apply_map_text(self, version: int, text: str) -> None:
        """Apply the stored form of a map if it is newer.

        :raises pydantic.ValidationError: if it is malformed
        """
        if version > self._map.version:
            self._apply_map(shard_maps.ShardMap.from_text(version, text))

    async def reconcile_forever(self) -> None:
        """Acquire and release shards periodically as membership changes."""
        while True:
            try:
                await self._reconcile()
            except errors.MagnoliawoodError as error:
                _log.debug(
                    'reconciling shards failed', extra={'error': str(error)}
                )
            except pydantic.ValidationError as error:
                _log.error('shard map malformed', extra={'error': str(error)})
            await curio.sleep(RECONCILE_INTERVAL.total_seconds())

    async def release_all(self) -> None:
        """Wait until all shards are handed over before a planned stop.

        Returns early if no entry is eligible to own them.
        """
        while any(state != 'foreign' for state in self._states):
            if not self._membership.eligible_entries():
                return
            await curio.sleep(RECONCILE_INTERVAL.total_seconds())

    async def _reconcile(self) -> None:
        if not self._membership.is_ready or self._writer is None:
            return
        if self._writer.is_sealed:
            return
        entries = self._membership.eligible_entries()
        await self._release_reassigned(entries)
        await self._claim(entries)
        await self._adopt_assigned()
        await self._fence_again()
        await self._compactor.step(
            self._map,
            self._serving(),
            self._write_map,
            self._journal_snapshots,
        )

    def _serving(self) -> list[int]:
        return [s for s in range(identity.SHARD_COUNT) if self.serves(s)]

    async def _release_reassigned(self, entries: list[str]) -> None:
        owners = shard_maps.preferred_owners(entries)
        reassigned = [
            shard
            for shard, state in enumerate(self._states)
            if state == 'serving' and owners[shard] not in ('', self._entry)
        ]
        if not reassigned:
            return
        for shard in reassigned:
            self._advance(shard, 'release')
        try:
            await self._hand_over(reassigned, entries)
        except errors.MagnoliawoodError:
            for shard in reassigned:
                if self._states[shard] == 'releasing':
                    self._advance(shard, 'keep')
            raise

    async def _hand_over(self, shards: list[int], entries: list[str]) -> None:
        position = self._writer.last_position()
        if not await self._writer.wait_durable(position):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                'journal not durable; shards not handed over',
            )
        changed = self._map
        owners = shard_maps.preferred_owners(entries)
        for shard in shards:
            changed = changed.assign([shard], owners[shard], '')
        await self._write_map(changed)
        _log.info('shards handed over', extra={'shards': len(shards)})

    async def _claim(self, entries: list[str]) -> None:
        owners = shard_maps.preferred_owners(entries)
        claimable = [
            shard
            for shard, assignment in enumerate(self._map.assignments)
            if owners[shard] == self._entry
            and not self._membership.is_alive(assignment.owner)
        ]
        if claimable:
            await self._acquire(claimable)

    async def _adopt_assigned(self) -> None:
        unloaded = [
            shard
            for shard in self._map.owned_by(self._entry)
            if self._states[shard] == 'foreign'
        ]
        without_log = [
            shard
            for shard in unloaded
            if self._writer.log not in self._map.assignments[shard].logs
        ]
        if without_log:
            await self._acquire(without_log)
            return
        if unloaded:
            await self._load(unloaded)

    async def _acquire(self, shards: list[int]) -> None:
        """Seal the logs of dead owners, then assign and load the shards."""
        logs = {
            log
            for shard in shards
            for log in self._map.assignments[shard].logs
            if self._is_log_of_dead_entry(log)
        }
        for log in sorted(logs):
            await journal_writer.seal_log(self._objects, log)
            self._sealed.add(log)
        await self._write_map(
            self._map.assign(shards, self._entry, self._writer.log)
        )
        self._metrics.count('shards_taken_total', len(shards))
        await self._load(shards)

    def _is_log_of_dead_entry(self, log: str) -> bool:
        owner, _, _ = log.rpartition('~')
        if owner == self._entry:
            return log not in (
                self._writer.log,
                self._compactor.next_log_name,
            )
        return not self._membership.is_alive(owner)

    async def _write_map(self, changed: shard_maps.ShardMap) -> None:
        try:
            written = await self._objects.put(
                shard_maps.MAP_NAME, changed.to_text(), self._map.version
            )
        except store.VersionConflict:
            await self.refresh_map()
            raise
        self._apply_map(
            shard_maps.ShardMap.from_text(written.version, written.value)
        )

    async def _load(self, shards: list[int]) -> None:
        """Collect the records of shards and start serving them."""
        for shard in shards:
            self._advance(shard, 'acquire')
        logs = self._logs(shards)
        sealed = [log for log in logs if log in self._sealed]
        try:
            await self._check_own_log()
            state = await self._reader.collect(
                logs, sealed, self._epochs(shards)
            )
        except errors.MagnoliawoodError:
            for shard in shards:
                self._drop(shard)
            raise
        for record in state.all_records():
            self._programs.apply(record)
        await self._end_damaged(shards)
        await self._journal_snapshots(shards)
        self._compactor.record_snapshots(shards)
        loaded = [s for s in shards if self._states[s] == 'loading']
        for shard in loaded:
            self._advance(shard, 'load')
            if state.unresponsive_entries - _owners_of(sealed):
                self._unreconciled[shard] = set(state.unresponsive_sidecars)
        for name in state.unresponsive_sidecars:
            self._fenced.pop(name, None)
        _log.info(
            'shards acquired',
            extra={
                'shards': len(loaded),
                'silent': sorted(state.unresponsive_sidecars),
                'unheard': sorted(state.unresponsive_entries),
            },
        )
        await self._on_adopted(loaded, state)
        if sealed:
            await curio.spawn(
                self._release_replicated, sealed, loaded, daemon=True
            )

    def _logs(self, shards: list[int]) -> list[str]:
        """Return all logs of shards, including earlier logs of this entry."""
        names = dict.fromkeys(
            log
            for shard in shards
            for log in self._map.assignments[shard].logs
        )
        return list(names)

    async def _check_own_log(self) -> None:
        """Check that no other entry has sealed the log of this entry.

        :raises MagnoliawoodError: with ``not_owner`` if it was sealed
        """
        log = self._writer.log
        if await journal_writer.is_sealed(self._objects, log):
            await self._writer.handle_seal()
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_OWNER, f'log {log} was sealed'
            )

    def _epochs(self, shards: list[int]) -> list[messages.ShardEpoch]:
        return [
            messages.ShardEpoch(shard, self.epoch(shard)) for shard in shards
        ]

    async def _release_replicated(
        self, sealed: list[str], shards: list[int]
    ) -> None:
        """Drop replicated records once the snapshots are stored."""
        writer = self._writer
        position = writer.last_position()
        while not await writer.wait_durable(position):
            if writer.is_sealed:
                return
            await curio.sleep(RECONCILE_INTERVAL.total_seconds())
        await self._reader.release(sealed, shards)

    async def _fence_again(self) -> None:
        """Fence sidecars that were unresponsive or have restarted.

        Explanation
        ===========

        A sidecar that has just started knows no epochs. It accepts only
        calls dispatched to its current incarnation, and no intent of a
        previous owner for such a call remains valid once the log of that
        owner is sealed. Fencing makes the sidecar reject all other calls.
        """
        serving = self._serving()
        for sidecar in self._sidecars.all():
            reply = sidecar.reply
            if not (serving and sidecar.is_reachable and reply is not None):
                continue
            if self._fenced.get(sidecar.name) == reply.incarnation:
                continue
            state = takeover_reader.TakeoverState()
            await self._reader.fence(sidecar, self._epochs(serving), state)
            state.check_epochs()
            if sidecar.name not in state.unresponsive_sidecars:
                self._fenced[sidecar.name] = reply.incarnation
                await self._apply_late_witnesses(sidecar.name, state)

    async def _apply_late_witnesses(
        self, name: str, state: takeover_reader.TakeoverState
    ) -> None:
        """Apply the witness records of a sidecar that was unresponsive."""
        late_shards = [
            s
            for s, unresponsive_sidecars in self._unreconciled.items()
            if name in unresponsive_sidecars
        ]
        state.witnessed = [
            record
            for record in state.witnessed
            if record.call.program.shard in late_shards
        ]
        late_records = state.all_records()
        for record in late_records:
            self._programs.apply(record)
        await self._writer.append_all(late_records)
        for shard in late_shards:
            self._unreconciled[shard].discard(name)
        if state.witnessed:
            await self._on_adopted(late_shards, state)

    async def _end_damaged(self, shards: list[int]) -> None:
        """End programs whose history does not match the recorded digest."""
        for shard in shards:
            for program in self._programs.in_shard(shard):
                if program.is_damaged and not program.is_ended:
                    self._metrics.count('histories_damaged_total')
                    _log.error(
                        'history does not match its digest; ending program',
                        extra={'program': str(program.key)},
                    )
                    program.apply(
                        records.Ended(program.key, 'the history is damaged')
                    )

    async def _journal_snapshots(self, shards: list[int]) -> None:
        for shard in shards:
            for program in self._programs.in_shard(shard):
                await self._writer.append_all(program.snapshot())

    def _apply_map(self, new_map: shard_maps.ShardMap) -> None:
        old = self._map
        self._map = new_map
        for shard, assignment in enumerate(new_map.assignments):
            is_same = assignment.epoch == old.assignments[shard].epoch
            if assignment.owner != self._entry and not is_same:
                self._drop(shard)

    def _drop(self, shard: int) -> None:
        if self._states[shard] != 'foreign':
            self._advance(shard, 'lose')
            self._unreconciled.pop(shard, None)
            self._programs.drop_shard(shard)

    def _advance(self, shard: int, trigger: str) -> None:
        self._states[shard] = self._chart.next_state(
            self._states[shard], trigger
        )


def _owners_of(logs: list[str]) -> set[str]:
    return {log.rpartition('~')[0] for log in logs}


def not_owner_error(shard: int) -> errors.MagnoliawoodError:
    """Return the error for a request to an entry that is not the owner."""
    return errors.MagnoliawoodError(
        errors.ErrorCode.NOT_OWNER,
        f'shard {shard} has another owner',
        retry_after=RETRY_AFTER,
    )
