"""Gathers the tokens that turns have spent and stores them together."""

import collections.abc
import datetime
import logging

import curio

from magnoliawood.core import errors
from magnoliawood.turns import records
from magnoliawood_server.gateway import record_client as record_clients

# Settlements that arrive within this time are stored in one round. Until then
# their turns stay charged with the maximum.
GATHER_PERIOD = datetime.timedelta(milliseconds=75)
# Tries to store a settlement. If all fail, the turn stays charged with its
# maximum.
MAX_SETTLE_TRIES = 4
SETTLE_RETRY_DELAY = datetime.timedelta(milliseconds=300)

_log = logging.getLogger(__name__)


class Settlements:
    """Settlements of turns that have ended or will not run.

    Explanation
    ===========

    Until a settlement is stored its turn stays charged with the maximum, so
    budgets do not depend on when this happens, nor on whether it does.
    """

    def __init__(self, client: record_clients.RecordClient) -> None:
        self._client = client
        self._waiting: list[records.ChargeRecord] = []
        # Settlements whose round is under way, by number of the round.
        self._storing: dict[int, list[records.ChargeRecord]] = {}
        self._rounds = 0
        self._stored = curio.Event()

    async def add(self, settlement: records.ChargeRecord) -> None:
        """Store a settlement soon, in the background."""
        self._waiting.append(settlement)
        if len(self._waiting) == 1:
            await curio.spawn(self._store_later, daemon=True)

    def of_program(
        self, program_id: str
    ) -> collections.abc.Iterator[records.ChargeRecord]:
        """Iterate over the settlements of a program not known to be stored."""
        for batch in (self._waiting, *self._storing.values()):
            for settlement in batch:
                if settlement.program_id == program_id:
                    yield settlement

    async def flush(self) -> None:
        """Store what was added before, and wait until that has ended."""
        await self._store_waiting()
        while self._storing:
            self._stored.clear()
            await self._stored.wait()

    async def _store_later(self) -> None:
        await curio.sleep(GATHER_PERIOD.total_seconds())
        await self._store_waiting()

    async def _store_waiting(self) -> None:
        if not self._waiting:
            return
        self._rounds += 1
        number = self._rounds
        batch, self._waiting = self._waiting, []
        self._storing[number] = batch
        try:
            await self._store(batch)
        finally:
            del self._storing[number]
            await self._stored.set()

    async def _store(self, batch: list[records.ChargeRecord]) -> None:
        for _ in range(MAX_SETTLE_TRIES):
            try:
                await self._client.settle(*batch)
                return
            except errors.MagnoliawoodError as error:
                _log.warning(
                    'settlements not stored',
                    extra={
                        'request_ids': _request_ids(batch),
                        'error': str(error),
                    },
                )
            await curio.sleep(SETTLE_RETRY_DELAY.total_seconds())
        _log.error(
            'settlements given up; their turns stay charged at most',
            extra={'request_ids': _request_ids(batch)},
        )


def _request_ids(batch: list[records.ChargeRecord]) -> list[str]:
    return [settlement.attempt_id.rpartition('.')[0] for settlement in batch]
