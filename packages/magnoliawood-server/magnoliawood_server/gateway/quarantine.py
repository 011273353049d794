"""Rejects requests that crash the upstreams that run them."""

import collections.abc
import dataclasses
import datetime
import logging

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import crash_tracker
from magnoliawood.fleet import directory as directories
from magnoliawood.limits import affinity
from magnoliawood.limits import completed_callers
from magnoliawood.limits import crash_attribution
from magnoliawood.limits import crash_explanation
from magnoliawood.limits import crash_list
from magnoliawood.limits import crash_record
from magnoliawood.limits import unanswered
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import fingerprint as request_fingerprints
from magnoliawood_server.gateway import upstream_pool

_log = logging.getLogger(__name__)


class Quarantine:
    """Requests that were running when upstreams crashed.

    Explanation
    ===========

    Crashes are recorded by the content of a request, whoever sends it, and
    each with its caller. :mod:`crash_attribution` decides which callers a
    quarantined request is withheld from: content that others complete, such
    as a page that many read, must not be withheld from all of them.
    :mod:`crash_explanation` tells it from requests that ran beside it.

    Crashes are recorded by the beginning of the content too, since a body may
    come again with another length. What begins so is withheld only if nothing
    that begins so was ever completed, and only for a pause.

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
        self._completed = completed_callers.CompletedCallers()
        self._unanswered: unanswered.UnansweredRequests[
            request_fingerprints.Fingerprints
        ] = unanswered.UnansweredRequests(clock)
        self._is_loaded = False

    @property
    def is_loaded(self) -> bool:
        """Whether earlier crashes are known, from the store or from a peer."""
        return self._is_loaded

    def mark_loaded(self) -> None:
        """Record that a complete set of crash records has been merged."""
        self._is_loaded = True

    def check(self, fingerprints: request_fingerprints.Fingerprints) -> None:
        """Reject a quarantined request.

        :raises MagnoliawoodError: with ``suspected``
        """
        until = self._rejected_until(fingerprints)
        if until is None:
            return
        raise errors.MagnoliawoodError(
            errors.ErrorCode.SUSPECTED,
            f'upstreams crashed during this request ({fingerprints.content})',
            retry_after=until - self._clock.now(),
        )

    def is_quarantined(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> bool:
        """Whether a request must not run again."""
        return self._rejected_until(fingerprints) is not None

    def _rejected_until(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> datetime.datetime | None:
        """Return until when a request is rejected, if it is at this time."""
        times = [
            until
            for until in (
                self._content_rejected_until(fingerprints),
                self._prefix_rejected_until(fingerprints),
            )
            if until is not None and until > self._clock.now()
        ]
        return max(times, default=None)

    def _content_rejected_until(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> datetime.datetime | None:
        record = self._crashes.find(fingerprints.content)
        cause = self._as_cause(record)
        if cause is None:
            return None
        return crash_attribution.rejected_until(cause, fingerprints.caller)

    def _prefix_rejected_until(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> datetime.datetime | None:
        record = self._crashes.find(fingerprints.prefix)
        cause = self._as_cause(record)
        if cause is None or cause.completed_callers:
            return None
        return crash_attribution.pause_end(
            cause, crash_attribution.FIRST_PREFIX_PAUSE
        )

    def _as_cause(
        self, record: crash_record.CrashRecord | None
    ) -> crash_record.CrashRecord | None:
        """Return the crashes that a request has caused, if they are enough.

        Explanation
        ===========

        Where several requests may have caused the same crashes, each may run
        again, on an upstream of its own.
        """
        if record is None or not record.is_quarantined:
            return None
        others = self._crashes.others_in_crashes(record)
        unexplained = crash_explanation.without_explained(record, others)
        if crash_explanation.may_be_innocent(record, others):
            return None
        return unexplained if unexplained.is_quarantined else None

    def is_suspected(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> bool:
        """Whether an upstream may have crashed during the request."""
        record = self._crashes.find(fingerprints.content)
        return record is not None and bool(record.open_crashes)

    def isolate(
        self,
        fingerprints: request_fingerprints.Fingerprints,
        candidates: list[directories.Upstream],
    ) -> list[directories.Upstream]:
        """Return the upstreams on which a request may run.

        Explanation
        ===========

        All gateways send a suspected request to the same upstream, so that
        it crashes only one if it comes to several of them at once. Different
        requests are spread over the upstreams. Content that was completed,
        and requests whose response had started in each crash, are unlikely
        causes and run on any upstream.
        """
        records = map(self._crashes.find, fingerprints.names)
        record = next(filter(_is_likely_cause, records), None)
        if record is None:
            return candidates
        crashed = {crash.upstream for crash in record.open_crashes}
        by_id = {
            upstream.id: upstream
            for upstream in candidates
            if upstream.address not in crashed
        }
        names = affinity.affinity_upstreams(fingerprints.prefix, list(by_id))
        return [by_id[name] for name in names[:1]] or candidates

    def record_success(
        self, fingerprints: request_fingerprints.Fingerprints
    ) -> None:
        """Record that an upstream has completed a request."""
        for name in fingerprints.names:
            self._completed.add(name, fingerprints.caller)
            self._crashes.record_completion(name, fingerprints.caller)

    def record_response(
        self,
        upstream: directories.Upstream,
        connection_use: upstream_pool.ConnectionUse,
    ) -> None:
        """Record that an upstream has answered a request.

        If the connection is older than a crash of the upstream, the crash
        did not happen: only other connections were lost.
        """
        self._unanswered.take(upstream.id)
        crashed_at = self._crash_tracker.disproved_crash(
            upstream.id, connection_use.opened_at, connection_use.acquired_at
        )
        if crashed_at is None:
            return
        crash = crash_record.Crash(
            upstream.address, upstream.id, seen_at=crashed_at
        )
        records = self._crashes.disprove(crash)
        self._registry.count('crashes_disproved_total')
        _log.info(
            'upstream had not crashed; older connections still serve',
            extra={'upstream': upstream.id, 'requests': records},
        )

    def merge(
        self, records: collections.abc.Iterable[crash_record.CrashRecord]
    ) -> None:
        """Merge crash records of a peer.

        Callers for whom this gateway has seen the request completed are
        added, and so reach the peers with the next report.
        """
        for record in records:
            self._merge(record)

    def _merge(self, record: crash_record.CrashRecord) -> None:
        previous = self._crashes.find(record.fingerprint)
        merged = self._crashes.add_completed(
            self._crashes.merge(record),
            self._completed.of(record.fingerprint),
        )
        was_quarantined = previous is not None and previous.is_quarantined
        if merged.is_quarantined and not was_quarantined:
            _log.warning(
                'request quarantined by a peer',
                extra={
                    'fingerprint': merged.fingerprint,
                    'crashes': crash_record.count_crashes(merged.open_crashes),
                    'completed_callers': len(merged.completed_callers),
                },
            )

    def record_unanswered(
        self,
        fingerprints: request_fingerprints.Fingerprints,
        upstream: directories.Upstream,
    ) -> None:
        """Record that a request ended without an answer.

        It counts as running in a crash if the upstream is lost soon.
        """
        self._unanswered.add(upstream.id, fingerprints)

    def record_unreachable(self, upstream: directories.Upstream) -> None:
        """Record that an upstream accepts no connection."""
        silent = self._unanswered.take(upstream.id)
        if silent:
            crash = self._crash_of(upstream, self._clock.monotonic())
            self._blame_silent(silent, crash)

    def record_loss(
        self,
        request_id: str,
        fingerprints: request_fingerprints.Fingerprints,
        upstream: directories.Upstream,
        connection_use: upstream_pool.ConnectionUse,
        is_certain: bool,
        has_started: bool = False,
    ) -> None:
        """Record that a connection was lost while the request was running.

        :param is_certain: whether the upstream had certainly not closed the
            connection before the request was sent
        :param has_started: whether the response had started
        """
        crash = dataclasses.replace(
            self._crash_of(upstream, connection_use.opened_at),
            is_certain=is_certain,
            caller=fingerprints.caller,
            has_started=has_started,
        )
        if is_certain:
            self._blame_silent(self._unanswered.take(upstream.id), crash)
        record = self._record_crash(fingerprints, crash)
        self._registry.count('crashes_total')
        _log.warning(
            'upstream lost during the request',
            extra={
                'request_id': request_id,
                'fingerprint': fingerprints.content,
                'crash': f'{crash.upstream} {crash.run} {crash.seen_at}',
                'is_certain': is_certain,
                'has_started': has_started,
                'crashes': crash_record.count_crashes(record.open_crashes),
                'completed_callers': len(record.completed_callers),
                'is_quarantined': self.is_quarantined(fingerprints),
            },
        )

    def _blame_silent(
        self,
        silent: list[request_fingerprints.Fingerprints],
        crash: crash_record.Crash,
    ) -> None:
        """Record a crash for requests that ended before it was seen."""
        for fingerprints in silent:
            own = dataclasses.replace(
                crash, caller=fingerprints.caller, has_started=False
            )
            self._record_crash(fingerprints, own)
        if silent:
            _log.warning(
                'upstream lost after requests without an answer',
                extra={
                    'crash': f'{crash.upstream} {crash.run} {crash.seen_at}',
                    'fingerprints': [
                        fingerprints.content for fingerprints in silent
                    ],
                },
            )

    def _crash_of(
        self,
        upstream: directories.Upstream,
        connected_at: datetime.timedelta,
    ) -> crash_record.Crash:
        """Return the crash of an upstream in which a connection was lost."""
        return crash_record.Crash(
            upstream.address,
            upstream.id,
            seen_at=self._crash_tracker.crash_time(upstream.id, connected_at),
        )

    def _record_crash(
        self,
        fingerprints: request_fingerprints.Fingerprints,
        crash: crash_record.Crash,
    ) -> crash_record.CrashRecord:
        """Record a crash of a request and return the record of its content."""
        records = {
            name: self._crashes.add_completed(
                self._crashes.record_crashes(name, [crash]),
                self._completed.of(name),
            )
            for name in fingerprints.names
        }
        return records[fingerprints.content]

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget upstreams that are not listed."""
        self._crash_tracker.retain_only(upstream_ids)
        self._unanswered.retain_only(upstream_ids)


def _is_likely_cause(record: crash_record.CrashRecord | None) -> bool:
    """Return whether a request may well have caused one of its crashes."""
    if record is None or record.completed_callers:
        return False
    return any(not crash.has_started for crash in record.open_crashes)
