"""Planned stop of a gateway: what it still accepts, and how it ends.

A request that is accepted after the stop was announced ends before the
process does; one that could not is refused at once, so that its caller tries
another gateway.
"""

import collections.abc
import datetime
import logging
import random
import signal

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood_server.gateway import caller_reader
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.runtime import stop

# The load balancer may still send connections for this long after the
# readiness check has begun to fail.
NOTICE = datetime.timedelta(seconds=2.5)
# The process ends this long before it would be killed.
RESERVE = datetime.timedelta(seconds=0.5)
# Time in which requests that are cut get their answer.
ANSWER_TIME = datetime.timedelta(seconds=0.25)
# A repeated SIGTERM is no reason to end sooner than the platform allows.
_INTERRUPTING = frozenset({signal.SIGINT})

_log = logging.getLogger(__name__)


class PlannedStop:
    """Refuses requests that can't end in time, and ends the others.

    :param limit: time between the request to stop and the forced kill
    :param activity: connections and requests of callers
    :param stop_listening: stops accepting connections
    :param flush: stores what the requests left to be stored
    """

    def __init__(
        self,
        limit: datetime.timedelta,
        activity: caller_reader.CallerActivity,
        stop_listening: collections.abc.Callable[
            [], collections.abc.Awaitable[None]
        ],
        flush: collections.abc.Callable[[], collections.abc.Awaitable[None]],
        clock: clocks.Clock,
    ) -> None:
        self._limit = limit - RESERVE
        self._activity = activity
        self._stop_listening = stop_listening
        self._flush = flush
        self._clock = clock
        self._cut_at: datetime.timedelta | None = None

    async def run(self, signals: stop.StopSignals) -> stop.ExitCode:
        """Wait for a stop signal, then end what is in progress."""
        return await stop.drain(
            signals, self._drain, self._limit, _INTERRUPTING
        )

    def admit(self, job: jobs.Job) -> None:
        """Refuse a request whose deadline is after the end of the process.

        :raises MagnoliawoodError: with ``leaving``; it has not run
        """
        if self._cut_at is None or job.deadline <= self._cut_at:
            return
        raise errors.MagnoliawoodError(
            errors.ErrorCode.LEAVING,
            'the process stops before the deadline of the request',
            retry_after=jobs.RETRY_AFTER + jobs.RETRY_SPREAD * random.random(),
        )

    def end(self, job: jobs.Job) -> None:
        """Do nothing; a stop keeps no state of a request."""

    async def _drain(self) -> None:
        time_to_cut = max(datetime.timedelta(), self._limit - ANSWER_TIME)
        self._cut_at = self._clock.monotonic() + time_to_cut
        self._activity.is_closing = True
        await curio.sleep(min(NOTICE, time_to_cut).total_seconds())
        await self._stop_listening()
        await self._activity.close_idle()
        time_left = self._cut_at - self._clock.monotonic()
        async with curio.ignore_after(max(0.0, time_left.total_seconds())):
            await stop.wait_while(lambda: self._activity.is_busy)
        await self._cut()
        await self._flush()

    async def _cut(self) -> None:
        """Answer the requests that are still in progress, and end them."""
        cut = len(self._activity.serving)
        if self._activity.is_busy:
            _log.warning(
                'requests cut by a stop',
                extra={
                    'requests': cut,
                    'being_read': len(self._activity.reading),
                },
            )
        await self._activity.cut_requests()
        await stop.wait_while(lambda: self._activity.is_busy)
