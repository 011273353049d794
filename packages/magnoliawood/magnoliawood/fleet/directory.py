"""The upstreams that this process believes in."""

import collections.abc
import dataclasses
import datetime

from magnoliawood.core import clock as clocks

# An upstream whose entry lapsed in a store outage registers again within
# this time of the store's return.
REREGISTRATION_PERIOD = datetime.timedelta(seconds=2)


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
    :data:`REREGISTRATION_PERIOD` after the store's return.

    Examples
    ========

    >>> directory = UpstreamDirectory(clocks.ManualClock())
    >>> engine = Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
    >>> directory.replace([engine], 10, None)
    >>> [upstream.id for upstream in directory.usable('llm')]
    ['i-1']
    >>> gone = UpstreamChange('i-1', None)
    >>> directory.apply([gone], 11, None)
    >>> directory.usable('llm')
    []
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._upstreams: dict[str, Upstream] = {}
        self._retain_until: dict[str, datetime.timedelta] = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """Revision of the store that the entries are as of; 0 is none."""
        return self._revision

    def all(self) -> list[Upstream]:
        """Return every upstream that is not known to be gone."""
        self._drop_lapsed()
        return list(self._upstreams.values())

    def registered(self) -> list[Upstream]:
        """Return the upstreams that have an entry; none that lapsed.

        Only these may be told to others, who could not tell when a lapsed
        one is gone.
        """
        return [
            upstream
            for upstream in self.all()
            if upstream.id not in self._retain_until
        ]

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
        retain_until: datetime.timedelta | None,
    ) -> None:
        """Take over a whole list.

        :param retain_until: monotonic time until which an absent entry may
            only have lapsed; without one it is gone
        """
        if revision < self._revision:
            return
        self._revision = revision
        registered = {upstream.id: upstream for upstream in upstreams}
        for upstream_id in self._upstreams.keys() - registered.keys():
            self._note_removed(upstream_id, retain_until)
        for upstream in registered.values():
            self._note_present(upstream)

    def apply(
        self,
        changes: collections.abc.Iterable[UpstreamChange],
        revision: int,
        retain_until: datetime.timedelta | None,
    ) -> None:
        """Take over all changes up to a revision.

        :param retain_until: monotonic time until which a removed entry may
            only have lapsed; without one it is gone
        """
        if revision <= self._revision:
            return
        self._revision = revision
        for change in changes:
            if change.upstream is not None:
                self._note_present(change.upstream)
            else:
                self._note_removed(change.id, retain_until)

    def drop(self, upstream_id: str) -> None:
        """Forget an upstream that is certainly gone."""
        self._upstreams.pop(upstream_id, None)
        self._retain_until.pop(upstream_id, None)

    def _note_present(self, upstream: Upstream) -> None:
        self._upstreams[upstream.id] = upstream
        self._retain_until.pop(upstream.id, None)

    def _note_removed(
        self, upstream_id: str, retain_until: datetime.timedelta | None
    ) -> None:
        if retain_until is None:
            self.drop(upstream_id)
        elif upstream_id in self._upstreams:
            self._retain_until.setdefault(upstream_id, retain_until)

    def _drop_lapsed(self) -> None:
        now = self._clock.monotonic()
        gone = [
            upstream_id
            for upstream_id, until in self._retain_until.items()
            if now > until
        ]
        for upstream_id in gone:
            self.drop(upstream_id)
