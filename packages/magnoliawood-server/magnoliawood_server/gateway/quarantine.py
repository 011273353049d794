"""Rejects requests that crash the upstreams that run them."""

import collections.abc
import logging

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import crash_tracker
from magnoliawood.fleet import directory as directories
from magnoliawood.limits import crash_list
from magnoliawood.limits import succeeded
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import fingerprint as request_fingerprints
from magnoliawood_server.gateway import upstream_pool

_log = logging.getLogger(__name__)


class Quarantine:
    """Requests that were running when upstreams crashed.

    Explanation
    ===========

    A request that comes again may carry another query, program, session or
    affinity key, so crashes are recorded by its content. Content that was
    completed before, such as a page that many callers read, is recognised
    only together with its caller: upstreams that crash for other reasons
    must not withhold it from everybody. A gateway that has seen it completed
    tells the peers that report a crash.

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
        self._succeeded = succeeded.SucceededRequests()
        self._released: set[str] = set()

    def check(self, fingerprints: request_fingerprints.Fingerprints) -> None:
        """Reject a quarantined request.

        :raises MagnoliawoodError: with ``suspected``
        """
        for record in self._records(fingerprints):
            if record.is_quarantined:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.SUSPECTED,
                    f'{len(record.crashes)} upstreams crashed during this '
                    f'request ({fingerprints.content})',
                    retry_after=record.expires_at - self._clock.now(),
                )

    def is_quarantined(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> bool:
        """Whether a request must not run again."""
        records = self._records(fingerprints)
        return any(record.is_quarantined for record in records)

    def is_suspected(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> bool:
        """Whether an upstream may have crashed during the request."""
        return bool(self._records(fingerprints))

    def record_success(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> None:
        """Clear a request that an upstream has completed."""
        self.release([fingerprints.content])
        self._clear(fingerprints.caller)

    def release(self, contents: collections.abc.Iterable[str]) -> None:
        """Clear content that this gateway or a peer has seen completed."""
        for content in contents:
            self._succeeded.add(content)
            self._clear(content)

    def take_released(self) -> set[str]:
        """Return the quarantined requests cleared since the last call."""
        taken = self._released
        self._released = set()
        return taken

    def _clear(self, fingerprint: str) -> None:
        record = self._crashes.find(fingerprint)
        if record is not None and record.is_quarantined:
            self._released.add(fingerprint)
        self._crashes.clear(fingerprint)

    def merge(
        self, records: collections.abc.Iterable[crash_list.CrashRecord]
    ) -> list[str]:
        """Merge crash records of a peer.

        :returns: the content among them that this gateway has seen completed
        """
        completed = []
        for record in records:
            if record.fingerprint in self._succeeded:
                completed.append(record.fingerprint)
            else:
                self._merge(record)
        return completed

    def _merge(self, record: crash_list.CrashRecord) -> None:
        previous = self._crashes.find(record.fingerprint)
        merged = self._crashes.merge(record)
        was_quarantined = previous is not None and previous.is_quarantined
        if merged.is_quarantined and not was_quarantined:
            _log.warning(
                'request quarantined by a peer',
                extra={
                    'fingerprint': merged.fingerprint,
                    'crashes': len(merged.crashes),
                },
            )

    def record_loss(
        self,
        request_id: str,
        fingerprints: request_fingerprints.Fingerprints,
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
        records = [
            self._crashes.record_crashes(fingerprint, [crash])
            for fingerprint in self._keys(fingerprints)
        ]
        self._registry.count('crashes_total')
        _log.warning(
            'upstream lost during the request',
            extra={
                'request_id': request_id,
                'fingerprint': fingerprints.content,
                'crash': f'{crash.upstream} {crash.run}',
                'is_certain': is_certain,
                'crashes': max(len(record.crashes) for record in records),
                'is_quarantined': self.is_quarantined(fingerprints),
            },
        )

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget upstreams that are not listed."""
        self._crash_tracker.retain_only(upstream_ids)

    def _keys(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> list[str]:
        """Return the digests by which a request is recognised."""
        if fingerprints.content in self._succeeded:
            return [fingerprints.caller]
        return [fingerprints.caller, fingerprints.content]

    def _records(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> list[crash_list.CrashRecord]:
        found = map(self._crashes.find, self._keys(fingerprints))
        return [record for record in found if record is not None]
