"""Forwards a caller's operation to the owner of its program.

This is a component of each entry; it is unrelated to the gateway process in
:mod:`magnoliawood_server.gateway`.
"""

import collections.abc
import contextlib
import dataclasses
import datetime
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import identity
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import membership as memberships
from magnoliawood_server.entry import owner_service
from magnoliawood_server.entry import response_memory
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools
from magnoliawood_server.runtime import response_buffer as response_buffers

OWNER_WAIT = datetime.timedelta(seconds=10)
RETRY_INTERVAL = datetime.timedelta(milliseconds=100)
RETRY_AFTER = datetime.timedelta(seconds=2)
RESPONSE_TIMEOUT = datetime.timedelta(seconds=5)
_OWNER_CHANGED_CODES = frozenset(
    {errors.ErrorCode.NOT_OWNER, errors.ErrorCode.PEER_LOST}
)

ResponsePart = messages.Delta | messages.Finished
CallMessage = messages.RunCall | messages.ReadCall


class Gateway:
    """Runs operations locally or at the owner; retries if ownership moves."""

    def __init__(
        self,
        entry: str,
        service: owner_service.OwnerService,
        manager: shard_manager.ShardManager,
        membership: memberships.Membership,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        metrics: registries.Registry,
    ) -> None:
        self._entry = entry
        self._service = service
        self._shard_manager = manager
        self._membership = membership
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._responses = response_buffers.ResponseSender()
        self._local: dict[type, typing.Any] = {
            messages.OpenProgram: service.open,
            messages.GetProgram: self._get_program,
            messages.GetHistory: self._get_history,
            messages.EndProgram: self._end_program,
            messages.CancelCall: self._cancel_call,
        }

    async def request(self, message: typing.Any) -> typing.Any:
        """Run an operation that has a single reply.

        :raises MagnoliawoodError: as the owner does, or with
            ``owner_unavailable``
        """
        shard = _shard_of(message)
        retry = _OwnerRetry(self._clock)
        while True:
            try:
                return await self._request_owner(shard, message)
            except errors.MagnoliawoodError as error:
                await retry.wait_or_raise(error)
                self._metrics.count('reroutes_total', reason=error.code)

    async def response_parts(
        self,
        message: CallMessage,
        memory: response_memory.ResponseMemory,
    ) -> collections.abc.AsyncGenerator[ResponsePart]:
        """Yield the parts of a call's response, ending with the outcome.

        If the owner changes, the response continues at the new one from the
        offset that was reached.

        :param memory: takes the memory of each part as it arrives
        :raises MagnoliawoodError: as the owner does, with
            ``owner_unavailable``, or with ``host_overloaded`` if there is no
            memory for the response
        """
        offset = message.offset
        retry = _OwnerRetry(self._clock)
        while True:
            try:
                request = dataclasses.replace(message, offset=offset)
                async with contextlib.aclosing(
                    self._parts_from_owner(request, memory)
                ) as parts:
                    async for part in parts:
                        retry.reset_deadline()
                        yield part
                        if isinstance(part, messages.Finished):
                            return
                        offset += len(part.text)
            except errors.MagnoliawoodError as error:
                await retry.wait_or_raise(error)
                self._metrics.count('reroutes_total', reason=error.code)

    async def handle_peer(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        """Serve an operation that another entry forwarded."""
        if isinstance(message, messages.RunCall | messages.ReadCall):
            response_buffer = await self._local_response_buffer(message)
            await self._responses.send(stream, response_buffer, message.offset)
            return
        await stream.send(await self._run_local(message))

    def handles(self, message: typing.Any) -> bool:
        """Whether a message is an operation on a program."""
        return type(message) in self._local or isinstance(
            message, messages.RunCall | messages.ReadCall
        )

    async def _request_owner(
        self, shard: int, message: typing.Any
    ) -> typing.Any:
        owner = self._shard_manager.owner(shard)
        if owner == self._entry:
            return await self._run_local(message)
        return await self._pool.request(
            self._address(owner), message, RESPONSE_TIMEOUT
        )

    async def _parts_from_owner(
        self,
        message: CallMessage,
        memory: response_memory.ResponseMemory,
    ) -> collections.abc.AsyncGenerator[ResponsePart]:
        owner = self._shard_manager.owner(message.call.program.shard)
        if owner == self._entry:
            parts = self._local_parts(message, memory)
        else:
            parts = self._remote_parts(self._address(owner), message, memory)
        async with contextlib.aclosing(parts):
            async for part in parts:
                if isinstance(part, messages.Finished):
                    _raise_if_moved(part.outcome.code)
                yield part

    async def _local_parts(
        self,
        message: CallMessage,
        memory: response_memory.ResponseMemory,
    ) -> collections.abc.AsyncGenerator[ResponsePart]:
        response_buffer = await self._local_response_buffer(message)
        async with contextlib.aclosing(
            response_buffer.follow(message.offset)
        ) as texts:
            async for text in texts:
                yield messages.Delta(text, response_buffer.tokens)
        finished = messages.Finished(await response_buffer.wait())
        await memory.cover(finished)
        yield finished

    async def _remote_parts(
        self,
        address: str,
        message: CallMessage,
        memory: response_memory.ResponseMemory,
    ) -> collections.abc.AsyncGenerator[ResponsePart]:
        stream = await self._pool.open_stream(address)
        stream.limit_memory(memory.cover)
        try:
            await stream.send(message)
            while True:
                part = await stream.receive()
                yield part
                if isinstance(part, messages.Finished):
                    return
        finally:
            stream.close()

    def _address(self, owner: str) -> str:
        address = self._membership.address_of(owner)
        if not address:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.NOT_OWNER,
                'the program has no owner at present',
            )
        return address

    async def _local_response_buffer(
        self, message: CallMessage
    ) -> response_buffers.ResponseBuffer:
        if isinstance(message, messages.RunCall):
            return await self._service.run_call(message)
        return self._service.read_call(message.call)

    async def _run_local(self, message: typing.Any) -> typing.Any:
        return await self._local[type(message)](message)

    async def _get_program(
        self, message: messages.GetProgram
    ) -> messages.ProgramStatus:
        return self._service.status(message.program, message.sequence)

    async def _get_history(
        self, message: messages.GetHistory
    ) -> messages.History:
        return self._service.history(message.program)

    async def _end_program(
        self, message: messages.EndProgram
    ) -> messages.ProgramStatus:
        return await self._service.end(message.program, message.reason)

    async def _cancel_call(
        self, message: messages.CancelCall
    ) -> messages.Done:
        await self._service.cancel_call(message.call)
        return messages.Done()


class _OwnerRetry:
    """Retries of one operation until a deadline while ownership moves."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._verdict = verdicts.Verdict.NOT_RUN
        self.reset_deadline()

    def reset_deadline(self) -> None:
        self._deadline = self._clock.monotonic() + OWNER_WAIT

    async def wait_or_raise(self, error: errors.MagnoliawoodError) -> None:
        if error.code not in _OWNER_CHANGED_CODES:
            raise error
        if error.verdict is not verdicts.Verdict.NOT_RUN:
            self._verdict = verdicts.Verdict.MAY_HAVE_RUN
        if self._clock.monotonic() >= self._deadline:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.OWNER_UNAVAILABLE,
                'no owner of the program responded',
                self._verdict,
                RETRY_AFTER,
            ) from error
        await curio.sleep(RETRY_INTERVAL.total_seconds())


def _shard_of(message: typing.Any) -> int:
    key = getattr(message, 'program', None)
    if key is None:
        key = message.call.program
    assert isinstance(key, identity.ProgramKey)
    return key.shard


def _raise_if_moved(code: str) -> None:
    if code == errors.ErrorCode.NOT_OWNER:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.NOT_OWNER,
            'the program has moved to another owner',
            verdicts.Verdict.MAY_HAVE_RUN,
        )
