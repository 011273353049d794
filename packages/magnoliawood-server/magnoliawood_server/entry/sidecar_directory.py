"""What an entry knows of the sidecars and their upstreams."""

import dataclasses
import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood.scheduling import routing
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

POLL_INTERVAL = datetime.timedelta(milliseconds=500)
ANSWER_TIMEOUT = datetime.timedelta(seconds=1)
RETRY_AFTER = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Sidecar:
    """One sidecar as last heard of.

    :param orders: orders of this entry that are under way there
    """

    host: store.Host
    reply: messages.HelloReply | None = None
    is_reachable: bool = False
    orders: int = 0

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.host.name

    @property
    def is_usable(self) -> bool:
        """Whether it may receive new work."""
        return (
            self.is_reachable
            and not self.host.leaving
            and self.reply is not None
            and not self.reply.leaving
        )

    def serves(self, kind: str, name: str) -> bool:
        """Whether its upstream is of a kind and serves a name."""
        reply = self.reply
        return reply is not None and reply.kind == kind and name in reply.names


class SidecarDirectory:
    """Sidecars by host name, refreshed in the background."""

    def __init__(
        self, entry: str, pool: pools.PeerPool, clock: clocks.Clock
    ) -> None:
        self._entry = entry
        self._pool = pool
        self._clock = clock
        self._sidecars: dict[str, Sidecar] = {}

    def all(self) -> list[Sidecar]:
        """Return all known sidecars."""
        return list(self._sidecars.values())

    def find(self, name: str) -> Sidecar | None:
        """Return a sidecar by host name."""
        return self._sidecars.get(name)

    def update_hosts(self, hosts: list[store.Host]) -> None:
        """Take over the platform's host list."""
        listed = {host.name: host for host in hosts if host.role == 'sidecar'}
        for name in self._sidecars.keys() - listed.keys():
            del self._sidecars[name]
        for name, host in listed.items():
            known = self._sidecars.get(name)
            if known is None or known.host.address != host.address:
                self._sidecars[name] = Sidecar(host)
            else:
                known.host = host

    def reachable(self, kind: str, name: str) -> list[Sidecar]:
        """Return the sidecars that answer, also beside lost upstreams."""
        return [s for s in self.all() if s.serves(kind, name) and s.is_usable]

    def candidates(self, kind: str, name: str) -> list[Sidecar]:
        """Return the usable sidecars whose upstream serves a name.

        :raises MagnoliawoodError: with ``unknown_model``,
            ``unknown_service`` or ``upstream_unavailable``
        """
        serving = [s for s in self.all() if s.serves(kind, name)]
        if not serving:
            raise _unknown(kind, name)
        usable = [sidecar for sidecar in serving if sidecar.is_usable]
        if not usable:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UPSTREAM_UNAVAILABLE,
                f'no upstream that serves {name} is available',
                retry_after=RETRY_AFTER,
            )
        up = [sidecar for sidecar in usable if sidecar.reply.upstream_up]
        return up or usable

    def served_names(self, kind: str) -> list[str]:
        """Return the names that upstreams of a kind serve."""
        return sorted(
            {
                name
                for sidecar in self.all()
                if sidecar.reply is not None and sidecar.reply.kind == kind
                for name in sidecar.reply.names
            }
        )

    async def poll_forever(self) -> None:
        """Ask each sidecar what it stands beside, again and again."""
        while True:
            async with curio.TaskGroup() as group:
                for sidecar in self.all():
                    await group.spawn(self.poll, sidecar)
            await curio.sleep(POLL_INTERVAL.total_seconds())

    async def poll(self, sidecar: Sidecar) -> None:
        """Ask one sidecar what it stands beside."""
        try:
            sidecar.reply = await self._pool.ask(
                sidecar.host.address,
                messages.Hello(self._entry),
                ANSWER_TIMEOUT,
            )
            is_reachable = True
        except errors.MagnoliawoodError:
            is_reachable = False
        if is_reachable != sidecar.is_reachable:
            sidecar.is_reachable = is_reachable
            _log.info(
                'sidecar reachability changed',
                extra={'sidecar': sidecar.name, 'reachable': is_reachable},
            )


def view_of(sidecar: Sidecar) -> routing.UpstreamView:
    """Return what routing needs to know of a sidecar."""
    reply = sidecar.reply
    waiting = sidecar.orders if reply is None else reply.waiting
    return routing.UpstreamView(
        sidecar.name,
        sidecar.host.data_centre,
        max(waiting, sidecar.orders),
        0.0,
    )


def _unknown(kind: str, name: str) -> errors.MagnoliawoodError:
    if kind == 'engine':
        code = errors.ErrorCode.UNKNOWN_MODEL
    else:
        code = errors.ErrorCode.UNKNOWN_SERVICE
    return errors.MagnoliawoodError(
        code, f'no upstream serves {name}', retry_after=RETRY_AFTER
    )
