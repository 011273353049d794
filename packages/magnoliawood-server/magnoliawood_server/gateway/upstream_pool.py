"""Pool of persistent HTTP connections to upstreams."""

import dataclasses
import datetime
import enum
import itertools
import logging
import weakref

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory
from magnoliawood.limits import idle_limit
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.http import client as http_client
from magnoliawood_server.http import connection as connections
from magnoliawood_server.platform import names

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# Limit on the idle connections to each upstream.
MAX_IDLE_CONNECTIONS = 16
# An idle connection is reused only within this share of the idle limit that
# the upstream announced.
UPSTREAM_IDLE_LIMIT_SHARE = 0.7
# An upstream that has closed an idle connection resets it as soon as data is
# sent on it. A request that crashes the upstream may take longer to fail, so a
# later failure counts as a crash.
_RESET_TIMEOUT = datetime.timedelta(milliseconds=100)
# A reset takes a round trip, as a new connection does. After more of them the
# upstream broke the response off, and its idle timeout is not known.
_RESET_ROUND_TRIPS = 3
_MILLISECOND = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


class OpenReason(enum.StrEnum):
    """Why a new connection is opened.

    ``CLOSED``: the upstream closed the idle connection, or sent data on it.
    ``PROBE``: to tell an idle close from a crash.
    """

    NONE_IDLE = 'none_idle'
    IDLE_TOO_LONG = 'idle_too_long'
    CLOSED = 'closed'
    SUSPECTED = 'suspected'
    PROBE = 'probe'


@dataclasses.dataclass(slots=True)
class _IdleConnection:
    connection: connections.ClientConnection
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionUse:
    """Use of a connection for one request; the times are monotonic.

    :param opened_at: time at which the connection was opened
    :param acquired_at: time at which it was acquired for the request
    :param idle_time: time for which it had been idle; ``None`` if it was new
    """

    opened_at: datetime.timedelta
    acquired_at: datetime.timedelta
    idle_time: datetime.timedelta | None = None


def _pop_usable(
    idle: list[_IdleConnection], request_id: bytes
) -> _IdleConnection | None:
    """Remove and return the last connection that may carry a request."""
    for position in reversed(range(len(idle))):
        if not idle[position].connection.has_refused(request_id):
            return idle.pop(position)
    return None


class UpstreamPool:
    """Pool of connections, by incarnation of the upstream."""

    def __init__(
        self, clock: clocks.Clock, registry: registries.Registry
    ) -> None:
        self._clock = clock
        self._registry = registry
        self._limits = idle_limit.IdleLimits(clock)
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._uses: weakref.WeakKeyDictionary[
            connections.ClientConnection, ConnectionUse
        ] = weakref.WeakKeyDictionary()

    async def acquire(
        self,
        upstream: directory.Upstream,
        may_reuse: bool = True,
        request_id: bytes = b'',
    ) -> connections.ClientConnection:
        """Return an idle connection, or a new one.

        :param may_reuse: whether an idle connection may be returned
        :param request_id: not sent again where it was refused, since the
            refusal could be written once more
        :raises ConnectFailed: if no connection could be opened
        """
        if not may_reuse:
            return await self._open(upstream, OpenReason.SUSPECTED)
        reason = OpenReason.NONE_IDLE
        idle = self._idle.get(upstream.id, [])
        while candidate := _pop_usable(idle, request_id):
            connection = candidate.connection
            if not self._is_fresh(candidate, upstream.service):
                reason = OpenReason.IDLE_TOO_LONG
            elif connection.is_open_and_idle():
                self._record_reuse(candidate)
                return connection
            else:
                reason = OpenReason.CLOSED
            await connection.close()
        return await self._open(upstream, reason)

    def use_of(
        self, connection: connections.ClientConnection
    ) -> ConnectionUse:
        """Return the latest use of a connection."""
        return self._uses[connection]

    async def was_closed_while_idle(
        self,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> bool:
        """Determine why a connection was lost before any response.

        Explanation
        ===========

        An upstream that had closed an idle connection resets it at once and
        accepts a new one. An upstream that crashed on the request accepts
        none.

        :returns: whether the upstream had closed the idle connection
        """
        use = self._uses[connection]
        if use.idle_time is None:
            return False
        lost_after = self._clock.monotonic() - use.acquired_at
        if lost_after > _RESET_TIMEOUT:
            return False
        try:
            opened = await self._open(upstream, OpenReason.PROBE)
        except http_client.ConnectFailed:
            return False
        connect_time = self._clock.monotonic() - use.acquired_at - lost_after
        if lost_after <= connect_time * _RESET_ROUND_TRIPS:
            self._limits.record_lost_connection(
                upstream.service, use.idle_time
            )
        _log.info(
            'idle connection was closed by the upstream',
            extra={
                'upstream': upstream.id,
                'rested_ms': use.idle_time // _MILLISECOND,
                'lost_after_ms': lost_after // _MILLISECOND,
                'connect_ms': connect_time // _MILLISECOND,
            },
        )
        self._add_idle(upstream, opened)
        return True

    async def _open(
        self, upstream: directory.Upstream, reason: OpenReason
    ) -> connections.ClientConnection:
        self._registry.count('upstream_connections_total', reason=str(reason))
        connection = await connections.ClientConnection.open(
            upstream.address, CONNECT_TIMEOUT, names.REQUEST_ID
        )
        now = self._clock.monotonic()
        self._uses[connection] = ConnectionUse(now, now)
        return connection

    def _record_reuse(self, idle: _IdleConnection) -> None:
        now = self._clock.monotonic()
        opened_at = self._uses[idle.connection].opened_at
        self._uses[idle.connection] = ConnectionUse(
            opened_at, now, now - idle.since
        )

    async def release_connection(
        self,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> None:
        """Return a connection to the pool if it can be reused.

        Otherwise, or if the pool is full, the connection is closed.
        """
        idle = self._idle.get(upstream.id, [])
        if not connection.can_be_reused or len(idle) >= MAX_IDLE_CONNECTIONS:
            await connection.close()
            return
        use = self._uses[connection]
        if use.idle_time is not None:
            self._limits.record_reuse(upstream.service, use.idle_time)
        self._add_idle(upstream, connection)

    async def close_except(self, upstream_ids: set[str]) -> None:
        """Close idle connections to all upstreams but the given ones."""
        for upstream_id in self._idle.keys() - upstream_ids:
            for idle in self._idle.pop(upstream_id):
                await idle.connection.close()

    async def close_unusable(self) -> None:
        """Close idle connections that are not reused any more.

        An upstream may send data that belongs to no request. It would fill
        the buffer of a connection that stays idle.
        """
        unusable = [
            candidate
            for candidate in itertools.chain.from_iterable(self._idle.values())
            if not candidate.connection.is_open_and_idle()
        ]
        for idle in self._idle.values():
            idle[:] = [kept for kept in idle if kept not in unusable]
        for candidate in unusable:
            await candidate.connection.close()

    def _add_idle(
        self,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> None:
        idle = self._idle.setdefault(upstream.id, [])
        idle.append(_IdleConnection(connection, self._clock.monotonic()))

    def _is_fresh(self, idle: _IdleConnection, service: str) -> bool:
        limit = self._limits.limit(service)
        upstream_limit = idle.connection.idle_limit
        if upstream_limit is not None:
            limit = min(limit, upstream_limit * UPSTREAM_IDLE_LIMIT_SHARE)
        return self._clock.monotonic() - idle.since < limit
