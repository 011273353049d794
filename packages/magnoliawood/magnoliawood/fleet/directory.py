"""The upstreams that this process believes in."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks

# An upstream whose entry lapsed in a store outage registers again within
# this time of the store's return.
REREGISTRATION_LIMIT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream.

    :param id: identity of the incarnation
    :param address: IP number and port
    :param slots: requests that it runs at the same time
    :param is_leaving: whether it takes no new work
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChange:
    """A changed entry; without an upstream it is gone or names none."""

    id: str
    upstream: Upstream | None


class UpstreamDirectory:
    """Upstreams by id, as of one revision of the platform's store.

    Explanation
    ===========

    Revisions only rise, so a late or repeated message never brings back an
    older state. While the store is unavailable, entries may lapse although
    their upstreams live; such an upstream stays usable until
    :data:`REREGISTRATION_LIMIT` after the store's return.

    Examples
    ========

    >>> directory = UpstreamDirectory(clocks.ManualClock())
    >>> engine = Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
    >>> directory.replace([engine], 10, is_after_outage=False)
    >>> [upstream.id for upstream in directory.usable('llm')]
    ['i-1']
    >>> gone = UpstreamChange('i-1', None)
    >>> directory.apply([gone], 11, is_after_outage=False)
    >>> directory.usable('llm')
    []
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._missing_since: dict[str, datetime.timedelta] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the store that the entries are as of; 0 is none."""
        return self._revision

    def all(self) -> list[Upstream]:
        """Return every upstream that is not known to be gone."""
        self._drop_missing()
        return list(self._upstreams.values())

    def find(self, upstream_id: str) -> Upstream | None:
        """Return an upstream by its id."""
        return self._upstreams.get(upstream_id)

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that take new work."""
        return [
            upstream
            for upstream in self.all()
            if upstream.service == service and not upstream.is_leaving
        ]

    def replace(
        self,
        upstreams: collections.abc.Iterable[Upstream],
        revision: int,
        is_after_outage: bool,
    ) -> None:
        """Take over a whole list.

        :param is_after_outage: whether absent entries may have lapsed
        """
        if revision < self._revision:
            return
        listed = {upstream.id: upstream for upstream in upstreams}
        absent = self._upstreams.keys() - listed.keys()
        kept = {
            upstream_id: self._upstreams[upstream_id]
            for upstream_id in absent
            if is_after_outage
        }
        now = self._clock.monotonic()
        self._missing_since = {
            upstream_id: self._missing_since.get(upstream_id, now)
            for upstream_id in kept
        }
        self._upstreams = kept | listed
        self._revision = revision

    def apply(
        self,
        changes: collections.abc.Iterable[UpstreamChange],
        revision: int,
        is_after_outage: bool,
    ) -> None:
        """Take over all changes up to a revision.

        :param is_after_outage: whether removed entries may only have lapsed
        """
        if revision <= self._revision:
            return
        self._revision = revision
        for change in changes:
            if change.upstream is not None:
                self._upstreams[change.id] = change.upstream
                self._missing_since.pop(change.id, None)
            elif not is_after_outage:
                self.drop(change.id)
            elif change.id in self._upstreams:
                now = self._clock.monotonic()
                self._missing_since.setdefault(change.id, now)

    def drop(self, upstream_id: str) -> None:
        """Forget an upstream that is certainly gone."""
        self._upstreams.pop(upstream_id, None)
        self._missing_since.pop(upstream_id, None)

    def _drop_missing(self) -> None:
        now = self._clock.monotonic()
        gone = [
            upstream_id
            for upstream_id, since in self._missing_since.items()
            if now - since > REREGISTRATION_LIMIT
        ]
        for upstream_id in gone:
            self.drop(upstream_id)
