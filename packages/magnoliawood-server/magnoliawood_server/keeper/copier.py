"""Copies records to this host's replica from other replicas."""

import dataclasses
import datetime
import logging
import typing

import curio

from magnoliawood.core import errors
from magnoliawood.replication import group as groups
from magnoliawood_server.keeper import messages
from magnoliawood_server.keeper import replica as replicas
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import pool as pools

# A source that sends nothing for this long is given up. The whole copy has no
# limit: a larger one takes longer.
PROGRESS_TIMEOUT = datetime.timedelta(seconds=3)
# Pages of a source that wait for the disk of this host.
_MAX_WAITING_PAGES = 4

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _Progress:
    """What a copy has received so far."""

    records: int = 0
    bytes: int = 0


class Copier:
    """Copies missing records from other keepers to a replica.

    :param replica: replica to complete
    """

    def __init__(
        self, replica: replicas.DiskReplica, pool: pools.PeerPool
    ) -> None:
        self._replica = replica
        self._pool = pool

    async def complete(self, group: groups.Group) -> bool:
        """Copy the records of the sources of a group.

        :returns: whether enough sources were copied, so that the replica is
            complete now
        :raises OSError: if the records cannot be written to the disk
        """
        self._replica.seal(group)
        copied_sources = 0
        # Once enough sources are copied, none of the others is waited for.
        async with curio.TaskGroup(wait=None) as tasks:
            for source in group.sources:
                await tasks.spawn(self._copy_from_source, group, source)
            async for task in tasks:
                copied_sources += task.result
                if copied_sources >= group.sources_needed:
                    break
        _log.info(
            'records copied from source replicas',
            extra={
                'epoch': group.epoch,
                'sources': copied_sources,
                'needed': group.sources_needed,
                'is_complete': copied_sources >= group.sources_needed,
            },
        )
        if copied_sources < group.sources_needed:
            return False
        await self._replica.mark_complete(group.epoch)
        return True

    async def _copy_from_source(
        self, group: groups.Group, source: groups.Member
    ) -> bool:
        state = self._replica.state
        if source.disk_id == state.disk_id:
            return state.copied_epoch >= source.since
        progress = _Progress()
        fields = {'host': source.host, 'epoch': group.epoch}
        _log.info('copying from a source replica began', extra=fields)
        try:
            copied_epoch = await self._transfer(group, source, progress)
        except errors.MagnoliawoodError as error:
            _log.warning(
                'copying from a source replica failed',
                extra={
                    **fields,
                    **dataclasses.asdict(progress),
                    'error': str(error),
                },
            )
            return False
        is_complete = copied_epoch >= source.since
        _log.info(
            'copying from a source replica ended',
            extra={
                **fields,
                **dataclasses.asdict(progress),
                'is_source_complete': is_complete,
            },
        )
        return is_complete

    async def _transfer(
        self, group: groups.Group, source: groups.Member, progress: _Progress
    ) -> int:
        """Copy all records of a source; return its epoch."""
        stream = await self._pool.open_stream(source.address)
        stream.limit_waiting(_MAX_WAITING_PAGES)
        try:
            await stream.send(messages.CopyAll(source.disk_id, group))
            status = await _receive_in_time(stream)
            await self._receive_pages(stream, progress)
            return int(status.copied_epoch)
        finally:
            stream.close()

    async def _receive_pages(
        self, stream: connections.Stream, progress: _Progress
    ) -> None:
        while True:
            page = await _receive_in_time(stream)
            progress.records += len(page.records)
            progress.bytes += sum(map(len, page.records))
            if page.records:
                await self._replica.write_new(page.records)
            if page.is_last:
                return


async def _receive_in_time(stream: connections.Stream) -> typing.Any:
    """Return the next message of a source.

    :raises PeerLost: if the connection is lost or the source sends nothing
    """
    async with curio.ignore_after(PROGRESS_TIMEOUT.total_seconds()):
        return await stream.receive()
    raise connections.PeerLost('the source sent no part of its records')
