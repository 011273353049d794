"""Kept connections to upstreams."""

import dataclasses
import datetime
import logging
import weakref

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory
from magnoliawood.limits import idle_limit
from magnoliawood_server.http import client as http_client
from magnoliawood_server.http import connection as connections
from magnoliawood_server.platform import names

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# Idle connections that are kept to one upstream.
IDLE_CONNECTIONS = 16
# Part of the upstream's own idle limit that is used.
IDLE_SHARE = 0.7
# A connection that was forgotten is reset as soon as something is sent on
# it; a request that ends its upstream may take longer.
_RESET_LIMIT = datetime.timedelta(milliseconds=100)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Idle:
    connection: connections.ClientConnection
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Reuse:
    """When a kept connection was taken, and how long it had rested."""

    at: datetime.timedelta
    idle_time: datetime.timedelta


class UpstreamPool:
    """Connections by incarnation of the upstream."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._limits = idle_limit.IdleLimits(clock)
        self._idle: dict[str, list[_Idle]] = {}
        self._reused: weakref.WeakKeyDictionary[
            connections.ClientConnection, _Reuse
        ] = weakref.WeakKeyDictionary()

    async def acquire(
        self, upstream: directory.Upstream
    ) -> connections.ClientConnection:
        """Return a connection that no other request uses.

        :raises ConnectFailed: if none could be made
        """
        idle = self._idle.get(upstream.id, [])
        while idle:
            candidate = idle.pop()
            connection = candidate.connection
            is_fresh = self._is_fresh(candidate, upstream.service)
            if is_fresh and connection.is_open_and_idle():
                now = self._clock.monotonic()
                self._reused[connection] = _Reuse(now, now - candidate.since)
                return connection
            await connection.close()
        return await self._open(upstream)

    async def was_closed_while_idle(
        self,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> bool:
        """Find out why a connection was lost before any answer.

        Explanation
        ===========

        An upstream that forgot an idle connection resets it at once and
        takes a new one. One that the request has ended takes none.

        :returns: whether the upstream had forgotten the connection
        """
        reuse = self._reused.get(connection)
        if reuse is None:
            return False
        if self._clock.monotonic() - reuse.at > _RESET_LIMIT:
            return False
        try:
            opened = await self._open(upstream)
        except http_client.ConnectFailed:
            return False
        self._limits.record_lost_connection(upstream.service, reuse.idle_time)
        _log.info(
            'idle connection was forgotten',
            extra={
                'upstream': upstream.id,
                'rested_ms': reuse.idle_time
                // datetime.timedelta(milliseconds=1),
            },
        )
        self._keep(upstream, opened)
        return True

    @staticmethod
    async def _open(
        upstream: directory.Upstream,
    ) -> connections.ClientConnection:
        return await connections.ClientConnection.open(
            upstream.address, CONNECT_TIMEOUT, names.REQUEST_ID
        )

    async def release_connection(
        self,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> None:
        """Keep a connection if its last exchange left it clean."""
        self._reused.pop(connection, None)
        idle = self._idle.get(upstream.id, [])
        if not connection.can_be_reused or len(idle) >= IDLE_CONNECTIONS:
            await connection.close()
            return
        self._keep(upstream, connection)

    async def close_except(self, upstream_ids: set[str]) -> None:
        """Close the connections to upstreams that are gone."""
        for upstream_id in self._idle.keys() - upstream_ids:
            for idle in self._idle.pop(upstream_id):
                await idle.connection.close()

    def _keep(
        self,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> None:
        idle = self._idle.setdefault(upstream.id, [])
        idle.append(_Idle(connection, self._clock.monotonic()))

    def _is_fresh(self, idle: _Idle, service: str) -> bool:
        limit = self._limits.limit(service)
        allowed = idle.connection.idle_limit
        if allowed is not None:
            limit = min(limit, allowed * IDLE_SHARE)
        return self._clock.monotonic() - idle.since < limit
