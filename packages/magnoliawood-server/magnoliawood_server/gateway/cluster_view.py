"""What this gateway believes of the configuration and the upstreams."""

import dataclasses
import json
import logging

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import outage as outages
from magnoliawood.routes import configuration as configurations
from magnoliawood.routes import table as tables
from magnoliawood_server.platform import decoding

_log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """What a gateway tells a peer that is behind.

    :param configuration: the configuration as the operator wrote it, in
        JSON; empty if none is known
    :param revision: revision that the upstreams are as of
    """

    configuration: bytes
    upstreams: list[directories.Upstream]
    revision: int


class ClusterView:
    """The newest configuration and the upstreams that are known here."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._table: tables.RouteTable | None = None
        self._configuration_text = b''
        self._directory = directories.UpstreamDirectory(clock)
        self._outage = outages.StoreOutage(clock)

    @property
    def table(self) -> tables.RouteTable | None:
        """Routes in force, or nothing before any are known."""
        return self._table

    @property
    def version(self) -> int:
        """Version of the configuration; 0 is none."""
        return self._table.configuration.version if self._table else 0

    @property
    def directory(self) -> directories.UpstreamDirectory:
        """The upstreams."""
        return self._directory

    @property
    def limits(self) -> configurations.CallerLimits:
        """Limits on callers in force."""
        if self._table is None:
            return configurations.CallerLimits()
        return self._table.configuration.limits

    @property
    def is_ready(self) -> bool:
        """Whether requests can be served."""
        return self._table is not None and self._directory.revision > 0

    @property
    def outage(self) -> outages.StoreOutage:
        """What is known of the store's last outage."""
        return self._outage

    def snapshot(self) -> Snapshot:
        """Return what a peer may take over."""
        return Snapshot(
            self._configuration_text,
            self._directory.registered(),
            self._directory.revision,
        )

    def apply_configuration(self, spec: object, source: str) -> None:
        """Take over a configuration unless a newer one is known.

        :param source: where it comes from, for the log
        :raises ValueError: if it is malformed
        """
        configuration = decoding.decode_configuration(spec)
        if configuration.version <= self.version:
            return
        former = self.version
        self._table = tables.RouteTable(configuration)
        self._configuration_text = json.dumps(spec).encode()
        _log.info(
            'configuration in force',
            extra={
                'version': configuration.version,
                'former_version': former,
                'routes': len(configuration.routes),
                'source': source,
            },
        )

    def merge(self, snapshot: Snapshot, source: str) -> None:
        """Take over what a peer knows, as far as it is newer.

        :raises ValueError: if it is malformed
        """
        if snapshot.configuration:
            self.apply_configuration(
                json.loads(snapshot.configuration), source
            )
        if snapshot.revision > self._directory.revision:
            self._directory.replace(
                snapshot.upstreams,
                snapshot.revision,
                self._outage.retain_until,
            )
            _log.info(
                'upstreams learned from a peer',
                extra={'revision': snapshot.revision, 'source': source},
            )
