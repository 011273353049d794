"""Each read quorum must find the whole chain of each retained turn.

All orders of a few steps are explored, with the table, the group and the
merging of replies that the product uses: turns that are stored on any write
quorum, turns that end after their predecessors expired, completions that
break off, expiry on each disk, the loss of a disk and the copy to a new one,
record by record. At most one disk at a time is lost or incomplete, which the
deployment tolerates.
"""

import dataclasses
import datetime
import itertools

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.replication import group as groups
from magnoliawood.replication import quorum
from magnoliawood.replication.tests import exploration
from magnoliawood.turns import records
from magnoliawood.turns import table as tables

GROUP = groups.Group.first(
    [groups.Member(name, name, '') for name in 'abc'], losses=1
)
# Periods for which a turn is retained; the clock advances by one of them.
RETENTION = 2
MAX_TURNS = 4
PERIODS = 4
DEPTH = 10


@dataclasses.dataclass(frozen=True)
class _Rules:
    """What the product does; each fault takes one rule back.

    :param confirms_whole_chains: a disk stores a turn only with its chain
    :param holds_chain: a running turn holds the chain that was read
    :param cleans_complete_only: an incomplete disk drops nothing
    """

    confirms_whole_chains: bool = True
    holds_chain: bool = True
    cleans_complete_only: bool = True


@dataclasses.dataclass(frozen=True, order=True)
class _Disk:
    """Records of one disk.

    :param turns: the records, sorted
    :param uncopied: records still to be copied to it, the next one first
    """

    turns: tuple = ()
    uncopied: tuple = ()
    is_complete: bool = True

    def table(self, now):
        clock = clocks.ManualClock()
        clock.advance(_periods(now))
        table = tables.RecordTable(clock)
        for fields in self.turns:
            table.apply(records.TurnRecord(*fields))
        return table

    def with_table(self, table, **changes):
        turns = tuple(sorted(map(dataclasses.astuple, table.records())))
        return dataclasses.replace(self, turns=turns, **changes)


def _periods(number):
    # Expiry is checked in the middle between two advances.
    return datetime.timedelta(seconds=10 * number)


def _expiry(now):
    start = clocks.ManualClock().now().timestamp()
    return start + 10 * (now + RETENTION) - 5


