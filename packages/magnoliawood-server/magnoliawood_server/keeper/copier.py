"""Completes this host's copy from the copies of the group before."""

import datetime
import logging

import curio

from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood_server.keeper import messages
from magnoliawood_server.keeper import replica as replicas
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import pool as pools

COPY_TIMEOUT = datetime.timedelta(seconds=3)

_log = logging.getLogger(__name__)


class Copier:
    """Copies records from other keepers.

    :param replica: the copy to complete
    """

    def __init__(
        self, replica: replicas.DiskReplica, pool: pools.PeerPool
    ) -> None:
        self._replica = replica
        self._pool = pool

    async def complete(self, group: groups.Group) -> bool:
        """Copy from as many disks as needed.

        :returns: whether the copy is complete now
        :raises OSError: if the disk refuses the records
        """
        self._replica.seal(group)
        async with curio.TaskGroup() as tasks:
            started = [
                await tasks.spawn(self._copy_from, group, source)
                for source in group.sources
            ]
        copied = sum(task.result for task in started)
        _log.info(
            'copied records',
            extra={
                'epoch': group.epoch,
                'sources': copied,
                'needed': group.sources_needed,
            },
        )
        if copied < group.sources_needed:
            return False
        await self._replica.mark_complete(group.epoch)
        return True

    async def _copy_from(
        self, group: groups.Group, source: groups.Member
    ) -> bool:
        state = self._replica.state
        if source.disk_id == state.disk_id:
            return state.copied_epoch >= source.since
        try:
            async with curio.timeout_after(COPY_TIMEOUT.total_seconds()):
                return await self._transfer(group, source)
        except (errors.MagnoliawoodError, curio.TaskTimeout) as error:
            _log.warning(
                'copy source lost',
                extra={'host': source.host, 'error': str(error)},
            )
            return False

    async def _transfer(
        self, group: groups.Group, source: groups.Member
    ) -> bool:
        stream = await self._pool.open_stream(source.address)
        try:
            await stream.send(messages.CopyAll(source.disk_id, group))
            status = await stream.receive()
            await self._receive_pages(stream)
            return status.copied_epoch >= source.since
        finally:
            stream.close()

    async def _receive_pages(self, stream: connections.Stream) -> None:
        while True:
            page = await stream.receive()
            if page.records:
                await self._replica.write_new(page.records)
            if page.is_last:
                return
