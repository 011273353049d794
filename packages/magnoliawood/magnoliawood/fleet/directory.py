"""Directory of the upstreams known to this process.

An upstream registers itself as an entry in the platform's store. The entry is
removed when the upstream terminates or when the entry expires.
"""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import leaving as leaves
from magnoliawood.fleet import rate_limits
from magnoliawood.fleet import upstream as upstreams
from magnoliawood.fleet import version_history

# An upstream whose entry expired during a store outage registers again within
# this time after the store has recovered.
REREGISTRATION_PERIOD = datetime.timedelta(seconds=2)


Upstream = upstreams.Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChange:
    """Change of an upstream's entry in the store.

    :param id: identity of the incarnation
    :param upstream: the upstream; ``None`` if the entry was removed or does
        not describe an upstream
    """

    id: str
    upstream: Upstream | None


class UpstreamDirectory:
    """Upstreams by id, as of one revision of the platform's store.

    Explanation
    ===========

    Revisions only increase, so a late or repeated message never restores an
    older state. While the store is unavailable, entries may expire although
    their upstreams are running; such an upstream stays usable until
    :data:`REREGISTRATION_PERIOD` after the store has recovered.

    Examples
    ========

    >>> directory = UpstreamDirectory(clocks.ManualClock())
    >>> engine = Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
    >>> directory.replace([engine], 10, None)
    >>> [upstream.id for upstream in directory.usable('llm')]
    ['i-1']
    >>> removal = UpstreamChange('i-1', None)
    >>> directory.apply([removal], 11, None)
    >>> directory.usable('llm')
    []
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._retain_until: dict[str, datetime.timedelta] = {}
        self._revision = 0
        self._leaving = leaves.LeavingUpstreams(clock)
        self._rate_limits = rate_limits.RateLimits(clock)
        self._versions = version_history.VersionHistory(clock)

    @property
    def revision(self) -> int:
        """Revision of the store that the entries reflect; 0 if none."""
        return self._revision

    @property
    def leaving(self) -> leaves.LeavingUpstreams:
        """Upstreams that have announced that they are leaving."""
        return self._leaving

    @property
    def rate_limits(self) -> rate_limits.RateLimits:
        """Rate limits that upstreams name in their responses."""
        return self._rate_limits

    def all(self) -> list[Upstream]:
        """Return every upstream that has not been removed."""
        self._drop_expired()
        return list(self._upstreams.values())

    def registered(self) -> list[Upstream]:
        """Return the upstreams whose entry has not expired.

        Only these may be reported to peers, because a peer cannot determine
        when an upstream with an expired entry has terminated.
        """
        return [
            upstream
            for upstream in self.all()
            if upstream.id not in self._retain_until
        ]

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new work."""
        return [
            upstream
            for upstream in self.all()
            if upstream.service == service
            and not upstream.is_leaving
            and upstream not in self._leaving
        ]

    def only_version(self, service: str) -> str | None:
        """Return the version at which streams of a service began.

        :returns: ``None`` if it is not certain, or there are several
        """
        return self._versions.only_version(service, self.all())

    def replace(
        self,
        upstreams: collections.abc.Iterable[Upstream],
        revision: int,
        retain_until: datetime.timedelta | None,
    ) -> None:
        """Replace all entries; a list with an older revision is ignored.

        :param retain_until: monotonic time until which upstreams without an
            entry are retained, since it may only have expired; ``None``
            drops them at once
        """
        if revision < self._revision:
            return
        self._versions.record(self._upstreams.values())
        self._revision = revision
        registered = {upstream.id: upstream for upstream in upstreams}
        for upstream_id in self._upstreams.keys() - registered.keys():
            self._handle_removal(upstream_id, retain_until)
        for upstream in registered.values():
            self._add_registered(upstream)

    def apply(
        self,
        changes: collections.abc.Iterable[UpstreamChange],
        revision: int,
        retain_until: datetime.timedelta | None,
    ) -> None:
        """Apply all changes up to a revision; older revisions are ignored.

        :param retain_until: monotonic time until which upstreams with a
            removed entry are retained, since it may only have expired;
            ``None`` drops them at once
        """
        if revision <= self._revision:
            return
        self._versions.record(self._upstreams.values())
        self._revision = revision
        for change in changes:
            if change.upstream is not None:
                self._add_registered(change.upstream)
                # It may leave again with one of the next changes.
                self._versions.record([change.upstream])
            else:
                self._handle_removal(change.id, retain_until)

    def drop(self, upstream: Upstream) -> None:
        """Remove an upstream that has certainly left its address.

        It stays if it has registered another address since.
        """
        self._versions.record(self._upstreams.values())
        registered = self._upstreams.get(upstream.id)
        if registered is None or registered.address == upstream.address:
            self._remove(upstream.id)

    def _add_registered(self, upstream: Upstream) -> None:
        self._upstreams[upstream.id] = upstream
        self._retain_until.pop(upstream.id, None)

    def _handle_removal(
        self, upstream_id: str, retain_until: datetime.timedelta | None
    ) -> None:
        if retain_until is None:
            self._remove(upstream_id)
        elif upstream_id in self._upstreams:
            self._retain_until.setdefault(upstream_id, retain_until)

    def _remove(self, upstream_id: str) -> None:
        self._upstreams.pop(upstream_id, None)
        self._retain_until.pop(upstream_id, None)

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        expired_ids = [
            upstream_id
            for upstream_id, until in self._retain_until.items()
            if now > until
        ]
        for upstream_id in expired_ids:
            self._remove(upstream_id)
