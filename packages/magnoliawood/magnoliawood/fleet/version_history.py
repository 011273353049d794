"""Software versions that the upstreams of a service have had lately."""

import collections.abc
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import upstream as upstreams

# No stream is taken up later than this after it began.
STREAM_LIFETIME = datetime.timedelta(seconds=30)


class VersionHistory:
    """Versions seen within the lifetime of a stream, by service.

    Explanation
    ===========

    A stream that is under way may have begun at an upstream that has left
    since, also before this process started. So one version is certain only
    if it was the only one for the whole lifetime of a stream.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> history = VersionHistory(clock)
    >>> engine = upstreams.Upstream('i', 'llm', 'h:1', 'dc', 8, version='v1')
    >>> history.record([engine])
    >>> history.only_version('llm', [engine]) is None
    True
    >>> clock.advance(STREAM_LIFETIME)
    >>> history.only_version('llm', [engine])
    'v1'
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._began_at: datetime.timedelta | None = None
        # Time until which a version was seen, by service and version.
        self._seen_until: dict[tuple[str, str], datetime.timedelta] = {}

    def record(
        self, known: collections.abc.Iterable[upstreams.Upstream]
    ) -> None:
        """Record the upstreams that are known up to this moment."""
        now = self._clock.monotonic()
        if self._began_at is None:
            self._began_at = now
        oldest = now - STREAM_LIFETIME
        self._seen_until = {
            key: seen
            for key, seen in self._seen_until.items()
            if seen > oldest
        }
        for upstream in known:
            self._seen_until[upstream.service, upstream.version] = now

    def only_version(
        self, service: str, known: collections.abc.Iterable[upstreams.Upstream]
    ) -> str | None:
        """Return the version at which streams of a service began.

        :param known: upstreams known at this moment
        :returns: ``None`` if it is not certain, or there are several
        """
        self.record(known)
        now = self._clock.monotonic()
        if self._began_at is None or now - self._began_at < STREAM_LIFETIME:
            return None
        versions = {
            version for name, version in self._seen_until if name == service
        }
        return versions.pop() if len(versions) == 1 else None
