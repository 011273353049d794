"""Records what upstreams announce about themselves in their responses."""

import datetime
import logging

from magnoliawood.fleet import directory as directories
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.platform import requests

_log = logging.getLogger(__name__)


class UpstreamAnnouncements:
    """Announcements that an upstream is leaving, and its rate limits.

    :param directory: takes what is announced
    """

    def __init__(
        self,
        directory: directories.UpstreamDirectory,
        registry: registries.Registry,
    ) -> None:
        self._directory = directory
        self._registry = registry

    def record_head(
        self,
        upstream: directories.Upstream,
        response: requests.UpstreamResponse,
        sent_at: datetime.timedelta,
    ) -> None:
        """Record the head of a response.

        :param sent_at: monotonic time before which the request was not sent
        """
        if response.is_other_incarnation:
            return
        if response.is_leaving:
            self._record_leaving(upstream)
        if response.limit.text is not None:
            self._record_limit(upstream, response.limit)
        elif response.is_signed or not response.has_run:
            self._record_no_limit(upstream, sent_at)

    def record_trailers(
        self, upstream: directories.Upstream, trailers: requests.Headers
    ) -> None:
        """Record the trailers of a response; they may state nothing."""
        fields = list(trailers)
        if requests.is_leaving(fields):
            self._record_leaving(upstream)
        limit = requests.decode_rate_limit(fields)
        if limit.text is not None:
            self._record_limit(upstream, limit)

    def _record_leaving(self, upstream: directories.Upstream) -> None:
        """Send an upstream that announces its leave nothing new."""
        if not self._directory.leaving.add(upstream):
            return
        self._registry.count('leave_announcements_total')
        _log.info(
            'upstream announced in a response that it is leaving',
            extra={'upstream': upstream.id, 'started_at': upstream.started_at},
        )

    def _record_limit(
        self, upstream: directories.Upstream, limit: requests.RateLimit
    ) -> None:
        """Record a rate limit; one that is no number changes nothing."""
        if limit.rate is None:
            self._registry.count('rate_limit_changes_total', change='invalid')
            _log.warning(
                'upstream named a rate limit that is no decimal number',
                extra={'upstream': upstream.id, 'limit': limit.text},
            )
            return
        previous = self._directory.rate_limits.rate(upstream)
        self._directory.rate_limits.record(upstream, limit.rate)
        if limit.rate != previous:
            change = 'named' if previous is None else 'changed'
            self._registry.count('rate_limit_changes_total', change=change)
            _log.info(
                'upstream named a rate limit',
                extra={
                    'upstream': upstream.id,
                    'per_second': limit.rate,
                    'previous_per_second': previous,
                },
            )

    def _record_no_limit(
        self, upstream: directories.Upstream, sent_at: datetime.timedelta
    ) -> None:
        if self._directory.rate_limits.record_none(upstream, sent_at):
            self._registry.count('rate_limit_changes_total', change='ended')
            _log.info(
                'upstream names no rate limit any more',
                extra={'upstream': upstream.id},
            )
