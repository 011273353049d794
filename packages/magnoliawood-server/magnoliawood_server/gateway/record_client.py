"""Client that reads and writes records on the replica group."""

import collections.abc
import datetime
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.limits import circuit_breaker
from magnoliawood.replication import group as groups
from magnoliawood.replication import quorum
from magnoliawood.telemetry import registry as registries
from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records
from magnoliawood_server.gateway import chain_writes
from magnoliawood_server.gateway import group_requests
from magnoliawood_server.gateway import quorum_calls
from magnoliawood_server.gateway import record_room
from magnoliawood_server.keeper import messages
from magnoliawood_server.platform import group_store as group_stores

# Used for probes; no program has this id.
_PROBE_PROGRAM_ID = ''
# Number of long chains that are read at once, beyond their first part.
_LONG_READS = 2
# Retry delay where the clients of this process hold all memory they may.
_NO_MEMORY_RETRY_AFTER = datetime.timedelta(milliseconds=500)

TakeMemory = collections.abc.Callable[[int], collections.abc.Awaitable[bool]]


def no_memory_error() -> errors.MagnoliawoodError:
    """Return the error for a turn that finds no memory; it has not run."""
    return errors.MagnoliawoodError(
        errors.ErrorCode.HOST_OVERLOADED,
        'clients hold all memory that they may',
        retry_after=_NO_MEMORY_RETRY_AFTER,
    )


