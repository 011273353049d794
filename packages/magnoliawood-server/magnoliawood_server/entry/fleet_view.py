"""State of all entries, collected by a request to each of them."""

import collections.abc
import dataclasses
import datetime
import heapq
import typing

import curio

from magnoliawood.core import errors
from magnoliawood.ownership import shard_map as shard_maps
from magnoliawood.platform import store
from magnoliawood.programs import call as calls
from magnoliawood.programs import program as programs
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import configuration_cache
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import owner_service
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

RESPONSE_TIMEOUT = datetime.timedelta(seconds=3)
STORE_AVAILABLE = 'available'

Reply = typing.TypeVar('Reply')


@dataclasses.dataclass(frozen=True, slots=True)
class EntryReplies(typing.Generic[Reply]):
    """Replies of all entries to one request.

    :param by_entry: replies by name of the entry
    :param missing: entries that did not reply, with the error
    """

    by_entry: dict[str, Reply]
    missing: dict[str, str]


class FleetView:
    """Reports the state of this entry and collects that of all entries.

    :param data_centre: data centre in which this entry runs
    """

    def __init__(
        self,
        entry: str,
        incarnation: str,
        data_centre: str,
        objects: store.ObjectStore,
        membership: memberships.Membership,
        manager: shard_manager.ShardManager,
        service: owner_service.OwnerService,
        programs_table: tables.ProgramTable,
        configuration: configuration_cache.ConfigurationCache,
        pool: pools.PeerPool,
        metrics: registries.Registry,
    ) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._data_centre = data_centre
        self._objects = objects
        self._membership = membership
        self._shard_manager = manager
        self._service = service
        self._programs = programs_table
        self._configuration = configuration
        self._pool = pool
        self._metrics = metrics
        self._local: dict[
            type,
            collections.abc.Callable[
                [typing.Any], collections.abc.Awaitable[typing.Any]
            ],
        ] = {
            messages.ListPrograms: self._list_programs,
            messages.ListCalls: self._list_calls,
            messages.GetEntryStatus: self._entry_status,
            messages.GetCounters: self._counters,
        }

    def handles(self, message: typing.Any) -> bool:
        """Whether a message requests the state of this entry."""
        return type(message) in self._local

    async def reply_to(self, message: typing.Any) -> typing.Any:
        """Return the reply to a message that `handles` accepts."""
        return await self._local[type(message)](message)

    async def request_all(
        self, message: typing.Any
    ) -> EntryReplies[typing.Any]:
        """Send a request to every entry on the host list and to this one."""
        replies = {self._entry: await self.reply_to(message)}
        missing: dict[str, str] = {}

        async def request(state: memberships.EntryState) -> None:
            name = state.host.name
            try:
                replies[name] = await self._pool.request(
                    state.host.address, message, RESPONSE_TIMEOUT
                )
            except errors.MagnoliawoodError as error:
                missing[name] = str(error)

        async with curio.TaskGroup() as group:
            for state in self._membership.other_entries():
                await group.spawn(request, state)
        return EntryReplies(dict(sorted(replies.items())), missing)

    async def request_owner(self, message: messages.ListCalls) -> typing.Any:
        """Send a request to the owner of a program.

        :raises MagnoliawoodError: with ``not_owner`` if the owner is not
            known
        """
        shard = message.program.shard
        owner = self._shard_manager.owner(shard)
        if owner == self._entry:
            return await self.reply_to(message)
        address = self._membership.address_of(owner)
        if not address:
            raise shard_manager.not_owner_error(shard)
        return await self._pool.request(address, message, RESPONSE_TIMEOUT)

    async def _list_calls(
        self, message: messages.ListCalls
    ) -> messages.CallPage:
        key = message.program
        if not self._shard_manager.serves(key.shard):
            raise shard_manager.not_owner_error(key.shard)
        newest = self._programs.get(key).calls[-message.limit :]
        return messages.CallPage([_summary(call) for call in newest])

    async def _list_programs(
        self, message: messages.ListPrograms
    ) -> messages.ProgramPage:
        matching_programs = (
            program
            for program in self._programs.all()
            if _matches(program, message)
            and self._shard_manager.serves(program.key.shard)
        )
        first_programs = heapq.nsmallest(
            message.limit,
            matching_programs,
            key=lambda program: str(program.key),
        )
        return messages.ProgramPage(
            [self._service.status(program.key) for program in first_programs]
        )

    async def _entry_status(
        self, message: messages.GetEntryStatus
    ) -> messages.EntryStatus:
        return messages.EntryStatus(
            self._entry,
            self._incarnation,
            self._data_centre,
            self._membership.is_leaving,
            await self._store_state(),
            self._shard_manager.map.version,
            self._configuration.current.version,
            len(self._shard_manager.map.owned_by(self._entry)),
            len(self._programs),
            self._service.calls_under_way,
        )

    async def _store_state(self) -> str:
        try:
            await self._objects.get(shard_maps.MAP_NAME)
        except errors.MagnoliawoodError as error:
            return str(error)
        return STORE_AVAILABLE

    async def _counters(
        self, message: messages.GetCounters
    ) -> messages.Counters:
        return messages.Counters(self._metrics.counters())


def _matches(
    program: programs.Program, message: messages.ListPrograms
) -> bool:
    state = 'ended' if program.is_ended else 'open'
    return (
        str(program.key) > message.after
        and message.caller in ('', program.key.caller)
        and message.work_class in ('', program.work_class)
        and message.state in ('', state)
    )


def _summary(call: calls.Call) -> messages.CallSummary:
    request = call.request
    if isinstance(request, calls.ModelRequest):
        kind, target = 'model', request.model
    else:
        kind, target = 'service', f'{request.service}/{request.operation}'
    outcome = call.outcome
    return messages.CallSummary(
        call.id.sequence,
        kind,
        target,
        call.state,
        call.upstream,
        call.attempt,
        str(outcome.verdict) if outcome else '',
        outcome.code if outcome else '',
        outcome.tokens if outcome else 0,
    )
