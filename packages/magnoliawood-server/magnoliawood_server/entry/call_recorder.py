"""Records calls so that they outlive this process."""

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
    """Another entry owns the program now and settles the call."""

    def __init__(self) -> None:
        super().__init__(
            errors.ErrorCode.NOT_OWNER,
            'the program has another owner now',
            verdicts.Verdict.MAY_HAVE_RUN,
        )


class CallRecorder:
    """Appends to the journal and lets sidecars forget what it covers."""

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
        self._tried: dict[identity.CallId, set[str]] = {}
        self._unforgotten: list[tuple[int, str, identity.CallId]] = []

    def set_writer(self, writer: journal_writer.JournalWriter) -> None:
        """Use another journal from now on."""
        self._writer = writer
        self._tried = {}
        self._unforgotten = []

    async def append(
        self, record: records.Record
    ) -> journal_writer.JournalPosition:
        """Append a record."""
        return await self._writer.append(record)

    def check_backlog(self) -> None:
        """Refuse new work while too many records wait for the store.

        :raises MagnoliawoodError: with ``store_unavailable``
        """
        if self._writer.is_full:
            raise _uncovered('too many records wait for the store')

    async def wait_durable_or_replicated(
        self, journal_position: journal_writer.JournalPosition
    ) -> None:
        """Wait until a record outlives this process.

        :raises OwnershipLost: if another entry sealed the log
        :raises MagnoliawoodError: with ``store_unavailable``
        """
        if await journal_position.wait_durable_or_replicated():
            return
        if journal_position.writer.is_sealed:
            raise OwnershipLost
        self._metrics.count('uncovered_total')
        raise _uncovered('neither the store nor a peer takes the record')

    async def wait_all_durable_or_replicated(self) -> None:
        """Wait until all records so far outlive this process.

        :raises MagnoliawoodError: as :meth:`cover` does
        """
        writer = self._writer
        await self.wait_durable_or_replicated(
            journal_writer.JournalPosition(writer, writer.last_position())
        )

    async def record_intent(
        self, record: records.Intended, epoch: int
    ) -> None:
        """Record an order before it is sent.

        Explanation
        ===========

        While the shard is handed over no intent is appended, since the new
        owner reads the journal only up to the beginning of the handover.

        :raises OwnershipLost: if the shard has another owner or epoch
        :raises MagnoliawoodError: with ``store_unavailable``
        """
        shard = record.call.program.shard
        while self._shard_manager.is_releasing(shard):
            await curio.sleep(_RELEASING_POLL.total_seconds())
        is_current = self._shard_manager.epoch(shard) == epoch
        if not (is_current and self._shard_manager.serves(shard)):
            raise OwnershipLost
        self._tried.setdefault(record.call, set()).add(record.upstream)
        journal_position = await self._writer.append(record)
        if not record.request.is_idempotent:
            await self.wait_durable_or_replicated(journal_position)

    async def record_outcome(self, record: records.Settled) -> None:
        """Record the end of a call before its caller sees it.

        :raises OwnershipLost: if another entry sealed the log
        """
        journal_position = await self._writer.append(record)
        if journal_position.writer is self._writer:
            self._unforgotten += [
                (journal_position.position, name, record.call)
                for name in self._tried.pop(record.call, ())
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
        """Learn which sidecars know calls of an earlier owner.

        The records of these calls are in the journal already.
        """
        position = self._writer.last_position()
        for call, names in sidecars_by_call.items():
            if self._is_pending(call):
                self._tried.setdefault(call, set()).update(names)
            else:
                self._unforgotten += [
                    (position, name, call) for name in sorted(names)
                ]

    def _is_pending(self, call: identity.CallId) -> bool:
        program = self._programs.find(call.program)
        return program is not None and call.sequence >= (
            program.next_sequence - (program.pending is not None)
        )

    async def forget_forever(self) -> None:
        """Tell sidecars which outcomes the journal covers."""
        while True:
            await self._writer.wait_progress()
            durable = self._writer.durable
            covered = [
                item for item in self._unforgotten if item[0] <= durable
            ]
            self._unforgotten = [
                item for item in self._unforgotten if item[0] > durable
            ]
            by_sidecar: dict[str, list[identity.CallId]] = {}
            for _, name, call in covered:
                by_sidecar.setdefault(name, []).append(call)
            for name, found in by_sidecar.items():
                await self._send_forget(name, found)

    async def _send_forget(
        self, name: str, found: list[identity.CallId]
    ) -> None:
        sidecar = self._sidecars.find(name)
        if sidecar is None:
            return
        try:
            stream = await self._pool.open_stream(sidecar.host.address)
            await stream.send(messages.Forget(found))
            stream.close()
        except errors.MagnoliawoodError:
            self._metrics.count('forgets_failed_total')


def _uncovered(detail: str) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.STORE_UNAVAILABLE, detail, retry_after=RETRY_AFTER
    )