class RecordClient:
    """Reads and writes records on quorums of the replica group.

    :param store: store that holds the agreed replica group
    :param requester: sends messages to keepers
    :param registry: counts what could not be read or stored
    """

    def __init__(
        self,
        store: group_stores.GroupStore,
        requester: quorum_calls.RoundRequester,
        clock: clocks.Clock,
        registry: registries.Registry | None = None,
    ) -> None:
        self._requester = requester
        self._clock = clock
        self._registry = registry or registries.Registry()
        self._long_reads = curio.Semaphore(_LONG_READS)
        self._room = record_room.RecordRoom(self._registry, clock)
        self._requests = group_requests.GroupRequester(
            store, requester, clock, self._registry
        )

    @property
    def group(self) -> groups.Group | None:
        """The newest known replica group, if any."""
        return self._requests.group

    @property
    def is_reachable(self) -> bool:
        """Whether the last operations reached a quorum of replicas."""
        return self._requests.is_reachable

    def check_room(self, is_first: bool) -> None:
        """Check that the replicas have room for the record of a turn.

        :param is_first: whether the turn is the first one of a program
        :raises MagnoliawoodError: with ``store_unavailable``; the turn must
            not run
        """
        self._room.check(is_first)

    def update_group(self, group: groups.Group | None) -> None:
        """Set the replica group if its epoch is newer than the known one."""
        self._requests.update_group(group)

    async def refresh(self) -> None:
        """Read the replica group, unless it was read within the interval."""
        await self._requests.refresh()

    async def write(
        self, new_records: collections.abc.Iterable[records.Record]
    ) -> None:
        """Store records on a write quorum of disks.

        Explanation
        ===========

        A write quorum has more disks than may fail at once, so that the
        records survive.

        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks confirmed the records; they may be stored nevertheless
        """
        await self._write(new_records, sends_to_all=True)

    async def write_turn(
        self,
        turn: records.TurnRecord,
        other_records: collections.abc.Iterable[records.Record],
        chain: collections.abc.Sequence[records.TurnRecord],
    ) -> None:
        """Store a turn, with its whole chain, on a write quorum of disks.

        Explanation
        ===========

        The turn has run, so a change of the group is waited for: while its
        size changes, each of its replicas is incomplete for a moment.

        :param other_records: records to store with it
        :param chain: turns that it continues, the newest first, for disks
            that lack some of them
        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks confirmed the records; they may be stored nevertheless
        """
        await self._write(
            [*other_records, turn],
            sends_to_all=True,
            requester=chain_writes.ChainRequester(
                self._requester, turn, chain
            ),
            waits_for_change=True,
        )

    async def charge(
        self,
        program_id: str,
        new_records: collections.abc.Iterable[records.Record],
    ) -> list[list[ledgers.Charge]]:
        """Store the charge of an attempt and return those of its program.

        Explanation
        ===========

        One round to a quorum suffices if its replies decide; otherwise the
        charges are read once more, now that the new one is stored. If the
        disks still list different charges, a write quorum is sent all of
        them: a disk drops the charges of a program by the last one that it
        stores itself, so those that have the newest need all before it.

        :param program_id: program that is charged
        :param new_records: the charge, and records to store with it
        :returns: charges of the program, by disk
        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks confirmed the records; they may be stored nevertheless
        """
        new_records = list(new_records)
        entries = [records.encode(record) for record in new_records]

        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.WriteRecords(
                epoch, member.disk_id, entries, program_id
            )

        replies = await self._requests.request(
            make_request,
            lambda group: group.meeting_quorum,
            sends_to_all=False,
            key=program_id,
        )
        listed = [
            reply.charges for reply in replies if reply.charges is not None
        ]
        if len(listed) == len(replies) and quorum.is_round_decisive(listed):
            return listed
        read = [reply.charges for reply in await self.read_charges(program_id)]
        if not quorum.is_round_decisive(read):
            await self._write(
                quorum.merged_charges(program_id, read, new_records),
                sends_to_all=False,
                key=program_id,
            )
        return [*listed, *read]

    async def settle(self, *settlements: records.ChargeRecord) -> None:
        """Store the tokens that attempts have spent.

        Explanation
        ===========

        Settlements are sent only to as many disks as a write quorum needs.
        An attempt without a settlement stays charged with the maximum that
        it may spend, so a lost settlement cannot make it exceed its budget.

        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks confirmed them
        """
        await self._write(settlements, sends_to_all=False)

    async def read_charges(self, program_id: str) -> list[messages.Charges]:
        """Return the charges of a program from each disk of a read quorum.

        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks replied
        """

        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.ReadCharges(epoch, member.disk_id, program_id)

        return await self._requests.request(
            make_request, lambda group: group.read_quorum, sends_to_all=False
        )

    async def read_chain(
        self, chain: quorum.Chain, take_memory: TakeMemory | None = None
    ) -> quorum.Chain:
        """Return a chain with its missing turns read from the replicas.

        :param take_memory: takes the memory of the turns that are read
        :raises MagnoliawoodError: with ``unknown_call`` if the head of the
            chain certainly does not exist any more, with
            ``store_unavailable`` if too few disks replied to decide, or if
            they lack a turn that a retained one continues, with
            ``host_overloaded`` if there is no memory for it
        """
        chain = await self._extend(chain, take_memory)
        while not chain.is_complete:
            # A reply holds all of an ordinary chain.
            async with self._long_reads:
                chain = await self._extend(chain, take_memory)
        return chain

    async def _extend(
        self, chain: quorum.Chain, take_memory: TakeMemory | None
    ) -> quorum.Chain:
        """Return a chain with what one reply of the replicas holds of it."""
        missing_id = chain.missing_id
        if not missing_id:
            return chain
        try:
            replies = await self._read_turns(missing_id)
        except errors.MagnoliawoodError:
            self._count_unread('no_quorum')
            raise
        extended = chain.extend(_longest(replies))
        if extended.missing_id == missing_id:
            raise self._missing_turn(extended, len(replies))
        new = extended.turns[len(chain.turns) :]
        size = sum(len(part) for turn in new for part in turn.parts)
        if take_memory is not None and not await take_memory(size):
            raise no_memory_error()
        return extended

    def _missing_turn(
        self, chain: quorum.Chain, disks: int
    ) -> errors.MagnoliawoodError:
        """Return the error for a chain that could not be read.

        :param disks: number of disks that replied and lack the turn
        """
        epoch = self.group.epoch if self.group else 0
        lacking = (
            f'{disks} disks of epoch {epoch} lack turn {chain.missing_id}'
        )
        if not chain.turns:
            self._count_unread('absent')
            return errors.MagnoliawoodError(
                errors.ErrorCode.UNKNOWN_CALL, lacking
            )
        left = chain.turns[0].expires_at - self._clock.now().timestamp()
        if left <= 0:
            self._count_unread('expired')
            return errors.MagnoliawoodError(
                errors.ErrorCode.UNKNOWN_CALL,
                f'{lacking}; {chain.head_id}, which continues it, expired '
                f'{-left:.3f} s ago',
            )
        self._count_unread('gap')
        return errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE,
            f'{lacking}, but {chain.head_id}, which continues it, is '
            f'retained for {left:.3f} s',
            retry_after=group_requests.RETRY_AFTER,
        )

    def _count_unread(self, cause: str) -> None:
        self._registry.count('unread_chains_total', cause=cause)

    async def read_stream(self, stream_id: str) -> list[records.StreamRecord]:
        """Return the origins of a stream on the disks of a read quorum.

        :raises MagnoliawoodError: with ``store_unavailable`` if too few
            disks replied
        """

        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.ReadStream(epoch, member.disk_id, stream_id)

        replies = await self._requests.request(
            make_request, lambda group: group.read_quorum, sends_to_all=False
        )
        decoded = [
            records.decode(reply.record)
            for reply in replies
            if reply.record is not None
        ]
        return [
            record
            for record in decoded
            if isinstance(record, records.StreamRecord)
        ]

    async def probe_forever(self) -> None:
        """Probe the replicas periodically while they are unreachable.

        Explanation
        ===========

        A gateway that cannot reach a quorum reports that it is not ready. It
        may then receive no request that would detect the recovery. While the
        replicas have little room, they are asked how much by a write without
        records.
        """
        while True:
            await curio.sleep(circuit_breaker.PROBE_INTERVAL.total_seconds())
            try:
                if not self.is_reachable:
                    await self.read_charges(_PROBE_PROGRAM_ID)
                elif self._room.is_scarce:
                    await self._write((), sends_to_all=True)
            except errors.MagnoliawoodError:
                continue

    async def _write(
        self,
        new_records: collections.abc.Iterable[records.Record],
        sends_to_all: bool,
        key: str = '',
        requester: quorum_calls.RoundRequester | None = None,
        waits_for_change: bool = False,
    ) -> None:
        entries = [records.encode(record) for record in new_records]

        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.WriteRecords(epoch, member.disk_id, entries)

        try:
            replies = await self._requests.request(
                make_request,
                lambda group: group.write_quorum,
                sends_to_all=sends_to_all,
                key=key,
                requester=requester,
                waits_for_change=waits_for_change,
            )
        except group_requests.ReplicasFull:
            self._room.record_full()
            raise
        self._room.record(replies)

    async def _read_turns(
        self, turn_id: str
    ) -> list[list[records.TurnRecord]]:
        """Return a turn and those before it, from each disk that replied."""

        def make_request(member: groups.Member, epoch: int) -> typing.Any:
            return messages.ReadChain(epoch, member.disk_id, turn_id)

        replies = await self._requests.request(
            make_request,
            lambda group: group.read_quorum,
            is_final=lambda reply: bool(reply.records),
            sends_to_all=False,
        )
        return [_decode_turns(reply.records) for reply in replies]


def _decode_turns(
    entries: collections.abc.Iterable[bytes],
) -> list[records.TurnRecord]:
    decoded = map(records.decode, entries)
    return [
        record for record in decoded if isinstance(record, records.TurnRecord)
    ]


def _longest(
    chains: collections.abc.Iterable[list[records.TurnRecord]],
) -> list[records.TurnRecord]:
    return max(chains, key=len)
