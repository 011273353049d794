"""Watches on the configuration and the upstreams in the platform's store."""

import collections.abc
import datetime
import logging
import random
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.platform import decoding
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

MIN_RETRY_DELAY = datetime.timedelta(milliseconds=150)
MAX_RETRY_DELAY = datetime.timedelta(seconds=1)
PROBE_INTERVAL = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)


class Peers(typing.Protocol):
    """Source of the reports of other gateways on the store."""

    def is_store_reachable_by_peers(self) -> bool:
        """Whether a peer reported recently that the store is reachable."""
        ...


class StoreProbe:
    """Reads an object of the store periodically to detect outages.

    Explanation
    ===========

    A watch may stay pending through a whole outage without an error. The
    probe accepts stale reads, which cost a tenth of a consistent read.
    """

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
    ) -> None:
        self._client = objects.StoreClient(address)
        self._cluster_view = cluster_view
        self._peers = peers

    async def run(self) -> None:
        """Probe the store until cancelled."""
        while True:
            await curio.sleep(PROBE_INTERVAL.total_seconds())
            try:
                await self._client.get(
                    names.KIND_CONFIGURATION,
                    names.NAME_CONFIGURATION,
                    allow_stale=True,
                )
            except objects.StoreUnavailable:
                self._cluster_view.outage.record_failure(
                    self._peers.is_store_reachable_by_peers()
                )
            else:
                self._cluster_view.outage.record_response()


class _Watch:
    """Lists the objects of one kind and then watches their changes.

    After an error, or when the history is compacted, it lists them again.
    """

    def __init__(
        self,
        address: str,
        kind: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
    ) -> None:
        self._client = objects.StoreClient(address)
        self._kind = kind
        self._cluster_view = cluster_view
        self._peers = peers
        self._is_store_lost = False
        self._watch_period = objects.WATCH_PERIOD

    async def run(self) -> None:
        """Watch until cancelled."""
        retry_delay = MIN_RETRY_DELAY
        while True:
            try:
                await self._follow()
            except objects.HistoryCompacted:
                _log.info(
                    'store watch lost its revision; listing all objects again',
                    extra={'kind': self._kind},
                )
                retry_delay = MIN_RETRY_DELAY
            except objects.StoreUnavailable as error:
                self._mark_lost(str(error))
                await curio.sleep(
                    retry_delay.total_seconds() * random.random()
                )
                retry_delay = min(MAX_RETRY_DELAY, retry_delay * 2)

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
        self._cluster_view.outage.record_response()
        self.apply_listing(listing)
        self.confirm()
        self._mark_regained()
        revision = listing.revision
        while True:
            self.begin_call()
            changes = await self._client.watch(
                self._kind, revision, self._watch_period
            )
            self._cluster_view.outage.record_response()
            if changes.changes:
                self.apply_changes(changes)
            self.confirm()
            revision = max(revision, changes.revision)

    def _mark_lost(self, reason: str) -> None:
        self._cluster_view.outage.record_failure(
            self._peers.is_store_reachable_by_peers()
        )
        if not self._is_store_lost:
            self._is_store_lost = True
            _log.warning(
                'store lost', extra={'kind': self._kind, 'reason': reason}
            )

    def _mark_regained(self) -> None:
        if self._is_store_lost:
            self._is_store_lost = False
            _log.warning('store regained', extra={'kind': self._kind})


class ConfigurationWatch(_Watch):
    """Watch on the configuration."""

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
        clock: clocks.Clock,
    ) -> None:
        super().__init__(
            address, names.KIND_CONFIGURATION, cluster_view, peers
        )
        self._clock = clock
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
        """Apply changed configurations in the order of their writes."""
        self._apply(change.stored for change in changes.changes)

    def _apply(
        self, stored_objects: collections.abc.Iterable[objects.StoredObject]
    ) -> None:
        for stored in stored_objects:
            if stored.name != names.NAME_CONFIGURATION:
                continue
            try:
                self._cluster_view.apply_configuration(stored.spec, 'store')
            except ValueError as error:
                _log.error(
                    'malformed configuration',
                    extra={
                        'revision': stored.revision,
                        'error': str(error),
                    },
                )


class UpstreamWatch(_Watch):
    """Watch on the entries of upstreams."""

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
    ) -> None:
        super().__init__(address, names.KIND_UPSTREAMS, cluster_view, peers)

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
