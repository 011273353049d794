"""Enforcement of budgets and storage of histories for turns.

A turn is a streaming request that has a token budget or a stored history.
"""

import collections.abc
import dataclasses
import datetime
import secrets

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.replication import quorum
from magnoliawood.routes import configuration as configurations
from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import pieces as turn_pieces
from magnoliawood.turns import records
from magnoliawood_server.gateway import record_client as record_clients
from magnoliawood_server.gateway import settlements
from magnoliawood_server.gateway import stream_guard
from magnoliawood_server.gateway import turn_cache
from magnoliawood_server.platform import requests

# The charges of a program are retained for this long at least after its last
# attempt was charged.
CHARGE_RETENTION = datetime.timedelta(minutes=2)
# Clocks of two hosts differ by less than this: a turn is stamped by the clock
# of a gateway and dropped by that of a keeper.
CLOCK_TOLERANCE = datetime.timedelta(seconds=5)
# Number of long turns that are stored at once. Each has some messages under
# way that hold a copy of a piece.
_LONG_WRITES = 2


async def _take_any(size: int) -> bool:
    return True


@dataclasses.dataclass(slots=True)
class Turn:
    """A turn that was admitted within its budget and may run.

    :param charge: maximum that the turn may spend, if it has a budget
    :param chain: turns that it continues; replicas may have dropped them by
        the time it ends
    :param retention_period: time for which the turn is stored, counted from
        before it is; zero if it is not stored
    :param account: name of the client account that owns it; empty if none
    :param is_settled: whether the tokens that it spent have been stored
    """

    request_id: str
    previous_id: str
    charge: records.ChargeRecord | None
    chain: quorum.Chain
    retention_period: datetime.timedelta
    account: str = ''
    is_settled: bool = False

    @property
    def history(self) -> bytes:
        """Text of the previous turns, sent before the input of this one."""
        return self.chain.body

    @property
    def history_parts(self) -> list[bytes]:
        """The history, not joined."""
        return self.chain.parts


def _ledger_id(program_id: str, account: str) -> str:
    """Return the name under which the charges of a program are stored.

    Programs of two accounts may have the same id.
    """
    return f'{account}/{program_id}' if account else program_id


def _retention_period(route: configurations.Route) -> datetime.timedelta:
    """Return how long a turn is stored; zero if it is not.

    Explanation
    ===========

    A turn is retained from the end of its response, which comes after its
    write and within the timeout of its route.
    """
    if not route.keeps_history:
        return datetime.timedelta()
    return route.history_period + route.timeout + CLOCK_TOLERANCE


def _charge_retention(route: configurations.Route) -> datetime.timedelta:
    """Return how long the charge of a turn is stored.

    A program may come back for as long as its turns are stored, and its
    budget applies to it until then.
    """
    return max(
        CHARGE_RETENTION,
        route.history_period + route.timeout + CLOCK_TOLERANCE,
    )


