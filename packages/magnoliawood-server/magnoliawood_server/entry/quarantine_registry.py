"""Crash records of requests, synchronized with the store and sidecars."""

import datetime
import logging

import curio
import pydantic

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import affinity as affinities
from magnoliawood.limits import crash_list
from magnoliawood.limits import crash_record
from magnoliawood.limits import recent_set
from magnoliawood.platform import store
from magnoliawood.programs import call as calls
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

PREFIX = 'quarantine/'
WATCH_WAIT = datetime.timedelta(seconds=2)
RETRY_INTERVAL = datetime.timedelta(milliseconds=300)
# After this number of failed reads the entry serves without the store's
# records; sidecars have those of crashes that they saw.
MAX_FAILED_READS = 3

_log = logging.getLogger(__name__)


class QuarantineRegistry:
    """Rejects requests that were running when two upstreams crashed.

    Explanation
    ===========

    A crash is recorded in three places: at the sidecar of the upstream that
    crashed, at the sidecars of the request's affinity upstreams, and in the
    platform's store. A request whose content this entry has not yet seen
    succeed is first sent to its affinity upstreams only. It therefore
    reaches a sidecar that has the record, even if the entry that observed
    the crash has failed and the store is down.
    """

    def __init__(
        self,
        objects: store.ObjectStore,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        metrics: registries.Registry,
    ) -> None:
        self._objects = objects
        self._sidecars = sidecars
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._crashes = crash_list.CrashList(clock)
        self._succeeded = recent_set.RecentSet()
        self._stored: dict[str, int] = {}
        self._unstored: set[str] = set()
        self._changed = curio.Event()
        self._version = 0
        self._is_read = False
        self._failed_reads = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the records of the store are known, or it is not there."""
        return self._is_read or self._failed_reads >= MAX_FAILED_READS

    def crashes_of(self, fingerprint: str) -> list[crash_record.Crash]:
        """Return the recorded crashes of a request in order."""
        return sorted(self._crashes.crashes(fingerprint))

    def filter_candidates(
        self,
        fingerprint: str,
        candidates: list[sidecar_directory.Sidecar],
        reachable: list[sidecar_directory.Sidecar],
        excluded: set[str],
    ) -> list[sidecar_directory.Sidecar]:
        """Return the sidecars to which a request may be sent.

        :param candidates: sidecars that can accept the request
        :param reachable: sidecars from which its affinity upstreams are
            chosen; empty if earlier turns bind the program to an upstream
        :param excluded: names of sidecars to which it was sent already
        :raises MagnoliawoodError: with ``quarantined``
        """
        self._crashes.check(fingerprint)
        crashed = {c.upstream for c in self._crashes.crashes(fingerprint)}
        tried = excluded | crashed
        if crashed or fingerprint not in self._succeeded:
            affinity_sidecars = _affinity_sidecars(fingerprint, reachable)
            untried = [s for s in affinity_sidecars if s.name not in tried]
            if untried:
                with_upstream_up = [s for s in untried if s.reply.upstream_up]
                return with_upstream_up or untried
        return [s for s in candidates if s.name not in tried] or candidates

    async def apply_outcome(
        self, fingerprint: str, outcome: calls.CallOutcome
    ) -> calls.CallOutcome:
        """Record an outcome and return the one to continue with.

        The failure of a quarantined request becomes a rejection with the
        same verdict.
        """
        if outcome.is_success:
            await self._record_success(fingerprint)
            return outcome
        if outcome.crashes and self._record_crashes(
            fingerprint, outcome.crashes
        ):
            await self._notify_affinity_sidecars(fingerprint)
        record = self._crashes.find(fingerprint)
        if record is None or not record.is_quarantined:
            return outcome
        refusal = self._crashes.refusal(record)
        refusal.verdict = outcome.verdict
        return calls.CallOutcome.from_error(refusal)

    async def watch_forever(self) -> None:
        """Watch the store for crash records of the other entries."""
        while True:
            try:
                await self._refresh()
                self._is_read = True
                await self._objects.watch(PREFIX, self._version, WATCH_WAIT)
            except errors.MagnoliawoodError as error:
                self._failed_reads += 1
                _log.info(
                    'crash records not read', extra={'error': str(error)}
                )
                await curio.sleep(RETRY_INTERVAL.total_seconds())

    async def store_forever(self) -> None:
        """Write changed records to the store, with retries until stored."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            for fingerprint in sorted(self._unstored):
                await self._try_store(fingerprint)
            if self._unstored:
                await curio.sleep(RETRY_INTERVAL.total_seconds())
                await self._changed.set()

    def _record_crashes(
        self, fingerprint: str, crashes: tuple[crash_record.Crash, ...]
    ) -> bool:
        """Record crashes and return whether any of them is new."""
        previous = self._crashes.find(fingerprint)
        record = self._crashes.record_crashes(fingerprint, crashes)
        self._succeeded.discard(fingerprint)
        if record == previous:
            return False
        self._unstored.add(fingerprint)
        self._metrics.count('suspected_requests_total')
        if record.is_quarantined:
            self._metrics.count('quarantined_requests_total')
            _log.warning(
                'request quarantined',
                extra={
                    'fingerprint': fingerprint,
                    'upstreams': sorted(c.upstream for c in record.crashes),
                },
            )
        return True

    async def _notify_affinity_sidecars(self, fingerprint: str) -> None:
        await self._changed.set()
        record = self._crashes.find(fingerprint)
        if record is None:
            return
        names = {crash.upstream for crash in record.crashes}
        affinity_sidecars = _affinity_sidecars(
            fingerprint, self._sidecars_serving_same(names)
        )
        await self._send_to_all(
            [s for s in affinity_sidecars if s.name not in names],
            messages.NoteCrashes(record),
        )

    def _sidecars_serving_same(
        self, names: set[str]
    ) -> list[sidecar_directory.Sidecar]:
        """Return the usable sidecars that serve the same as the named ones."""
        served = {
            (s.reply.kind, name)
            for s in self._sidecars.all()
            if s.name in names and s.reply is not None
            for name in s.reply.names
        }
        return [
            s
            for s in self._sidecars.all()
            if s.is_usable and any(s.serves(*item) for item in served)
        ]

    async def _record_success(self, fingerprint: str) -> None:
        self._succeeded.add(fingerprint)
        crashes = self._crashes.crashes(fingerprint)
        if not crashes:
            return
        self._metrics.count('cleared_suspects_total')
        self._crashes.clear(fingerprint)
        self._unstored.add(fingerprint)
        await self._changed.set()
        names = {crash.upstream for crash in crashes}
        affinity_sidecars = _affinity_sidecars(
            fingerprint, self._sidecars_serving_same(names)
        )
        crashed_sidecars = [self._sidecars.find(name) for name in names]
        recipients = {
            s.name: s
            for s in [*affinity_sidecars, *crashed_sidecars]
            if s is not None
        }
        await self._send_to_all(
            list(recipients.values()), messages.ClearCrashes([fingerprint])
        )

    async def _send_to_all(
        self,
        sidecars: list[sidecar_directory.Sidecar],
        message: messages.NoteCrashes | messages.ClearCrashes,
    ) -> None:
        async def request(address: str) -> None:
            try:
                await self._pool.request(
                    address, message, sidecar_directory.RESPONSE_TIMEOUT
                )
            except errors.MagnoliawoodError:
                self._metrics.count('crash_notes_failed_total')

        async with curio.TaskGroup() as group:
            for sidecar in sidecars:
                await group.spawn(request, sidecar.host.address)

    async def _try_store(self, fingerprint: str) -> None:
        try:
            await self._store(fingerprint)
        except errors.MagnoliawoodError:
            self._metrics.count('quarantine_writes_failed_total')
            return
        self._unstored.discard(fingerprint)

    async def _store(self, fingerprint: str) -> None:
        name = f'{PREFIX}{fingerprint}'
        record = self._crashes.find(fingerprint)
        stored_object = await self._objects.get(name)
        version = (
            store.ABSENT if stored_object is None else stored_object.version
        )
        if record is None:
            if stored_object is not None:
                await self._objects.delete(name, version)
            return
        if stored_object is not None:
            stored = crash_record.CrashRecord.from_text(stored_object.value)
            record = self._crashes.merge(stored)
        written = await self._objects.put(name, record.to_text(), version)
        self._stored[fingerprint] = written.version

    async def _refresh(self) -> None:
        listing = await self._objects.scan(PREFIX)
        self._version = listing.version
        now = self._clock.now()
        present: dict[str, int] = {}
        for item in listing.objects:
            record = _parse_record(item)
            if record is None:
                continue
            if record.expires_at <= now or len(present) >= _STORED_LIMIT:
                await self._objects.delete(item.name, item.version)
                continue
            present[record.fingerprint] = item.version
            if self._stored.get(record.fingerprint) != item.version:
                self._crashes.merge(record)
                self._succeeded.discard(record.fingerprint)
        await self._clear_removed(set(self._stored) - set(present))
        self._stored = present

    async def _clear_removed(self, fingerprints: set[str]) -> None:
        """Clear records that were removed from the store."""
        removed = sorted(fingerprints - self._unstored)
        if not removed:
            return
        for fingerprint in removed:
            self._crashes.clear(fingerprint)
        reachable = [s for s in self._sidecars.all() if s.is_reachable]
        await self._send_to_all(reachable, messages.ClearCrashes(removed))


_STORED_LIMIT = crash_list.LIST_LIMIT


def _affinity_sidecars(
    fingerprint: str, sidecars: list[sidecar_directory.Sidecar]
) -> list[sidecar_directory.Sidecar]:
    by_name = {sidecar.name: sidecar for sidecar in sidecars}
    names = affinities.affinity_upstreams(fingerprint, list(by_name))
    return [by_name[name] for name in names]


def _parse_record(item: store.StoredObject) -> crash_record.CrashRecord | None:
    try:
        return crash_record.CrashRecord.from_text(item.value)
    except pydantic.ValidationError as error:
        _log.error('crash record malformed', extra={'error': str(error)})
        return None
