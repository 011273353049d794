"""Completes the chain of a turn on keepers that lack a part of it.

A keeper confirms a turn only if it stores all turns that the new one
continues. One that was away lacks some of them, and one that dropped expired
turns while a turn ran may lack all. The gateway that writes the turn holds
its chain and sends what is missing.
"""

import collections.abc
import dataclasses
import datetime
import logging
import typing

import curio

from magnoliawood.core import errors
from magnoliawood.turns import records
from magnoliawood_server.gateway import group_requests
from magnoliawood_server.gateway import quorum_calls
from magnoliawood_server.keeper import messages

_log = logging.getLogger(__name__)


class ChainRequester:
    """Sends the write of one turn, and before it what a keeper lacks.

    :param requester: sends messages to keepers
    :param turn: the turn that is written
    :param chain: turns that it continues, the newest first
    """

    def __init__(
        self,
        requester: quorum_calls.RoundRequester,
        turn: records.TurnRecord,
        chain: collections.abc.Sequence[records.TurnRecord],
    ) -> None:
        self._requester = requester
        self._turn = turn
        self._chain = chain

    @property
    def direct_timeout(self) -> datetime.timedelta:
        """Time after which a request is sent in another way."""
        return self._requester.direct_timeout

    async def begin(
        self,
        address: str,
        message: messages.WriteRecords,
        listener: quorum_calls.ReplyListener,
    ) -> quorum_calls.OpenRequest | None:
        """Send the write; its reply or error is passed to a listener.

        :returns: ``None`` if it was not sent, since that needs waiting
        """
        write = _OpenWrite(self, address, message, listener)
        write.request = await self._requester.begin(
            address, message, write.listen
        )
        return None if write.request is None else write

    async def request(
        self,
        address: str,
        message: messages.WriteRecords,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send the write and return the reply.

        :raises MagnoliawoodError: if the keeper rejects it or does not
            respond
        """
        return await self._send(
            self._requester.request, address, message, timeout
        )

    async def request_otherwise(
        self,
        address: str,
        message: messages.WriteRecords,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send the write again, which was lost or had no reply in time.

        :raises MagnoliawoodError: if the keeper rejects it or there is no
            other way to it
        """
        return await self._send(
            self._requester.request_otherwise, address, message, timeout
        )

    async def complete(
        self,
        address: str,
        message: messages.WriteRecords,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        """Send the part of the chain that a keeper lacks, then the write.

        Explanation
        ===========

        The oldest turns are sent first, so the keeper always stores whole
        chains. They get the expiry of the turn that continues them;
        otherwise the keeper could drop them before the last one arrives.

        :raises MagnoliawoodError: if the keeper rejects it or does not
            respond
        """
        reply = await self._requester.request(
            address,
            messages.FindMissingTurns(
                message.epoch,
                message.disk_id,
                [turn.turn_id for turn in self._chain],
            ),
            timeout,
        )
        missing_ids = set(reply.turn_ids)
        missing = [
            dataclasses.replace(
                turn, expires_at=max(turn.expires_at, self._turn.expires_at)
            )
            for turn in reversed(self._chain)
            if turn.turn_id in missing_ids
        ]
        fields = {
            'keeper': address,
            'request_id': self._turn.turn_id,
            'turns': len(missing),
            'of': len(self._chain),
        }
        try:
            for page in records.pages(missing):
                await self._requester.request(
                    address,
                    messages.WriteRecords(
                        message.epoch, message.disk_id, page
                    ),
                    timeout,
                )
            reply = await self._requester.request(address, message, timeout)
        except errors.MagnoliawoodError as error:
            _log.warning(
                'chain of a turn not completed on a keeper',
                extra={**fields, 'error': str(error)},
            )
            raise
        _log.info('chain of a turn completed on a keeper', extra=fields)
        return reply

    async def _send(
        self,
        send: collections.abc.Callable[
            [str, messages.WriteRecords, datetime.timedelta],
            collections.abc.Awaitable[typing.Any],
        ],
        address: str,
        message: messages.WriteRecords,
        timeout: datetime.timedelta,
    ) -> typing.Any:
        try:
            return await send(address, message, timeout)
        except errors.MagnoliawoodError as error:
            if not _lacks_chain(error):
                raise
            return await self.complete(address, message, timeout)


class _OpenWrite:
    """A write that was sent, whose chain is completed if that is needed."""

    def __init__(
        self,
        chain_requester: ChainRequester,
        address: str,
        message: messages.WriteRecords,
        listener: quorum_calls.ReplyListener,
    ) -> None:
        self._chain_requester = chain_requester
        self._address = address
        self._message = message
        self._listener = listener
        self._is_closed = False
        self.request: quorum_calls.OpenRequest | None = None

    def close(self) -> None:
        """Stop listening; a completion in progress goes on."""
        self._is_closed = True
        if self.request is not None:
            self.request.close()

    async def listen(
        self, reply: typing.Any, error: errors.MagnoliawoodError | None
    ) -> None:
        """Pass a reply on, or complete the chain first."""
        if error is not None and _lacks_chain(error):
            await curio.spawn(self._complete, daemon=True)
        else:
            await self._listener(reply, error)

    async def _complete(self) -> None:
        reply, failure = None, None
        try:
            reply = await self._chain_requester.complete(
                self._address, self._message, group_requests.REQUEST_TIMEOUT
            )
        except errors.MagnoliawoodError as error:
            failure = error
        if not self._is_closed:
            await self._listener(reply, failure)


def _lacks_chain(error: errors.MagnoliawoodError) -> bool:
    return error.code is errors.ErrorCode.CHAIN_INCOMPLETE
