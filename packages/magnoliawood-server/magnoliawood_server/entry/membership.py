"""Which hosts exist and which entries are alive."""

import dataclasses
import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

PROBE_INTERVAL = datetime.timedelta(milliseconds=400)
PROBE_TIMEOUT = datetime.timedelta(seconds=1)
HOSTS_INTERVAL = datetime.timedelta(milliseconds=500)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class EntryState:
    """Another entry as last heard of."""

    host: store.Host
    last_heard: datetime.timedelta
    reply: messages.ProbeReply | None = None


class Membership:
    """Probes the other entries and reads the platform's host list.

    :param suspicion: silence after which an entry counts as dead
    """

    def __init__(
        self,
        entry: str,
        objects: store.ObjectStore,
        pool: pools.PeerPool,
        sidecars: sidecar_directory.SidecarDirectory,
        clock: clocks.Clock,
        suspicion: datetime.timedelta,
    ) -> None:
        self._entry = entry
        self._objects = objects
        self._pool = pool
        self._sidecars = sidecars
        self._clock = clock
        self._suspicion = suspicion
        self._entries: dict[str, EntryState] = {}
        self.is_leaving = False
        self._is_host_list_known = False

    @property
    def is_ready(self) -> bool:
        """Whether the host list was read and each entry on it probed."""
        return self._is_host_list_known and all(
            state.reply is not None or not self._is_alive(state)
            for state in self._entries.values()
        )

    def address_of(self, entry: str) -> str:
        """Return the peer address of an entry, empty if unknown."""
        state = self._entries.get(entry)
        return state.host.address if state else ''

    def peers(self) -> list[store.Host]:
        """Return the other entries of the host list, dead ones too."""
        return [state.host for state in self._entries.values()]

    def is_alive(self, entry: str) -> bool:
        """Whether an entry was heard of lately."""
        if entry == self._entry:
            return True
        state = self._entries.get(entry)
        return state is not None and self._is_alive(state)

    def others(self) -> list[EntryState]:
        """Return the other entries on the host list."""
        return list(self._entries.values())

    def staying_entries(self) -> list[str]:
        """Return the live entries that may own shards."""
        others = [
            name
            for name, state in self._entries.items()
            if self._is_alive(state)
            and state.reply is not None
            and not state.reply.leaving
            and not state.host.leaving
        ]
        own = [] if self.is_leaving else [self._entry]
        return sorted([*others, *own])

    async def follow_hosts_forever(self) -> None:
        """Read the platform's host list again and again."""
        while True:
            try:
                self._update(await self._objects.hosts())
            except errors.MagnoliawoodError:
                _log.debug('host list not read')
            await curio.sleep(HOSTS_INTERVAL.total_seconds())

    async def probe_forever(self) -> None:
        """Probe the other entries again and again."""
        while True:
            async with curio.TaskGroup() as group:
                for state in list(self._entries.values()):
                    await group.spawn(self._probe, state)
            await curio.sleep(PROBE_INTERVAL.total_seconds())

    def _is_alive(self, state: EntryState) -> bool:
        silence = self._clock.monotonic() - state.last_heard
        return silence <= self._suspicion

    def _update(self, hosts: list[store.Host]) -> None:
        self._sidecars.update_hosts(hosts)
        self._is_host_list_known = True
        entries = {
            host.name: host
            for host in hosts
            if host.role == 'entry' and host.name != self._entry
        }
        for name in self._entries.keys() - entries.keys():
            del self._entries[name]
        for name, host in entries.items():
            known = self._entries.get(name)
            if known is None:
                now = self._clock.monotonic()
                self._entries[name] = EntryState(host, now)
            else:
                known.host = host

    async def _probe(self, state: EntryState) -> None:
        try:
            state.reply = await self._pool.ask(
                state.host.address,
                messages.Probe(self._entry),
                PROBE_TIMEOUT,
            )
        except errors.MagnoliawoodError:
            return
        state.last_heard = self._clock.monotonic()
