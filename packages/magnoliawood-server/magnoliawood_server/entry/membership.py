"""Host list of the platform and liveness of the other entries."""

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
    """Host, last probe reply and time of last contact of another entry."""

    host: store.Host
    last_response_at: datetime.timedelta
    reply: messages.ProbeReply | None = None
    is_probing: bool = False


def map_version_of(state: EntryState) -> int:
    """Return the shard map version in an entry's last probe reply, or 0."""
    return state.reply.map_version if state.reply is not None else 0


class Membership:
    """Failure detector for entries; also follows the platform's host list.

    :param suspicion: time without a probe reply after which an entry is
        considered dead
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
        self._hosts: list[store.Host] = []

    @property
    def hosts(self) -> list[store.Host]:
        """The most recently read host list."""
        return self._hosts

    @property
    def is_host_list_known(self) -> bool:
        """Whether a host list was read or received from another entry."""
        return self._is_host_list_known

    def bootstrap_hosts(self, hosts: list[store.Host]) -> None:
        """Use another entry's host list if none was read yet."""
        if hosts and not self._is_host_list_known:
            self._update(hosts)

    def newest_configuration(self) -> tuple[int, str]:
        """Return the highest configuration version in any probe reply.

        :returns: version and address of the entry that has it; 0 and an
            empty address before the first reply
        """
        return max(
            (
                (state.reply.configuration_version, state.host.address)
                for state in self._entries.values()
                if state.reply is not None
            ),
            default=(0, ''),
        )

    @property
    def is_ready(self) -> bool:
        """Whether the host list was read and each live entry has replied."""
        return self._is_host_list_known and all(
            state.reply is not None or not self._is_alive(state)
            for state in self._entries.values()
        )

    def address_of(self, entry: str) -> str:
        """Return the peer address of an entry, or an empty string."""
        state = self._entries.get(entry)
        return state.host.address if state else ''

    def peers(self) -> list[store.Host]:
        """Return the hosts of the other entries, including dead ones."""
        return [state.host for state in self._entries.values()]

    def is_alive(self, entry: str) -> bool:
        """Whether an entry replied within the suspicion period."""
        if entry == self._entry:
            return True
        state = self._entries.get(entry)
        return state is not None and self._is_alive(state)

    @property
    def unresponsive_count(self) -> int:
        """Number of entries without a reply for two probe intervals."""
        now = self._clock.monotonic()
        return sum(
            now - state.last_response_at > 2 * PROBE_INTERVAL
            for state in self._entries.values()
        )

    def other_entries(self) -> list[EntryState]:
        """Return the states of the other entries on the host list."""
        return list(self._entries.values())

    def eligible_entries(self) -> list[str]:
        """Return the sorted names of the live entries that may own shards."""
        others = [
            name
            for name, state in self._entries.items()
            if self._is_alive(state)
            and state.reply is not None
            and not state.reply.leaving
            and not state.host.leaving
        ]
        this_entry = [] if self.is_leaving else [self._entry]
        return sorted([*others, *this_entry])

    async def follow_hosts_forever(self) -> None:
        """Read the platform's host list periodically."""
        while True:
            try:
                self._update(await self._objects.hosts())
            except errors.MagnoliawoodError:
                _log.debug('could not read the host list')
            await curio.sleep(HOSTS_INTERVAL.total_seconds())

    async def probe_forever(self) -> None:
        """Probe the other entries periodically."""
        while True:
            # Probes run concurrently so that a slow entry does not delay the
            # others.
            for state in list(self._entries.values()):
                if not state.is_probing:
                    state.is_probing = True
                    await curio.spawn(self._probe, state, daemon=True)
            await curio.sleep(PROBE_INTERVAL.total_seconds())

    async def probe_all(self) -> None:
        """Probe the other entries once and wait for all results."""
        async with curio.TaskGroup() as group:
            for state in self.other_entries():
                await group.spawn(self._probe, state)

    def _is_alive(self, state: EntryState) -> bool:
        since_response = self._clock.monotonic() - state.last_response_at
        return since_response <= self._suspicion

    def _update(self, hosts: list[store.Host]) -> None:
        self._sidecars.update_hosts(hosts)
        self._is_host_list_known = True
        self._hosts = hosts
        entries = {
            host.name: host
            for host in hosts
            if host.role == 'entry' and host.name != self._entry
        }
        for name in self._entries.keys() - entries.keys():
            del self._entries[name]
        for name, host in entries.items():
            existing = self._entries.get(name)
            if existing is None:
                now = self._clock.monotonic()
                self._entries[name] = EntryState(host, now)
            else:
                existing.host = host

    async def _probe(self, state: EntryState) -> None:
        try:
            state.reply = await self._pool.request_with_retry(
                state.host.address,
                messages.Probe(self._entry),
                PROBE_TIMEOUT,
            )
            state.last_response_at = self._clock.monotonic()
        except errors.MagnoliawoodError:
            _log.debug(
                'entry did not reply to the probe',
                extra={'entry': state.host.name},
            )
        finally:
            state.is_probing = False
