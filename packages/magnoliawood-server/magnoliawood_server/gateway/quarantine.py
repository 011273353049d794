"""Rejects requests that crash the upstreams that run them."""

import collections.abc
import logging

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import crash_tracker
from magnoliawood.fleet import directory as directories
from magnoliawood.limits import crash_list
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import upstream_pool

_log = logging.getLogger(__name__)


class Quarantine:
    """Requests that were running when upstreams crashed.

    :param crashes: crash records of this gateway and its peers
    """

    def __init__(
        self,
        crashes: crash_list.CrashList,
        clock: clocks.Clock,
        registry: registries.Registry,
    ) -> None:
        self._crashes = crashes
        self._clock = clock
        self._registry = registry
        self._crash_tracker = crash_tracker.CrashTracker(clock)

    def check(self, fingerprint: str) -> None:
        """Reject a quarantined request.

        :raises MagnoliawoodError: with ``suspected``
        """
        record = self._crashes.find(fingerprint)
        if record is not None and record.is_quarantined:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.SUSPECTED,
                f'{len(record.crashes)} upstreams crashed during this request '
                f'({fingerprint})',
                retry_after=record.expires_at - self._clock.now(),
            )

    def is_quarantined(self, fingerprint: str) -> bool:
        """Whether a request must not run again."""
        record = self._crashes.find(fingerprint)
        return record is not None and record.is_quarantined

    def is_suspected(self, fingerprint: str) -> bool:
        """Whether an upstream may have crashed during the request."""
        return self._crashes.find(fingerprint) is not None

    def record_success(self, fingerprint: str) -> None:
        """Clear a request that an upstream has completed."""
        self._crashes.clear(fingerprint)

    def record_loss(
        self,
        request_id: str,
        fingerprint: str,
        upstream: directories.Upstream,
        connection_use: upstream_pool.ConnectionUse,
        is_certain: bool,
    ) -> None:
        """Record that a connection was lost while the request was running.

        :param is_certain: whether the upstream had certainly not closed the
            connection before the request was sent
        """
        crash = crash_list.Crash(
            upstream.address,
            self._crash_tracker.crash_of(
                upstream.id, connection_use.opened_at
            ),
            is_certain,
        )
        record = self._crashes.record_crashes(fingerprint, [crash])
        self._registry.count('crashes_total')
        _log.warning(
            'upstream lost during the request',
            extra={
                'request_id': request_id,
                'fingerprint': fingerprint,
                'crash': f'{crash.upstream} {crash.run}',
                'is_certain': is_certain,
                'crashes': len(record.crashes),
                'is_quarantined': record.is_quarantined,
            },
        )

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget upstreams that are not listed."""
        self._crash_tracker.retain_only(upstream_ids)
