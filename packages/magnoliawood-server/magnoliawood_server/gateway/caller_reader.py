"""Reads what a caller sends, for as long as its connection is open."""

import collections.abc
import dataclasses
import datetime

import curio
import h11

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.routes import configuration as configurations

# Limits on the data of one read, and on that read ahead while a request is
# served. They are part of what the budget counts for each connection.
_READ_SIZE_BYTES = 32 * 1024
_READ_AHEAD_BYTES = 8 * 1024

LimitsSource = collections.abc.Callable[[], configurations.CallerLimits]


class RequestCut(curio.TaskCancelled):  # noqa: N818
    """The process ends before the request does."""


class RequestEvicted(RequestCut):
    """The request gives way, since its caller makes no progress."""


@dataclasses.dataclass(slots=True)
class CallerActivity:
    """State shared by the caller connections of this process.

    Each connection is in one of the sets at most.

    :param is_closing: whether each connection closes after its next response
    :param is_closed: whether no further request is read
    :param waiting: tasks of idle connections, which wait for a request
    :param reading: tasks of connections that have read a part of a request
    :param serving: tasks of requests whose response is not complete
    """

    is_closing: bool = False
    is_closed: bool = False
    waiting: set[curio.Task] = dataclasses.field(default_factory=set)
    reading: set[curio.Task] = dataclasses.field(default_factory=set)
    serving: set[curio.Task] = dataclasses.field(default_factory=set)

    @property
    def requests(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self.serving)

    @property
    def is_busy(self) -> bool:
        """Whether a request is read or served."""
        return bool(self.reading or self.serving)

    async def cut_requests(self) -> None:
        """End the requests in progress; each gets the answer that is true."""
        for task in [*self.serving, *self.reading]:
            await task.cancel(exc=RequestCut, blocking=False)

    async def close_idle(self) -> None:
        """Close idle connections and read no further requests."""
        self.is_closing = True
        self.is_closed = True
        for task in list(self.waiting):
            await task.cancel(blocking=False)


