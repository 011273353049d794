"""Recording of calls so that they survive the loss of this process."""

import datetime

import curio

from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.programs import identity
from magnoliawood.programs import records
from magnoliawood.programs import table as tables
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.entry import journal_writer
from magnoliawood_server.entry import shard_manager
from magnoliawood_server.entry import sidecar_directory
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

RETRY_AFTER = datetime.timedelta(seconds=2)
_RELEASING_POLL = datetime.timedelta(milliseconds=20)


class OwnershipLost(errors.MagnoliawoodError):  # noqa: N818
    """Raised if another entry now owns the program and settles the call."""

    def __init__(self) -> None:
        super().__init__(
            errors.ErrorCode.NOT_OWNER,
            'the program has another owner now',
            verdicts.Verdict.MAY_HAVE_RUN,
        )


class CallRecorder:
    """Appends to the journal and releases witness records at sidecars.

    Explanation
    ===========

    A witness record is a sidecar's replica of a call. The sidecar may drop
    it once the journal has the call's outcome durably.
    """

    def __init__(
        self,
        programs: tables.ProgramTable,
        manager: shard_manager.ShardManager,
        sidecars: sidecar_directory.SidecarDirectory,
        pool: pools.PeerPool,
        metrics: registries.Registry,
    ) -> None:
        self._programs = programs
        self._shard_manager = manager
        self._sidecars = sidecars
        self._pool = pool
        self._metrics = metrics
        self._writer: journal_writer.JournalWriter | None = None
        self._attempted_sidecars: dict[identity.CallId, set[str]] = {}
        self._pending_forgets: list[tuple[int, str, identity.CallId]] = []

    def set_writer(self, writer: journal_writer.JournalWriter) -> None:
        """Replace the journal writer and forget the state of the old one."""
        self._writer = writer
        self._attempted_sidecars = {}
        self._pending_forgets = []

    async def append(
        self, record: records.Record
    ) -> journal_writer.JournalPosition:
        """Append a record to the journal without waiting for the store."""
        return await self._writer.append(record)

    def check_backlog(self, size: int) -> None:
        """Reject new work while too many records wait for the store.

        :param size: of its records, in bytes
        :raises MagnoliawoodError: with ``store_unavailable``
        """
        if not self._writer.has_room(size):
            self._metrics.count('backlog_refusals_total')
            raise _store_unavailable_error(
                'too many records wait for the store'
            )

    async def wait_durable_or_replicated(
        self, journal_position: journal_writer.JournalPosition
    ) -> None:
        """Wait until a record is stored or replicated at a peer.

        :raises OwnershipLost: if another entry sealed the log
        :raises MagnoliawoodError: with ``store_unavailable``
        """
        if await journal_position.wait_durable_or_replicated():
            return
        if journal_position.writer.is_sealed:
            raise OwnershipLost
        self._metrics.count('uncovered_total')
        raise _store_unavailable_error(
            'neither the store nor a peer accepts the record'
        )

    async def wait_all_durable_or_replicated(self) -> None:
        """Wait until all records so far are stored or replicated at a peer.

        :raises MagnoliawoodError: as :meth:`wait_durable_or_replicated` does
        """
        writer = self._writer
        await self.wait_durable_or_replicated(
            journal_writer.JournalPosition(writer, writer.last_position())
        )

    async def record_intent(
        self, record: records.Intended, epoch: int
    ) -> None:
        """Record an attempt before it is dispatched to a sidecar.

        Explanation
        ===========

        While the shard is being handed over, no intent is appended, because
        the new owner reads the journal only up to the start of the
        handover.

        :raises OwnershipLost: if the shard has another owner or epoch
        :raises MagnoliawoodError: with ``store_unavailable``
        """
        shard = record.call.program.shard
        while self._shard_manager.is_releasing(shard):
            await curio.sleep(_RELEASING_POLL.total_seconds())
        is_current = self._shard_manager.epoch(shard) == epoch
        if not (is_current and self._shard_manager.serves(shard)):
            raise OwnershipLost
        self._attempted_sidecars.setdefault(record.call, set()).add(
            record.upstream
        )
        journal_position = await self._writer.append(record)
        if not record.request.is_idempotent:
            await self.wait_durable_or_replicated(journal_position)

    async def record_outcome(self, record: records.Settled) -> None:
        """Record the outcome of a call before it is sent to the caller.

        :raises OwnershipLost: if another entry sealed the log
        """
        journal_position = await self._writer.append(record)
        if journal_position.writer is self._writer:
            self._pending_forgets += [
                (journal_position.position, name, record.call)
                for name in self._attempted_sidecars.pop(record.call, ())
            ]
        try:
            await self.wait_durable_or_replicated(journal_position)
        except OwnershipLost:
            raise
        except errors.MagnoliawoodError:
            # The sidecar that ran the call still has the outcome.
            self._metrics.count('answers_uncovered_total')

    async def adopt(
        self, sidecars_by_call: dict[identity.CallId, set[str]]
    ) -> None:
        """Record which sidecars have witness records of a previous owner.

        The records of these calls are in the journal already.
        """
        position = self._writer.last_position()
        for call, names in sidecars_by_call.items():
            if self._is_pending(call):
                self._attempted_sidecars.setdefault(call, set()).update(names)
            else:
                self._pending_forgets += [
                    (position, name, call) for name in sorted(names)
                ]

    def _is_pending(self, call: identity.CallId) -> bool:
        program = self._programs.find(call.program)
        return program is not None and call.sequence >= (
            program.next_sequence - (program.pending is not None)
        )

    async def send_forgets_forever(self) -> None:
        """Notify sidecars of the outcomes that are durable in the journal."""
        while True:
            await self._writer.wait_progress()
            durable = self._writer.durable
            durable_items = [
                item for item in self._pending_forgets if item[0] <= durable
            ]
            self._pending_forgets = [
                item for item in self._pending_forgets if item[0] > durable
            ]
            by_sidecar: dict[str, list[identity.CallId]] = {}
            for _, name, call in durable_items:
                by_sidecar.setdefault(name, []).append(call)
            for name, call_ids in by_sidecar.items():
                await self._send_forget(name, call_ids)

    async def _send_forget(
        self, name: str, call_ids: list[identity.CallId]
    ) -> None:
        sidecar = self._sidecars.find(name)
        if sidecar is None:
            return
        try:
            stream = await self._pool.open_stream(sidecar.host.address)
            await stream.send(messages.Forget(call_ids))
            stream.close()
        except errors.MagnoliawoodError:
            self._metrics.count('forgets_failed_total')


def _store_unavailable_error(detail: str) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.STORE_UNAVAILABLE, detail, retry_after=RETRY_AFTER
    )
