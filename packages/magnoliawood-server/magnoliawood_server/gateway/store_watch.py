"""Follows the configuration and the upstreams in the platform's store."""

import collections.abc
import datetime
import logging
import random
import typing

import curio

from magnoliawood.fleet import directory as directories
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.platform import decoding
from magnoliawood_server.platform import names
from magnoliawood_server.platform import objects

RETRY_START = datetime.timedelta(milliseconds=150)
RETRY_LIMIT = datetime.timedelta(seconds=1)
PROBE_INTERVAL = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)


class Peers(typing.Protocol):
    """What the other gateways say of the store."""

    def is_store_reachable_by_peers(self) -> bool:
        """Whether a peer said lately that the store answers."""
        ...


class StoreProbe:
    """Asks the store for one object again and again.

    Explanation
    ===========

    A watch may wait in silence through a whole outage. Old answers will do,
    which cost a tenth.
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
        """Ask for ever."""
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
    """Lists one kind and follows its changes; starts anew when need be."""

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
        self._is_lost = False

    async def run(self) -> None:
        """Follow for ever."""
        pause = RETRY_START
        while True:
            try:
                await self._follow()
            except objects.HistoryCompacted:
                _log.info('history gone', extra={'kind': self._kind})
                pause = RETRY_START
            except objects.StoreUnavailable as error:
                self._note_lost(str(error))
                await curio.sleep(pause.total_seconds() * random.random())
                pause = min(RETRY_LIMIT, pause * 2)

    def take_list(self, listing: objects.Listing) -> None:
        """Take over a whole list."""
        raise NotImplementedError

    def take_changes(self, changes: objects.Changes) -> None:
        """Take over changes."""
        raise NotImplementedError

    async def _follow(self) -> None:
        listing = await self._client.list(self._kind)
        self._cluster_view.outage.record_response()
        self.take_list(listing)
        self._note_regained()
        revision = listing.revision
        while True:
            changes = await self._client.watch(self._kind, revision)
            self._cluster_view.outage.record_response()
            if changes.changes:
                self.take_changes(changes)
            revision = max(revision, changes.revision)

    def _note_lost(self, reason: str) -> None:
        self._cluster_view.outage.record_failure(
            self._peers.is_store_reachable_by_peers()
        )
        if not self._is_lost:
            self._is_lost = True
            _log.warning(
                'store lost', extra={'kind': self._kind, 'reason': reason}
            )

    def _note_regained(self) -> None:
        if self._is_lost:
            self._is_lost = False
            _log.warning('store regained', extra={'kind': self._kind})


class ConfigurationWatch(_Watch):
    """Follows the configuration."""

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
    ) -> None:
        super().__init__(
            address, names.KIND_CONFIGURATION, cluster_view, peers
        )

    def take_list(self, listing: objects.Listing) -> None:
        """Take over the newest configuration, if there is one."""
        self._take(listing.objects)

    def take_changes(self, changes: objects.Changes) -> None:
        """Take over configurations in the order of their writes."""
        self._take(change.stored for change in changes.changes)

    def _take(
        self, found: collections.abc.Iterable[objects.StoredObject]
    ) -> None:
        for stored in found:
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
    """Follows the entries of upstreams."""

    def __init__(
        self,
        address: str,
        cluster_view: cluster_views.ClusterView,
        peers: Peers,
    ) -> None:
        super().__init__(address, names.KIND_UPSTREAMS, cluster_view, peers)

    def take_list(self, listing: objects.Listing) -> None:
        """Take over all entries."""
        decoded = [
            decoding.decode_upstream(stored.name, stored.spec)
            for stored in listing.objects
        ]
        known = [upstream for upstream in decoded if upstream is not None]
        self._cluster_view.directory.replace(
            known, listing.revision, self._cluster_view.outage.retain_until
        )
        _log.info(
            'upstreams listed',
            extra={'revision': listing.revision, 'upstreams': len(known)},
        )

    def take_changes(self, changes: objects.Changes) -> None:
        """Take over changed entries."""
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
