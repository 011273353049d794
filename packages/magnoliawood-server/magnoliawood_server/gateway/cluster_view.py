"""Configuration and upstreams as known to this gateway."""

import dataclasses
import datetime
import logging

from magnoliawood.accounts import client_account
from magnoliawood.accounts import revocation as revocations
from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import outage as outages
from magnoliawood.routes import configuration as configurations
from magnoliawood.routes import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import packed_configuration
from magnoliawood_server.platform import decoding

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Cluster view of a gateway, sent to a peer whose view is older.

    :param configuration: the configuration as the operator wrote it, in
        JSON, for peers that read no other form
    :param upstreams: upstreams with an entry in the store
    :param revision: revision of the store to which the upstreams correspond;
        0 if the peer knows them
    :param packed: the configuration, packed; empty if the peer knows it
    """

    configuration: bytes
    upstreams: list[directories.Upstream]
    revision: int
    packed: bytes = b''


class ClusterView:
    """The newest known configuration and the known upstreams.

    :param revocation_limit: time without news of the configuration after
        which no key is accepted; ``None`` for no limit
    """

    def __init__(
        self,
        clock: clocks.Clock,
        revocation_limit: datetime.timedelta | None = None,
    ) -> None:
        self._clock = clock
        self._revocation = revocations.RevocationLimit(revocation_limit, clock)
        self._table: tables.RouteTable | None = None
        self._packed_configuration = b''
        self._changed_at: datetime.timedelta | None = None
        self._directory = directories.UpstreamDirectory(clock)
        self._outage = outages.StoreOutage(clock)

    @property
    def table(self) -> tables.RouteTable | None:
        """Current routes; ``None`` until a configuration is known."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if none is known."""
        return self._table.configuration.version if self._table else 0

    @property
    def directory(self) -> directories.UpstreamDirectory:
        """Directory of the known upstreams."""
        return self._directory

    @property
    def limits(self) -> configurations.CallerLimits:
        """Current limits on callers; defaults if no configuration is known."""
        if self._table is None:
            return configurations.CallerLimits()
        return self._table.configuration.limits

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and a list of upstreams are known."""
        return self._table is not None and self._directory.revision > 0

    @property
    def outage(self) -> outages.StoreOutage:
        """State of the last outage of the store."""
        return self._outage

    @property
    def revocation(self) -> revocations.RevocationLimit:
        """Up to when the configuration is known to be the newest."""
        return self._revocation

    def find_account(self, name: str) -> client_account.ClientAccount | None:
        """Return the client account of a name, if it is declared."""
        if self._table is None or self._table.accounts is None:
            return None
        return self._table.accounts.named(name)

    def update_gauges(self, registry: registries.Registry) -> None:
        """Set the gauges of the configuration in force."""
        registry.set_gauge('configuration_version', self.version)
        if self._changed_at is not None:
            age = self._clock.monotonic() - self._changed_at
            registry.set_gauge(
                'configuration_in_force_seconds', age.total_seconds()
            )
        if self._revocation.age is not None:
            registry.set_gauge(
                'configuration_confirmed_seconds',
                self._revocation.age.total_seconds(),
            )

    def is_behind(self, version: int, revision: int) -> bool:
        """Whether a configuration or a revision of the store is newer."""
        return version > self.version or revision > self._directory.revision

    def snapshot(
        self, version: int | None = None, revision: int | None = None
    ) -> Snapshot:
        """Return the cluster view for a peer to merge, without what it knows.

        :param version: version of the peer's configuration; ``None`` if it
            reads the whole cluster view, with no part packed
        :param revision: revision of the store of the peer's upstreams
        """
        if version is None or revision is None:
            return Snapshot(
                packed_configuration.unpack_text(self._packed_configuration),
                self._directory.registered(),
                self._directory.revision,
            )
        packed = b''
        if self.version > version:
            packed = self._packed_configuration
        if self._directory.revision <= revision:
            return Snapshot(b'', [], 0, packed)
        return Snapshot(
            b'',
            self._directory.registered(),
            self._directory.revision,
            packed,
        )

    def apply_configuration(self, spec: object, source: str) -> bool:
        """Apply a configuration that is newer than the known one.

        :param source: origin of the configuration, for the log
        :returns: whether it was newer
        :raises ValueError: if it is malformed
        """
        stated_version = decoding.decode_version(spec)
        if stated_version is not None and stated_version <= self.version:
            return False
        configuration = decoding.decode_configuration(spec)
        if configuration.version <= self.version:
            return False
        previous_version = self.version
        self._packed_configuration = packed_configuration.pack(spec)
        self._table = tables.RouteTable(configuration)
        self._changed_at = self._clock.monotonic()
        _log.info(
            'configuration updated',
            extra={
                'version': configuration.version,
                'former_version': previous_version,
                'routes': len(configuration.routes),
                'source': source,
            },
        )
        return True

    def merge(self, snapshot: Snapshot, source: str) -> None:
        """Apply the parts of a peer's snapshot that are newer.

        The upstreams are applied also if the configuration is malformed.

        :raises ValueError: if the configuration in it is malformed
        """
        if snapshot.revision > self._directory.revision:
            self._directory.replace(
                snapshot.upstreams,
                snapshot.revision,
                self._outage.retain_until,
            )
            _log.info(
                'upstreams updated from a peer',
                extra={'revision': snapshot.revision, 'source': source},
            )
        if snapshot.packed:
            self.apply_configuration(
                packed_configuration.unpack(snapshot.packed), source
            )
        elif snapshot.configuration:
            self.apply_configuration(
                packed_configuration.parse(snapshot.configuration), source
            )
