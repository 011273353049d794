"""All records that one copy holds."""

import collections.abc

from magnoliawood.core import clock as clocks
from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records


class RecordTable:
    """Turns and ledgers of one copy.

    Examples
    ========

    >>> table = RecordTable(clocks.ManualClock())
    >>> first = records.TurnRecord('t1', '', b'hi', b'yes', 2e9)
    >>> table.apply(first)
    >>> table.apply(records.TurnRecord('t2', 't1', b'so', b'no', 2e9))
    >>> [turn.turn_id for turn in table.chain('t2')]
    ['t2', 't1']
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._turns: dict[str, records.TurnRecord] = {}
        self._ledgers: dict[str, dict[str, records.ChargeRecord]] = {}

    def apply(self, record: records.Record) -> None:
        """Add a record, which may be known already."""
        if not self.is_new(record):
            return
        if isinstance(record, records.TurnRecord):
            self._turns[record.turn_id] = record
            return
        charges = self._ledgers.setdefault(record.program_id, {})
        charges[record.attempt_id] = record

    def is_new(self, record: records.Record) -> bool:
        """Whether a record adds something."""
        if isinstance(record, records.TurnRecord):
            return record.turn_id not in self._turns
        known = self._ledgers.get(record.program_id, {}).get(record.attempt_id)
        return known is None or ledgers.supersedes(record, known)

    def chain(self, turn_id: str) -> list[records.TurnRecord]:
        """Return a turn and those before it, as far as they are here.

        :returns: the newest first; the last one may name a turn that is
            not here
        """
        found = []
        while turn := self._turns.get(turn_id):
            found.append(turn)
            turn_id = turn.previous_id
        return found

    def charges(self, program_id: str) -> list[ledgers.Charge]:
        """Return the charges of a program."""
        return [
            ledgers.Charge(record.attempt_id, record.tokens, record.is_settled)
            for record in self._ledgers.get(program_id, {}).values()
        ]

    def records(self) -> collections.abc.Iterator[records.Record]:
        """Iterate over all records."""
        yield from list(self._turns.values())
        for charges in list(self._ledgers.values()):
            yield from list(charges.values())

    def expire(self) -> int:
        """Drop what need not be kept any more.

        Explanation
        ===========

        A turn is kept as long as one that follows it, and the charges of a
        program as long as its newest one.

        :returns: how many records were dropped
        """
        now = self._clock.now().timestamp()
        needed: set[str] = set()
        for head in self._turns.values():
            if head.expires_at > now:
                self._note_chain(head.turn_id, needed)
        old_turns = self._turns.keys() - needed
        for turn_id in old_turns:
            del self._turns[turn_id]
        old_programs = [
            program_id
            for program_id, charges in self._ledgers.items()
            if max(record.expires_at for record in charges.values()) <= now
        ]
        dropped = sum(
            len(self._ledgers.pop(program_id)) for program_id in old_programs
        )
        return len(old_turns) + dropped

    def _note_chain(self, turn_id: str, noted: set[str]) -> None:
        """Add a turn and those before it, up to one that is noted."""
        while turn_id in self._turns and turn_id not in noted:
            noted.add(turn_id)
            turn_id = self._turns[turn_id].previous_id
