"""What an attempt at an upstream shows, for those who learn from it."""

import dataclasses
import datetime
import typing

from magnoliawood.fleet import directory as directories
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import job as jobs


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """An attempt that has ended; the times are monotonic.

    :param requests_there: requests of all gateways at the upstream when it
        began, without this one
    :param first_event_at: time of the first event that the caller got from
        this attempt, if the request had none before
    :param events: number of events that it added to the response
    :param result: ``None`` if it was given up: the deadline passed or the
        caller left
    """

    job: jobs.Job
    upstream: directories.Upstream
    requests_there: int
    started_at: datetime.timedelta
    ended_at: datetime.timedelta
    first_event_at: datetime.timedelta | None
    events: int
    result: exchanges.Result | None


class AttemptObserver(typing.Protocol):
    """Learns from attempts at upstreams."""

    def begin(self, job: jobs.Job, upstream: directories.Upstream) -> None:
        """Record an attempt that is about to be sent."""
        ...

    def end(self, attempt: Attempt) -> None:
        """Record the end of an attempt."""
        ...
