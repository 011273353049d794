"""Requests that ended without an answer while their upstream was silent."""

import collections
import collections.abc
import dataclasses
import datetime
import itertools
import typing

from magnoliawood.core import clock as clocks

# An upstream that is lost within this time after a request ended without an
# answer may have been silent because of it.
SILENCE_PERIOD = datetime.timedelta(seconds=15)
# Maximum number of requests that are remembered for one upstream.
UPSTREAM_LIMIT = 64

Request = typing.TypeVar('Request')


@dataclasses.dataclass(frozen=True, slots=True)
class _Unanswered(typing.Generic[Request]):
    request: Request
    ended_at: datetime.timedelta


class UnansweredRequests(typing.Generic[Request]):
    """Latest requests without an answer, by upstream.

    Explanation
    ===========

    An upstream may hang, freeze or lose its network before it is known to
    be lost. By then the deadlines of its requests may have passed, or their
    callers may have left. Any answer of the upstream shows that it was only
    slow.

    Examples
    ========

    >>> unanswered = UnansweredRequests(clocks.ManualClock())
    >>> unanswered.add('i-1', 'request-1')
    >>> unanswered.take('i-1')
    ['request-1']
    >>> unanswered.take('i-1')
    []
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._requests: dict[str, collections.deque[_Unanswered[Request]]] = {}

    def add(self, upstream_id: str, request: Request) -> None:
        """Add a request that ended without an answer of an upstream."""
        requests = self._requests.setdefault(
            upstream_id, collections.deque(maxlen=UPSTREAM_LIMIT)
        )
        requests.append(_Unanswered(request, self._clock.monotonic()))

    def take(self, upstream_id: str) -> list[Request]:
        """Remove the requests of an upstream and return the recent ones."""
        oldest = self._clock.monotonic() - SILENCE_PERIOD
        recent = itertools.dropwhile(
            lambda unanswered: unanswered.ended_at < oldest,
            self._requests.pop(upstream_id, ()),
        )
        return [unanswered.request for unanswered in recent]

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Forget the requests of upstreams that are not listed."""
        self._requests = {
            upstream_id: requests
            for upstream_id, requests in self._requests.items()
            if upstream_id in upstream_ids
        }