class CallerReader:
    """Feeds the parser of a connection from a task of its own.

    Explanation
    ===========

    The task reads on while a request is served, so that a caller that leaves
    is noticed; the task that serves the request is then cancelled. One task
    and one timeout serve all requests of the connection.

    :param machine: parser that gets what is read
    :param limits: returns the current limits on callers
    :param holding: what the connection holds
    :param body_limit: time within which a body has to arrive
    """

    def __init__(
        self,
        sock: curio.io.Socket,
        machine: h11.Connection,
        limits: LimitsSource,
        activity: CallerActivity,
        clock: clocks.Clock,
        holding: client_budget.Holding,
        body_limit: datetime.timedelta,
    ) -> None:
        self._holding = holding
        self._body_limit = body_limit
        # Time at which the first part of the request was waited for.
        self._began: datetime.timedelta | None = None
        self._sock = sock
        self._h11 = machine
        self._limits = limits
        self._activity = activity
        self._clock = clock
        # Whether a request is served, so that nobody waits for data.
        self._is_serving = False
        self._has_caller_left = False
        self._server: curio.Task | None = None
        self._news = curio.Event()
        self._may_read_on = curio.Event()
        self._error: OSError | None = None
        self._read_ahead_bytes = 0
        self._is_discarding = False
        self._ended = curio.Event()
        self._idle_since: datetime.timedelta | None = None

    @property
    def has_caller_left(self) -> bool:
        """Whether the serving task was cancelled since the caller left."""
        return self._has_caller_left

    def begin_serving(self) -> None:
        """Record that a whole request has been read and is served."""
        assert self._server is not None  # Set by start.
        self._is_serving = True
        self._began = None
        self._holding.begin_serving()
        self._activity.reading.discard(self._server)
        self._activity.serving.add(self._server)

    def end_serving(self) -> None:
        """Record that the response is complete, or never will be."""
        assert self._server is not None  # Set by start.
        self._is_serving = False
        self._holding.end_request()
        self._activity.serving.discard(self._server)

    def stop(self) -> None:
        """Record that the connection serves no further request."""
        if self._server is not None:
            self._stop_idling()
            self._activity.reading.discard(self._server)

    async def start(self) -> curio.Task:
        """Read in a new task, on behalf of the task that calls this."""
        self._server = await curio.current_task()
        return await curio.spawn(self._read_until_closed, daemon=True)

    def forget_news(self) -> None:
        """Let the next wait last until something is read after this call."""
        self._news.clear()

    async def wait_for_data(self) -> None:
        """Wait until data or the end of the stream has been received.

        :raises OSError: if the connection is lost or nothing came in time
        """
        self._read_ahead_bytes = 0
        await self._may_read_on.set()
        if self._is_between_requests():
            await self._wait_for_request()
        else:
            self._mark_reading()
            limit = self._time_left()
            async with curio.ignore_after(max(0.0, limit.total_seconds())):
                await self._news.wait()
            if not self._news.is_set():
                raise ConnectionResetError('caller sent no data in time')
        if self._error is not None:
            raise self._error

    async def discard_rest(
        self, machine: h11.Connection, limit: datetime.timedelta
    ) -> None:
        """Discard what the caller still sends of a refused request.

        Closing the connection with unread data would reset it, and the caller
        might not read the response.

        :param machine: parser without data that replaces the former one
        :param limit: time after which it is given up
        """
        self._h11 = machine
        self._holding.end_request()
        self._is_discarding = True
        await self._may_read_on.set()
        async with curio.ignore_after(limit.total_seconds()):
            await self._ended.wait()

    async def give_way(self) -> None:
        """End what the connection does, so that others find room."""
        if self._server is not None:
            await self._server.cancel(exc=RequestEvicted, blocking=False)

    def _time_left(self) -> datetime.timedelta:
        """Return the time for which more of a request is waited for.

        A head has to arrive within its limit, however its parts are sent. A
        body has the same limit for each pause, and one for all of it.
        """
        now = self._clock.monotonic()
        self._holding.begin_receiving(now)
        if self._began is None:
            self._began = now
        header_limit = self._limits().header_timeout
        if self._h11.their_state is h11.IDLE:
            return self._began + header_limit - now
        return min(header_limit, self._began + self._body_limit - now)

    def _is_between_requests(self) -> bool:
        return (
            self._h11.their_state is h11.IDLE
            and not self._h11.trailing_data[0]
        )

    async def _wait_for_request(self) -> None:
        """Wait for a request; a shutdown ends the wait.

        Explanation
        ===========

        If the connection is closed before any of the request is read, the
        caller can tell that the request was not processed and may send it
        again.
        """
        assert self._server is not None  # Set by start.
        if self._activity.is_closed:
            raise ConnectionResetError('connection closed while idle')
        self._activity.reading.discard(self._server)
        self._idle_since = self._clock.monotonic()
        self._holding.become_idle(self._idle_since)
        self._activity.waiting.add(self._server)
        try:
            await self._news.wait()
        except curio.TaskCancelled as error:
            raise ConnectionResetError(
                'connection closed while idle'
            ) from error
        finally:
            self._stop_idling()

    def _mark_reading(self) -> None:
        """Record that a part of a request has been read."""
        if self._server is not None and not self._is_serving:
            self._activity.reading.add(self._server)

    def _stop_idling(self) -> None:
        """Protect the connection from being closed as an idle one."""
        self._idle_since = None
        if self._server is not None:
            self._activity.waiting.discard(self._server)

    async def _read_until_closed(self) -> None:
        """Read until the caller closes its side, or is idle for too long."""
        time_left = self._limits().idle_timeout
        while time_left > datetime.timedelta():
            async with curio.ignore_after(time_left.total_seconds()):
                await self._read_and_report()
                return
            time_left = self._idle_time_left()
        await self._end(ConnectionResetError('connection closed while idle'))

    def _idle_time_left(self) -> datetime.timedelta:
        limit = self._limits().idle_timeout
        if self._idle_since is None:
            return limit
        return self._idle_since + limit - self._clock.monotonic()

    async def _read_and_report(self) -> None:
        try:
            while data := await self._read_some():
                if self._is_discarding:
                    continue
                self._read_ahead_bytes += len(data)
                self._holding.record_moved(len(data))
                self._h11.receive_data(data)
                await self._news.set()
        except OSError as error:
            await self._end(error)
        else:
            await self._end()

    async def _read_some(self) -> bytes:
        """Return some data; none at the end of the stream.

        :raises OSError: if the connection is lost or may not be read any more
        """
        while True:
            is_ahead = self._read_ahead_bytes > _READ_AHEAD_BYTES
            if is_ahead and not self._is_discarding:
                self._may_read_on.clear()
                await self._may_read_on.wait()
            # Without trying first, since there is hardly ever data.
            await curio.traps._read_wait(self._sock._fileno)
            if self._idle_since is not None and self._activity.is_closed:
                raise ConnectionResetError('connection closed while idle')
            try:
                data = self._sock._socket.recv(self._read_size())
            except BlockingIOError:
                continue
            self._stop_idling()
            if data:
                self._mark_reading()
            return data

    def _read_size(self) -> int:
        return _READ_AHEAD_BYTES if self._is_serving else _READ_SIZE_BYTES

    async def _end(self, error: OSError | None = None) -> None:
        """Report the end of the stream; a request in progress is cancelled."""
        assert self._server is not None  # Set by start.
        await self._ended.set()
        if self._is_serving:
            self._has_caller_left = True
            await self._server.cancel(blocking=False)
            return
        self._error = error
        if error is None:
            self._h11.receive_data(b'')
        await self._news.set()
