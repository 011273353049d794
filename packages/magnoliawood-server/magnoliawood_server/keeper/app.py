"""Assembles and runs the keeper process."""

import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.keeper import group_manager as group_managers
from magnoliawood_server.keeper import replica as replicas
from magnoliawood_server.keeper import service as services
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.platform import group_store as group_stores
from magnoliawood_server.platform import objects
from magnoliawood_server.platform import settings as settings_files
from magnoliawood_server.runtime import client_limits
from magnoliawood_server.runtime import listener as listeners
from magnoliawood_server.runtime import metrics_page
from magnoliawood_server.runtime import reload
from magnoliawood_server.runtime import stop

CLEAN_INTERVAL = datetime.timedelta(seconds=5)

_log = logging.getLogger(__name__)


class KeeperApp:
    """Keeper process: stores a replica of all records.

    It also takes part in the membership of the replica group.

    :param settings: settings of the host; the data folder must be set
    """

    def __init__(
        self, settings: settings_files.HostSettings, clock: clocks.Clock
    ) -> None:
        if settings.data_folder is None:
            raise ValueError(
                'the keeper requires a data folder, but none is set'
            )
        self._settings = settings
        self._clock = clock
        self._replica = replicas.DiskReplica(
            settings.data_folder, clock, _replica_limits(settings)
        )
        self._pool = pools.PeerPool(clock, None)
        self._registry = registries.Registry()

    async def run(self) -> int:
        """Serve until a stop signal arrives.

        :returns: exit code of the process
        """
        signals = stop.StopSignals()
        reloads = reload.ReloadSignals(settings_files.load, _ignore_settings)
        away = self._replica.time_away
        _log.info(
            'started',
            extra={
                'disk': self._replica.state.disk_id,
                'copied_epoch': self._replica.state.copied_epoch,
                'seconds_away': away and round(away.total_seconds(), 1),
            },
        )
        service = services.KeeperService(
            self._replica, self._clock, self._registry
        )
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._replica.run)
            await tasks.spawn(self._clean_forever)
            await tasks.spawn(
                listeners.peer_listener(
                    self._settings.peer_listen,
                    self._clock,
                    service.serve,
                    None,
                ).run
            )
            await tasks.spawn(self._group_manager().run)
            await tasks.spawn(reloads.run)
            await tasks.spawn(
                metrics_page.metrics_listener(
                    self._settings.metrics_listen, self._registry
                ).run
            )
            await tasks.spawn(signals.wait)
        _log.info('stopped')
        return int(stop.ExitCode.DRAINED)

    def _group_manager(self) -> group_managers.GroupManager:
        settings = self._settings
        member = groups.Member(
            self._replica.state.disk_id, settings.host, settings.peer_address
        )
        client = objects.StoreClient(settings.store)
        return group_managers.GroupManager(
            member,
            settings.losses,
            self._replica,
            group_stores.GroupStore(client),
            self._pool,
            self._clock,
        )

    async def _clean_forever(self) -> None:
        while True:
            await curio.sleep(CLEAN_INTERVAL.total_seconds())
            try:
                await self._replica.clean()
            except OSError as error:
                _log.error('disk clean-up failed', extra={'error': str(error)})


def _ignore_settings(settings: settings_files.HostSettings) -> None:
    """Ignore reloaded settings; a keeper has none that may change."""


def _replica_limits(
    settings: settings_files.HostSettings,
) -> replicas.ReplicaLimits:
    """Return the limits of a replica, derived from those of its host."""
    shares = client_limits.load(client_limits.KeeperLimits)
    memory = settings.memory_bytes or client_limits.DEFAULT_MEMORY_BYTES
    return replicas.ReplicaLimits(
        int(memory * shares.body_memory_share),
        int(memory * shares.waiting_memory_share),
        int(settings.disk_bytes * shares.disk_share),
        int(memory * shares.index_memory_share),
        shares.first_turn_share,
        shares.next_turn_share,
    )
