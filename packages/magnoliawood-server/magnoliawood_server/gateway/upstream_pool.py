"""Kept connections to upstreams."""

import dataclasses
import datetime

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory
from magnoliawood_server.http import connection as connections
from magnoliawood_server.platform import names

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# Idle connections that are kept to one upstream.
IDLE_CONNECTIONS = 16
# Longest idle time, whatever the upstream allows: it may close earlier.
IDLE_LIMIT = datetime.timedelta(seconds=5)
# Part of the upstream's own idle limit that is used.
IDLE_SHARE = 0.7


@dataclasses.dataclass(slots=True)
class _Idle:
    connection: connections.ClientConnection
    since: datetime.timedelta


class UpstreamPool:
    """Connections by incarnation of the upstream."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._idle: dict[str, list[_Idle]] = {}

    async def take(
        self, upstream: directory.Upstream
    ) -> connections.ClientConnection:
        """Return a connection that no other request uses.

        :raises ConnectFailed: if none could be made
        """
        idle = self._idle.get(upstream.id, [])
        while idle:
            candidate = idle.pop()
            if self._is_fresh(candidate) and candidate.connection.is_quiet():
                return candidate.connection
            await candidate.connection.close()
        return await connections.ClientConnection.open(
            upstream.address, CONNECT_TIMEOUT, names.REQUEST_ID
        )

    async def give_back(
        self,
        upstream: directory.Upstream,
        connection: connections.ClientConnection,
    ) -> None:
        """Keep a connection if its last exchange left it clean."""
        idle = self._idle.setdefault(upstream.id, [])
        if not connection.can_be_reused or len(idle) >= IDLE_CONNECTIONS:
            await connection.close()
            return
        idle.append(_Idle(connection, self._clock.monotonic()))

    async def drop_except(self, upstream_ids: set[str]) -> None:
        """Close the connections to upstreams that are gone."""
        for upstream_id in self._idle.keys() - upstream_ids:
            for idle in self._idle.pop(upstream_id):
                await idle.connection.close()

    def _is_fresh(self, idle: _Idle) -> bool:
        limit = IDLE_LIMIT
        allowed = idle.connection.idle_limit
        if allowed is not None:
            limit = min(limit, allowed * IDLE_SHARE)
        return self._clock.monotonic() - idle.since < limit
