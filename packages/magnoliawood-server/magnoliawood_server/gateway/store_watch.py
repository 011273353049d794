"""Watches on the configuration and the upstreams in the platform's store."""

import collections.abc
import datetime
import logging
import random
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.platform import decoding
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

MIN_RETRY_DELAY = datetime.timedelta(milliseconds=150)
MAX_RETRY_DELAY = datetime.timedelta(seconds=1)
PROBE_INTERVAL = datetime.timedelta(seconds=1)
# The store answers at once, whether there are changes or not.
_NO_WAIT = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class Peers(typing.Protocol):
    """Source of the reports of other gateways on the store."""

    def is_store_reachable_by_peers(self) -> bool:
        """Whether a peer reported recently that the store is reachable."""
        ...


class StoreProbe:
    """Asks the store periodically what the watches may not have heard.

    Explanation
    ===========

    A watch may stay pending through a whole outage without an error, and on
    a lost connection it hears no change. The probe reads the store's revision
    from a list that accepts stale data and holds no object, which costs a
    tenth of a consistent read. Only if a watch is behind that revision, the
    store is asked for what it missed.

    :param watches: watches that are brought up to date
    """

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
        watches: collections.abc.Sequence['Watch'] = (),
    ) -> None:
        self._client = objects.StoreClient(address)
        self._cluster_view = cluster_view
        self._peers = peers
        self._watches = watches

    async def run(self) -> None:
        """Probe the store until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL.total_seconds())
            try:
                await self._probe()
            except objects.StoreUnavailable:
                self._cluster_view.outage.record_failure(
                    self._peers.is_store_reachable_by_peers()
                )

    async def _probe(self) -> None:
        revision = await self._client.revision(
            names.KIND_CONFIGURATION, names.NAME_CONFIGURATION
        )
        self._cluster_view.outage.record_response()
        for watch in self._watches:
            await watch.catch_up(self._client, revision)


class Watch:
    """Lists the objects of one kind and then watches their changes.

    After an error, or when the history is compacted, it lists them again.

    :param registry: counts the failures and the changes that were missed
    """

    def __init__(
        self,
        address: str,
        kind: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
        registry: registries.Registry,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        self._client = objects.StoreClient(address)
        self._kind = kind
        self._cluster_view = cluster_view
        self._peers = peers
        self._registry = registry
        self._is_store_lost = False
        self._lost_reason = ''
        self._watch_period = objects.WATCH_PERIOD
        self._retry_delay = MIN_RETRY_DELAY
        # Revision up to which all changes are known; None before a listing.
        self._revision: int | None = None
        # Whether it missed a change and has had no answer since.
        self._is_silent = False
        self._is_interrupted = False
        self._answered_at = clock.monotonic()

    def update_gauges(self) -> None:
        """Set the gauges that show how far and when it was answered."""
        silence = self._clock.monotonic() - self._answered_at
        self._registry.set_gauge(
            'store_watch_revision', self._revision or 0, kind=self._kind
        )
        self._registry.set_gauge(
            'store_watch_silent_seconds',
            silence.total_seconds(),
            kind=self._kind,
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            try:
                await self._follow()
            except objects.HistoryCompacted:
                _log.info(
                    'store watch lost its revision; listing all objects again',
                    extra={'kind': self._kind},
                )
                self._retry_delay = MIN_RETRY_DELAY
            except objects.StoreUnavailable as error:
                if self._is_interrupted:
                    self._is_interrupted = False
                    continue
                self._registry.count(
                    'store_watch_failures_total', kind=self._kind
                )
                self._mark_lost(str(error))
                await curio.sleep(
                    self._retry_delay.total_seconds() * random.random()
                )
                self._retry_delay = min(MAX_RETRY_DELAY, self._retry_delay * 2)

    async def catch_up(
        self, client: objects.StoreClient, store_revision: int
    ) -> None:
        """Apply the changes that the store has and the watch did not bring.

        A watch that brings nothing afterwards either is begun anew.

        :param client: client that does not wait for the watch
        :param store_revision: revision that the store is known to have
        :raises StoreUnavailable: if the store does not respond
        """
        if self._revision is None or store_revision <= self._revision:
            return
        if self._is_silent:
            self._begin_anew('it brought no change')
            return
        try:
            changes = await client.watch(self._kind, self._revision, _NO_WAIT)
        except objects.HistoryCompacted:
            self._begin_anew('its history is gone')
            return
        # Otherwise the watch has answered meanwhile.
        if changes.revision > self._revision:
            self._apply_missed(changes)

    def _apply_missed(self, changes: objects.Changes) -> None:
        if changes.changes:
            self._is_silent = True
            self._registry.count('store_watch_missed_total', kind=self._kind)
            _log.info(
                'changes read that the store watch has not brought yet',
                extra={
                    'kind': self._kind,
                    'revision': changes.revision,
                    'watched_revision': self._revision,
                },
            )
            self.apply_changes(changes)
        self._revision = changes.revision

    def apply_listing(self, listing: objects.Listing) -> None:
        """Apply a complete listing."""
        raise NotImplementedError

    def apply_changes(self, changes: objects.Changes) -> None:
        """Apply changes that followed the listing."""
        raise NotImplementedError

    def confirm(self) -> None:
        """Record that all is applied that the store had when it was asked."""

    def begin_call(self) -> None:
        """Record that the store is asked now."""

    async def _follow(self) -> None:
        self.begin_call()
        listing = await self._client.list(self._kind)
        self._record_answer()
        self.apply_listing(listing)
        self._revision = listing.revision
        self.confirm()
        self._mark_regained()
        while True:
            self.begin_call()
            changes = await self._client.watch(
                self._kind, self._revision, self._watch_period
            )
            self._record_answer()
            if changes.changes:
                self.apply_changes(changes)
            self._revision = max(self._revision, changes.revision)
            self.confirm()

    def _record_answer(self) -> None:
        self._cluster_view.outage.record_response()
        self._answered_at = self._clock.monotonic()
        self._is_silent = False

    def _begin_anew(self, reason: str) -> None:
        """End the pending call, so that all objects are listed again."""
        _log.warning(
            'store watch begun anew',
            extra={
                'kind': self._kind,
                'reason': reason,
                'watched_revision': self._revision,
            },
        )
        self._is_silent = False
        self._is_interrupted = self._client.interrupt()

    def _mark_lost(self, reason: str) -> None:
        self._cluster_view.outage.record_failure(
            self._peers.is_store_reachable_by_peers()
        )
        if self._is_store_lost and reason == self._lost_reason:
            return
        self._is_store_lost = True
        self._lost_reason = reason
        _log.warning(
            'store lost', extra={'kind': self._kind, 'reason': reason}
        )

    def _mark_regained(self) -> None:
        self._retry_delay = MIN_RETRY_DELAY
        if self._is_store_lost:
            self._is_store_lost = False
            _log.warning('store regained', extra={'kind': self._kind})


class ConfigurationWatch(Watch):
    """Watch on the configuration."""

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
        registry: registries.Registry,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(
            address,
            names.KIND_CONFIGURATION,
            cluster_view,
            peers,
            registry,
            clock,
        )
        self._asked_at = clock.monotonic()
        interval = cluster_view.revocation.confirmation_interval
        if interval is not None:
            self._watch_period = min(self._watch_period, interval)

    def begin_call(self) -> None:
        """Record that the store is asked now."""
        self._asked_at = self._clock.monotonic()

    def confirm(self) -> None:
        """Record that no newer configuration was there when it was asked."""
        self._cluster_view.revocation.confirm(self._asked_at)

    def apply_listing(self, listing: objects.Listing) -> None:
        """Apply the newest configuration, if there is one."""
        self._apply(listing.objects)

    def apply_changes(self, changes: objects.Changes) -> None:
        """Apply the newest configuration of those that were written."""
        self._apply([change.stored for change in changes.changes])

    def _apply(
        self, written: collections.abc.Sequence[objects.StoredObject]
    ) -> None:
        """Apply the last object that holds a configuration.

        Decoding those before it would only delay it.
        """
        for stored in reversed(written):
            if stored.name != names.NAME_CONFIGURATION:
                continue
            try:
                self._apply_one(stored)
            except ValueError as error:
                _log.error(
                    'malformed configuration',
                    extra={
                        'revision': stored.revision,
                        'error': str(error),
                    },
                )
            else:
                return

    def _apply_one(self, stored: objects.StoredObject) -> None:
        if self._cluster_view.apply_configuration(stored.spec, 'store'):
            self._registry.count('configuration_updates_total', source='store')


class UpstreamWatch(Watch):
    """Watch on the entries of upstreams."""

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
        registry: registries.Registry,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(
            address, names.KIND_UPSTREAMS, cluster_view, peers, registry, clock
        )

    @property
    def revision(self) -> int:
        """Revision of the store that the directory reflects."""
        return self._cluster_view.directory.revision

    def apply_listing(self, listing: objects.Listing) -> None:
        """Replace the directory of upstreams by the listed entries."""
        decoded = [
            decoding.decode_upstream(stored.name, stored.spec)
            for stored in listing.objects
        ]
        upstreams = [upstream for upstream in decoded if upstream is not None]
        self._cluster_view.directory.replace(
            upstreams, listing.revision, self._cluster_view.outage.retain_until
        )
        _log.info(
            'upstreams listed',
            extra={'revision': listing.revision, 'upstreams': len(upstreams)},
        )

    def apply_changes(self, changes: objects.Changes) -> None:
        """Apply changed entries to the directory of upstreams."""
        decoded = [_decode(change) for change in changes.changes]
        self._cluster_view.directory.apply(
            decoded, changes.revision, self._cluster_view.outage.retain_until
        )
        for change in decoded:
            _log.info(
                'upstream changed',
                extra={
                    'upstream': change.id,
                    'revision': changes.revision,
                    'state': _state(change),
                },
            )


def _decode(change: objects.Change) -> directories.UpstreamChange:
    stored = change.stored
    upstream = None
    if not change.is_deleted:
        upstream = decoding.decode_upstream(stored.name, stored.spec)
    return directories.UpstreamChange(stored.name, upstream)


def _state(change: directories.UpstreamChange) -> str:
    if change.upstream is None:
        return 'gone'
    return 'leaving' if change.upstream.is_leaving else 'ready'