@dataclasses.dataclass(frozen=True)
class _State:
    """Disks, acknowledged turns and the turn that runs.

    :param acknowledged: id and expiry of each turn that a caller got whole
    :param running: id, predecessor and held chain of the turn that runs
    """

    rules: _Rules
    now: int = 0
    turns: int = 0
    disks: tuple = (_Disk(), _Disk(), _Disk())
    acknowledged: tuple = ()
    running: tuple | None = None

    def steps(self):
        for step, state in self._steps():
            yield step, state._normalized()

    def _steps(self):
        if self.now < PERIODS:
            yield 'advance', dataclasses.replace(self, now=self.now + 1)
        if self.running is None:
            yield from self._admissions()
        else:
            yield from self._ends()
        for number, disk in enumerate(self.disks):
            yield f'clean {number}', self._clean(number, disk)
            if disk.uncopied:
                yield f'copy {number}', self._copy(number, disk)
        if all(disk.is_complete for disk in self.disks):
            for number in range(len(self.disks)):
                yield f'lose {number}', self._lose(number)

    def violation(self):
        for turn_id, expires_at in self.acknowledged:
            if expires_at <= self._time:
                continue
            for disks in itertools.combinations(
                self._complete(), GROUP.read_quorum
            ):
                if not self._read(turn_id, disks).is_complete:
                    return f'{turn_id} is not whole on a read quorum'
        if self.running is not None and not any(
            step.startswith('end') for step, _ in self._ends()
        ):
            return f'{self.running[0]} can not be stored'
        return ''

    @property
    def _time(self):
        return (clocks.ManualClock().now() + _periods(self.now)).timestamp()

    def _complete(self):
        return [disk for disk in self.disks if disk.is_complete]

    def _read(self, turn_id, disks):
        chain = quorum.Chain(turn_id)
        replies = [disk.table(self.now) for disk in disks]
        missing_id = None
        while chain.missing_id and chain.missing_id != missing_id:
            missing_id = chain.missing_id
            longest = max(
                (table.chain(missing_id) for table in replies), key=len
            )
            chain = chain.extend(longest)
        return chain

    def _admissions(self):
        if self.turns == MAX_TURNS:
            return
        turn_id = f't{self.turns + 1}'
        heads = (
            [name for name, expiry in self.acknowledged if expiry > self._time]
            if self.turns
            else ['']
        )
        for head_id in heads:
            chain = (
                self._read(head_id, self._complete())
                if head_id
                else (quorum.Chain(''))
            )
            held = tuple(map(dataclasses.astuple, chain.turns))
            yield (
                f'admit {turn_id} after {head_id or "nothing"}',
                dataclasses.replace(
                    self,
                    turns=self.turns + 1,
                    running=(turn_id, head_id, held),
                ),
            )

    def _ends(self):
        turn_id, previous_id, _ = self.running
        turn = records.TurnRecord(
            turn_id, previous_id, b'', b'', _expiry(self.now)
        )
        complete = [
            number
            for number, disk in enumerate(self.disks)
            if disk.is_complete
        ]
        for count in range(GROUP.write_quorum, len(complete) + 1):
            for numbers in itertools.combinations(complete, count):
                stored = self._store(turn, numbers)
                if stored is not None:
                    yield (
                        f'end {turn_id} on {numbers}',
                        dataclasses.replace(
                            stored,
                            running=None,
                            acknowledged=(
                                *self.acknowledged,
                                (turn_id, turn.expires_at),
                            ),
                        ),
                    )
        for number in complete:
            # A completion that breaks off after its first turn.
            first = list(self._missing(turn, self.disks[number]))[:1]
            if first:
                table = self.disks[number].table(self.now)
                table.apply(first[0])
                yield (
                    f'break off {turn_id} on {number}',
                    self._with_disk(
                        number, self.disks[number].with_table(table)
                    ),
                )

    def _missing(self, turn, disk):
        """Yield what a disk lacks of the chain of a turn, oldest first."""
        _, previous_id, held = self.running
        chain = tuple(records.TurnRecord(*fields) for fields in held)
        if not self.rules.holds_chain:
            chain = self._read(previous_id, self._complete()).turns
        missing_ids = disk.table(self.now).missing_turns(
            earlier.turn_id for earlier in chain
        )
        for earlier in reversed(chain):
            if earlier.turn_id in missing_ids:
                yield dataclasses.replace(
                    earlier,
                    expires_at=max(earlier.expires_at, turn.expires_at),
                )

    def _store(self, turn, numbers):
        """Return the state with a turn on some disks, if all confirm it."""
        state = self
        for number in numbers:
            disk = self.disks[number]
            table = disk.table(self.now)
            if self.rules.confirms_whole_chains:
                if not table.has_chains_of([turn]):
                    for earlier in self._missing(turn, disk):
                        table.apply(earlier)
                if not table.has_chains_of([turn]):
                    return None
            table.apply(turn)
            state = state._with_disk(number, disk.with_table(table))
        return state

    def _clean(self, number, disk):
        if self.rules.cleans_complete_only and not disk.is_complete:
            return self
        table = disk.table(self.now)
        table.expire()
        return self._with_disk(number, disk.with_table(table))

    def _lose(self, number):
        sources = [
            disk for other, disk in enumerate(self.disks) if other != number
        ]
        uncopied = {
            fields[0]: fields for disk in sources for fields in disk.turns
        }
        return self._with_disk(
            number,
            _Disk(
                (),
                tuple(uncopied[name] for name in sorted(uncopied)),
                is_complete=not uncopied,
            ),
        )

    def _copy(self, number, disk):
        table = disk.table(self.now)
        first, *uncopied = disk.uncopied
        table.apply(records.TurnRecord(*first))
        return self._with_disk(
            number,
            disk.with_table(
                table, uncopied=tuple(uncopied), is_complete=not uncopied
            ),
        )

    def _with_disk(self, number, disk):
        disks = list(self.disks)
        disks[number] = disk
        return dataclasses.replace(self, disks=tuple(disks))

    def _normalized(self):
        """Return the state with its disks, which are alike, in order."""
        return dataclasses.replace(self, disks=tuple(sorted(self.disks)))


def test_retained_turn_is_whole_on_each_read_quorum():
    """Guards against histories lost after gaps and late ends (issue 41)."""
    found = exploration.explore(_State(_Rules()), DEPTH)
    print(f'{found.states} states')
    assert not found.violation


@pytest.mark.parametrize(
    'rules',
    [
        _Rules(confirms_whole_chains=False),
        _Rules(holds_chain=False),
        _Rules(cleans_complete_only=False),
    ],
)
def test_model_detects_each_rule_that_is_taken_back(rules):
    assert exploration.explore(_State(rules), DEPTH).violation
