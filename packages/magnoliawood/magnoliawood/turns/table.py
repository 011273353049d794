"""In-memory table of the records of one replica."""

import collections.abc
import dataclasses

from magnoliawood.core import clock as clocks
from magnoliawood.turns import dropped as dropped_turns
from magnoliawood.turns import footprint
from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records
from magnoliawood.turns import spill


class RecordTable:
    """Turns, charges and origins of streams stored by one replica.

    :param bodies: bodies of turns that are on disk, and leave the memory

    Examples
    ========

    >>> table = RecordTable(clocks.ManualClock())
    >>> first = records.TurnRecord('t1', '', b'hi', b'yes', 2e9)
    >>> table.apply(first)
    >>> table.apply(records.TurnRecord('t2', 't1', b'so', b'no', 2e9))
    >>> [turn.turn_id for turn in table.chain('t2')]
    ['t2', 't1']
    """

    def __init__(
        self, clock: clocks.Clock, bodies: spill.Bodies | None = None
    ) -> None:
        self._clock = clock
        self._bodies = bodies
        self._turns: dict[str, records.TurnRecord] = {}
        # Turns whose predecessors are known to be stored. They stay so, as
        # no predecessor of a turn is dropped before it.
        self._whole: set[str] = set()
        self._ledgers: dict[str, dict[str, records.ChargeRecord]] = {}
        self._streams: dict[str, records.StreamRecord] = {}
        self._dropped = dropped_turns.DroppedTurns()
        self._index_bytes = 0

    @property
    def dropped(self) -> dropped_turns.DroppedTurns:
        """The turns that were dropped last."""
        return self._dropped

    @property
    def index_bytes(self) -> int:
        """Memory of all records, without the bodies of turns."""
        return self._index_bytes

    def apply(self, record: records.Record) -> None:
        """Add a record; a duplicate or superseded record is ignored.

        Of two records of one turn, the content of the first and the later
        expiry apply.
        """
        if not self.is_new(record):
            return
        if isinstance(record, records.TurnRecord):
            stored = self._turns.get(record.turn_id)
            if stored is None:
                self._index_bytes += footprint.of_record(record)
                stored = record
            self._turns[record.turn_id] = dataclasses.replace(
                stored, expires_at=record.expires_at
            )
            return
        if isinstance(record, records.StreamRecord):
            if record.stream_id not in self._streams:
                self._index_bytes += footprint.of_record(record)
            self._streams[record.stream_id] = record
            return
        charges = self._ledgers.setdefault(record.program_id, {})
        if record.attempt_id not in charges:
            self._index_bytes += footprint.of_record(record)
        charges[record.attempt_id] = record

    def locate(self, record: records.Record, place: object) -> None:
        """Record where a stored record lies on disk."""
        if self._bodies is None or not isinstance(record, records.TurnRecord):
            return
        stored = self._turns.get(record.turn_id)
        if stored is None or self._bodies.is_on_disk_only(record.turn_id):
            return
        if stored.parts != record.parts:
            # Another content of this turn was stored first.
            return
        for turn_id in self._bodies.locate(record, place):
            if turn_id in self._turns:
                self._turns[turn_id] = self._bodies.stub(self._turns[turn_id])

    def move(self, record: records.Record, place: object) -> None:
        """Record that a stored record lies at another place now."""
        if self._bodies is not None and isinstance(record, records.TurnRecord):
            self._bodies.move(record.turn_id, place)

    @property
    def bytes_on_disk_only(self) -> int:
        """Length of the bodies that are not in memory."""
        return 0 if self._bodies is None else self._bodies.bytes_on_disk_only

    def without_bodies(self) -> collections.abc.Iterator[records.Record]:
        """Iterate over all records; those on disk come without a body."""
        yield from list(self._turns.values())
        yield from self._other_records()

    def without_body(self, record: records.Record) -> records.Record:
        """Return a record that holds no body in memory."""
        if self._bodies is None or not isinstance(record, records.TurnRecord):
            return record
        return self._bodies.stub(record)

    def _with_body(self, turn: records.TurnRecord) -> records.TurnRecord:
        """Return a turn with its body.

        :raises OSError: if the body can't be read from the disk
        """
        if self._bodies is None or not self._bodies.is_on_disk_only(
            turn.turn_id
        ):
            return turn
        return self._bodies.read(turn)

    def is_new(self, record: records.Record) -> bool:
        """Return whether applying a record would change the table."""
        if isinstance(record, records.TurnRecord):
            stored = self._turns.get(record.turn_id)
            return stored is None or record.expires_at > stored.expires_at
        if isinstance(record, records.StreamRecord):
            origin = self._streams.get(record.stream_id)
            return origin is None or record.attempt > origin.attempt
        existing = self._ledgers.get(record.program_id, {}).get(
            record.attempt_id
        )
        return existing is None or ledgers.supersedes(record, existing)

    def chain(self, turn_id: str) -> list[records.TurnRecord]:
        """Return a turn and its predecessors, as far as they are stored.

        :returns: the newest first; the last one may continue a turn that
            is not stored, or one that is listed already
        :raises OSError: if a body can't be read from the disk
        """
        return list(self.iterate_chain(turn_id))

    def iterate_chain(
        self, turn_id: str
    ) -> collections.abc.Iterator[records.TurnRecord]:
        """Iterate over a chain; a body on disk is read when its turn comes.

        :raises OSError: if a body can't be read from the disk
        """
        listed_ids: set[str] = set()
        while turn_id not in listed_ids and (turn := self._turns.get(turn_id)):
            listed_ids.add(turn_id)
            yield self._with_body(turn)
            turn_id = turn.previous_id

    def missing_turns(
        self, turn_ids: collections.abc.Iterable[str]
    ) -> list[str]:
        """Return those of the given turns that are not stored."""
        return [turn_id for turn_id in turn_ids if turn_id not in self._turns]

    def has_chains_of(
        self, new_records: collections.abc.Iterable[records.Record]
    ) -> bool:
        """Whether all predecessors of new turns are stored or new as well.

        Turns that continue each other have no first one, so they are no
        whole chain.

        Examples
        ========

        >>> table = RecordTable(clocks.ManualClock())
        >>> first = records.TurnRecord('t1', '', b'hi', b'yes', 2e9)
        >>> second = records.TurnRecord('t2', 't1', b'so', b'no', 2e9)
        >>> table.has_chains_of([second])
        False
        >>> table.has_chains_of([first, second])
        True
        """
        new_turns = {
            record.turn_id: record
            for record in new_records
            if isinstance(record, records.TurnRecord)
        }
        checked_ids = {''}
        for turn_id in new_turns:
            chain_ids: set[str] = set()
            while turn_id not in checked_ids and turn_id not in self._whole:
                turn = self._turns.get(turn_id) or new_turns.get(turn_id)
                if turn is None or turn_id in chain_ids:
                    return False
                chain_ids.add(turn_id)
                turn_id = turn.previous_id
            checked_ids |= chain_ids
        self._whole.update(checked_ids & self._turns.keys())
        return True

    def charges(self, program_id: str) -> list[ledgers.Charge]:
        """Return the charges of a program."""
        return [
            ledgers.Charge(record.attempt_id, record.tokens, record.is_settled)
            for record in self._ledgers.get(program_id, {}).values()
        ]

    def stream(self, stream_id: str) -> records.StreamRecord | None:
        """Return the latest origin of a stream, if it is stored."""
        return self._streams.get(stream_id)

    def _other_records(self) -> collections.abc.Iterator[records.Record]:
        for charges in list(self._ledgers.values()):
            yield from list(charges.values())
        yield from list(self._streams.values())

    def records(self) -> collections.abc.Iterator[records.Record]:
        """Iterate over all records; bodies on disk are read one by one.

        :raises OSError: if a body can't be read from the disk
        """
        for turn_id in list(self._turns):
            if turn_id in self._turns:
                yield self._with_body(self._turns[turn_id])
        yield from self._other_records()

    def expire(self) -> int:
        """Drop expired records.

        Explanation
        ===========

        A turn is kept as long as any turn that continues it, and the charges
        of a program as long as the last of them to expire. Other replicas may
        store turns that this one lacks; a turn counts as stored only on
        replicas that have its whole chain, so it does not depend on what
        this one drops.

        :returns: number of records dropped
        """
        now = self._clock.now().timestamp()
        retained_ids: set[str] = set()
        for head in self._turns.values():
            if head.expires_at > now:
                self._collect_chain(head.turn_id, retained_ids)
        expired_turns = self._turns.keys() - retained_ids
        turns = [self._turns.pop(turn_id) for turn_id in expired_turns]
        self._index_bytes -= footprint.of_all(turns)
        self._dropped.add(turns)
        self._whole -= expired_turns
        if self._bodies is not None:
            self._bodies.forget(expired_turns)
        expired_programs = [
            program_id
            for program_id, charges in self._ledgers.items()
            if max(record.expires_at for record in charges.values()) <= now
        ]
        charges = [
            charge
            for program_id in expired_programs
            for charge in self._ledgers.pop(program_id).values()
        ]
        self._index_bytes -= footprint.of_all(charges)
        return len(expired_turns) + len(charges) + self._expire_streams(now)

    def _expire_streams(self, now: float) -> int:
        expired_ids = [
            stream_id
            for stream_id, record in self._streams.items()
            if record.expires_at <= now
        ]
        for stream_id in expired_ids:
            stream = self._streams.pop(stream_id)
            self._index_bytes -= footprint.of_record(stream)
        return len(expired_ids)

    def _collect_chain(self, turn_id: str, collected: set[str]) -> None:
        """Add a turn and its predecessors, up to one already collected."""
        while turn_id in self._turns and turn_id not in collected:
            collected.add(turn_id)
            turn_id = self._turns[turn_id].previous_id