class TurnGuard:
    """Admits turns within their budget and stores those to be retained.

    :param cache_bytes: size limit of the cache of turns, if it is lower than
        the usual one
    """

    def __init__(
        self,
        client: record_clients.RecordClient,
        clock: clocks.Clock,
        cache_bytes: int | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._cache = turn_cache.TurnCache(cache_bytes)
        self._long_writes = curio.Semaphore(_LONG_WRITES)
        self._settlements = settlements.Settlements(client)

    async def admit(
        self,
        metadata: requests.RequestMetadata,
        route: configurations.Route,
        account: str = '',
        stream: stream_guard.StreamBinding | None = None,
        take_memory: record_clients.TakeMemory = _take_any,
        input_bytes: int = 0,
    ) -> Turn:
        """Charge the maximum that a turn may spend and read its history.

        :param account: name of the client account of the request; a turn of
            another account is unknown to it
        :param stream: stream of the turn, whose planned origin is stored
            with the charge
        :param take_memory: takes memory for the history and for the copy of
            the turn that is stored
        :param input_bytes: length of the new input
        :raises MagnoliawoodError: with ``budget_exhausted``,
            ``unknown_call``, ``store_unavailable``, ``host_overloaded`` or,
            for a turn with the id of one that it continues,
            ``malformed_request``; the turn must not run
        """
        if route.keeps_history:
            self._client.check_room(not metadata.previous_turn_id)
            if not await take_memory(input_bytes):
                raise record_clients.no_memory_error()
        chain_task = await curio.spawn(
            self._try_chain, metadata, route, account, take_memory
        )
        try:
            charge = await self._charge(metadata, route, account, stream)
        except BaseException:
            await chain_task.cancel()
            raise
        try:
            chain = await chain_task.join()
        except curio.CancelledError:
            await self._withdraw(charge)
            raise
        if isinstance(chain, errors.MagnoliawoodError):
            await self._withdraw(charge)
            raise chain
        return Turn(
            metadata.request_id,
            metadata.previous_turn_id,
            charge,
            chain,
            _retention_period(route),
            account,
        )

    async def store_turn(
        self,
        turn: Turn,
        input_bytes: bytes | bytearray,
        output: bytes | bytearray,
        tokens: int,
        deadline: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        """Store a turn that ended and the tokens that it spent.

        :param deadline: monotonic time up to which it is tried again
        :raises MagnoliawoodError: with ``store_unavailable``
        """
        new_records: list[records.Record] = []
        if turn.charge is not None:
            new_records.append(self._settlement(turn.charge, tokens))
        now = self._clock.now()
        pieces = turn_pieces.split(
            turn.request_id,
            turn.previous_id,
            input_bytes,
            output,
            (now + turn.retention_period).timestamp(),
            turn.account,
        )
        if len(pieces) == 1:
            await self._write(pieces[0], new_records, turn.chain, deadline)
        else:
            async with self._long_writes:
                await self._write_pieces(
                    pieces, new_records, turn.chain, deadline
                )
        turn.is_settled = True
        for piece in pieces:
            self._cache.add(piece)

    async def _write_pieces(
        self,
        pieces: collections.abc.Sequence[records.TurnRecord],
        new_records: list[records.Record],
        chain: quorum.Chain,
        deadline: datetime.timedelta,
    ) -> None:
        """Store the pieces of a long turn, the last one with its charge."""
        *first, last = pieces
        for piece in first:
            await self._write(piece, [], chain, deadline)
            chain = quorum.Chain(piece.turn_id, (piece, *chain.turns))
        await self._write(last, new_records, chain, deadline)

    async def _write(
        self,
        record: records.TurnRecord,
        new_records: list[records.Record],
        chain: quorum.Chain,
        deadline: datetime.timedelta,
    ) -> None:
        while True:
            try:
                await self._client.write_turn(record, new_records, chain.turns)
                return
            except errors.MagnoliawoodError as error:
                pause = error.retry_after
                if pause is None or self._clock.monotonic() + pause > deadline:
                    raise
            await curio.sleep(pause.total_seconds())

    async def settle(self, turn: Turn, tokens: int) -> None:
        """Start to store the tokens that a turn spent, in the background.

        Explanation
        ===========

        Until the settlement is stored the turn stays charged with its
        maximum, so correctness does not depend on when this happens.
        """
        if turn.charge is not None and not turn.is_settled:
            await self._settlements.add(self._settlement(turn.charge, tokens))

    async def flush(self) -> None:
        """Store the settlements that wait, before the process stops."""
        await self._settlements.flush()

    async def _charge(
        self,
        metadata: requests.RequestMetadata,
        route: configurations.Route,
        account: str,
        stream: stream_guard.StreamBinding | None,
    ) -> records.ChargeRecord | None:
        if metadata.budget_tokens is None or not metadata.program_id:
            return None
        program_id = _ledger_id(metadata.program_id, account)
        # A caller may send the same request id twice, so each attempt gets
        # its own charge.
        attempt_id = f'{metadata.request_id}.{secrets.token_hex(4)}'
        charge = records.ChargeRecord(
            program_id,
            attempt_id,
            metadata.output_tokens,
            False,
            (self._clock.now() + _charge_retention(route)).timestamp(),
        )
        planned = []
        if stream is not None and stream.planned is not None:
            planned.append(stream.planned)
        try:
            replicas = await self._client.charge(
                program_id, [charge, *planned]
            )
        except BaseException:
            await self._withdraw(charge)
            raise
        settled = [
            ledgers.Charge(item.attempt_id, item.tokens, item.is_settled)
            for item in self._settlements.of_program(program_id)
        ]
        decision = quorum.decide_budget(
            [*replicas, settled], metadata.budget_tokens
        )
        if decision.is_granted:
            if stream is not None:
                stream.mark_planned_stored()
            return charge
        await self._withdraw(charge)
        raise errors.MagnoliawoodError(
            errors.ErrorCode.BUDGET_EXHAUSTED,
            f'budget of {metadata.budget_tokens} tokens, '
            f'{decision.charged_tokens} charged by {decision.attempts} '
            f'attempts, {metadata.output_tokens} of them for this one',
        )

    async def _withdraw(self, charge: records.ChargeRecord | None) -> None:
        """Start to settle a charge at zero tokens; its turn will not run."""
        if charge is not None:
            await self._settlements.add(self._settlement(charge, 0))

    async def _try_chain(
        self,
        metadata: requests.RequestMetadata,
        route: configurations.Route,
        account: str,
        take_memory: record_clients.TakeMemory,
    ) -> quorum.Chain | errors.MagnoliawoodError:
        """Return the previous turns, or why they could not be read."""
        try:
            return await self._read_chain(
                metadata, route, account, take_memory
            )
        except errors.MagnoliawoodError as error:
            return error

    async def _read_chain(
        self,
        metadata: requests.RequestMetadata,
        route: configurations.Route,
        account: str,
        take_memory: record_clients.TakeMemory,
    ) -> quorum.Chain:
        if not route.keeps_history or not metadata.previous_turn_id:
            return quorum.Chain('')
        head_id = metadata.previous_turn_id
        chain = quorum.Chain(head_id).extend(self._cache.chain(head_id))
        if not await take_memory(sum(map(turn_cache.body_size, chain.turns))):
            raise record_clients.no_memory_error()
        if not chain.is_complete:
            chain = await self._client.read_chain(chain, take_memory)
            for turn in chain.turns:
                self._cache.add(turn)
        if any(turn.turn_id == metadata.request_id for turn in chain.turns):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST,
                f'turn {head_id} continues a turn with the id of this request',
            )
        if any(turn.account != account for turn in chain.turns):
            raise errors.MagnoliawoodError(
                errors.ErrorCode.UNKNOWN_CALL,
                f'turn {head_id} is of another client account',
            )
        return chain

    @staticmethod
    def _settlement(
        charge: records.ChargeRecord, tokens: int
    ) -> records.ChargeRecord:
        return dataclasses.replace(charge, tokens=tokens, is_settled=True)
