"""Keepers of one replica group in this process, without a network."""

import contextlib
import datetime

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import record_client
from magnoliawood_server.gateway import turn_guard
from magnoliawood_server.keeper import replica as replicas
from magnoliawood_server.keeper import service as services
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.platform import group_store
from magnoliawood_server.platform import requests

RETENTION = datetime.timedelta(seconds=60)
SECOND = datetime.timedelta(seconds=1)
ROUTE = configurations.Route(
    'turns',
    'app',
    '/',
    configurations.RequestKind.STREAMING,
    SECOND,
    SECOND,
    0,
    (configurations.ServiceShare('llm'),),
    1,
    keeps_history=True,
    history_period=RETENTION,
)


class _Stream:
    """Collects what a keeper sends."""

    def __init__(self):
        self.sent = []

    async def send(self, message):
        self.sent.append(message)


class Keepers:
    """A group of three keepers with disks below a folder.

    Messages to keepers in ``away`` are lost.

    :param clock: manual clock of all of them; their registry is one too
    """

    direct_timeout = datetime.timedelta(seconds=1)

    def __init__(self, folder, clock=None):
        self._folder = folder
        self.clock = clock or clocks.ManualClock()
        self.away = set()
        self.requested = []
        self.replicas = {}
        self.registry = registries.Registry()
        self._services = {}
        self._writers = {}
        for name in 'abc':
            self._load(name)
        self.group = groups.Group(
            1,
            1,
            tuple(
                groups.Member(replica.state.disk_id, name, name)
                for name, replica in self.replicas.items()
            ),
        )
        for replica in self.replicas.values():
            replica.update_group(self.group)

    @contextlib.asynccontextmanager
    async def running(self):
        """Write to the disks until the context ends."""
        for name in self.replicas:
            await self._start(name)
        yield self
        for name in self.replicas:
            await self._stop(name)

    async def restart(self, name):
        """End a keeper and start it again with its disk."""
        await self._stop(name)
        self._load(name)
        self.replicas[name].update_group(self.group)
        await self._start(name)

    async def clean(self):
        """Let all keepers drop expired records."""
        for replica in self.replicas.values():
            await replica.clean()

    def turn_ids(self, name):
        """Return the turns that a keeper stores."""
        return {
            record.turn_id for record in self.replicas[name].table.records()
        }

    def client(self):
        """Return a new client of the keepers."""
        return record_client.RecordClient(
            self, self, self.clock, self.registry
        )

    async def read(self):
        return group_store.StoredGroup(self.group, 1)

    async def begin(self, address, message, listener):
        return None

    async def request(self, address, message, timeout):
        self.requested.append((address, message))
        if address in self.away:
            raise connections.PeerLost(f'{address} is away')
        stream = _Stream()
        await self._services[address].serve(stream, message)
        return stream.sent[0]

    async def request_otherwise(self, address, message, timeout):
        return await self.request(address, message, timeout)

    def _load(self, name):
        replica = replicas.DiskReplica(self._folder / name, self.clock)
        self.replicas[name] = replica
        self._services[name] = services.KeeperService(
            replica, self.clock, self.registry
        )

    async def _stop(self, name):
        # Returns once what was sent before is written too.
        await self.replicas[name].write([])
        await self._writers[name].cancel()

    async def _start(self, name):
        self._writers[name] = await curio.spawn(
            self.replicas[name].run, daemon=True
        )


class Gateway:
    """Runs turns of one conversation after another against keepers.

    :param client: client of the keepers; a new one by default
    """

    def __init__(self, keepers, client=None):
        self._guard = turn_guard.TurnGuard(
            client or keepers.client(), keepers.clock
        )

    async def begin(self, turn_id, previous_id=''):
        """Admit a turn.

        :raises MagnoliawoodError: if its history cannot be read
        """
        headers = [(b'request-id', turn_id.encode())]
        if previous_id:
            headers.append((b'previous-turn', previous_id.encode()))
        return await self._guard.admit(
            requests.decode_request_metadata(headers), ROUTE
        )

    async def charge(self, turn_id, budget, route=ROUTE):
        """Admit a turn of 80 tokens at most of the program ``p``.

        :raises MagnoliawoodError: if the budget does not suffice
        """
        return await self._guard.admit(
            requests.decode_request_metadata(
                [
                    (b'request-id', turn_id.encode()),
                    (b'program-id', b'p'),
                    (b'token-budget', str(budget).encode()),
                    (b'token-usage', b'10,80'),
                ]
            ),
            route,
        )

    async def end(self, turn, deadline=datetime.timedelta()):
        """Store a turn that has ended.

        :param deadline: time up to which that is tried again
        """
        await self._guard.store_turn(
            turn, b'in', turn.request_id.encode(), 0, deadline
        )

    async def run(self, turn_id, previous_id=''):
        """Admit and store a turn, and return it."""
        turn = await self.begin(turn_id, previous_id)
        await self.end(turn)
        return turn
