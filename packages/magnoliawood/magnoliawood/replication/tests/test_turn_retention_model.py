"""Each read quorum must find the whole chain of each retained turn.

All orders of a few steps are explored, with the table, the group and the
merging of replies that the product uses: turns that are stored on any write
quorum, turns that end after their predecessors expired, completions that
break off, expiry on each disk, the loss of a disk and the copy to a new one,
record by record. At most one disk at a time is lost or incomplete, which the
deployment tolerates.
"""

import dataclasses
import itertools

import pytest

from magnoliawood.replication import quorum
from magnoliawood.replication.tests import exploration
from magnoliawood.replication.tests import model_disks
from magnoliawood.turns import records

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


@dataclasses.dataclass(frozen=True)
class _RunningTurn:
    """A turn that was admitted and has not ended.

    :param chain: turns that it continues, as read at its admission
    """

    turn_id: str
    previous_id: str
    chain: tuple[records.TurnRecord, ...]


@dataclasses.dataclass(frozen=True)
class _State:
    """Disks, acknowledged turns and the turn that runs.

    :param acknowledged: id and expiry of each turn that a caller got whole
    """

    rules: _Rules
    period: int = 0
    turns: int = 0
    disks: tuple = (model_disks.Disk(),) * 3
    acknowledged: tuple = ()
    running: _RunningTurn | None = None

    def steps(self):
        for step, state in self._steps():
            # The disks are alike, so their order makes no difference.
            disks = tuple(sorted(state.disks))
            yield step, dataclasses.replace(state, disks=disks)

    def violation(self):
        complete = model_disks.complete(self.disks)
        for turn_id in self._retained():
            for numbers in itertools.combinations(
                complete, model_disks.GROUP.read_quorum
            ):
                if not self._read(turn_id, numbers).is_complete:
                    return f'{turn_id} is not whole on a read quorum'
        if self.running is not None and not any(self._ends(self.running)):
            return f'{self.running.turn_id} can not be stored'
        return ''

    def _steps(self):
        if self.period < PERIODS:
            yield 'advance', dataclasses.replace(self, period=self.period + 1)
        if self.running is not None:
            yield from self._ends(self.running)
            yield from self._broken_completions(self.running)
        elif self.turns < MAX_TURNS:
            yield from self._admissions()
        for step, disks in model_disks.steps(
            self.disks, self.period, self.rules.cleans_complete_only
        ):
            yield step, dataclasses.replace(self, disks=disks)

    def _retained(self):
        now = model_disks.time_at(self.period)
        return [name for name, expiry in self.acknowledged if expiry > now]

    def _read(self, turn_id, numbers):
        chain = quorum.Chain(turn_id)
        replies = [self.disks[number].table(self.period) for number in numbers]
        missing_id = None
        while chain.missing_id and chain.missing_id != missing_id:
            missing_id = chain.missing_id
            longest = max(
                (table.chain(missing_id) for table in replies), key=len
            )
            chain = chain.extend(longest)
        return chain

    def _admissions(self):
        turn_id = f't{self.turns + 1}'
        for head_id in self._retained() if self.turns else ['']:
            chain = self._read(head_id, model_disks.complete(self.disks))
            running = _RunningTurn(turn_id, head_id, chain.turns)
            yield (
                f'admit {turn_id} after {head_id or "nothing"}',
                dataclasses.replace(
                    self, turns=self.turns + 1, running=running
                ),
            )

    def _ends(self, running):
        """Yield the ends of a turn that is stored on some of the disks."""
        turn = self._record(running)
        complete = model_disks.complete(self.disks)
        for count in range(model_disks.GROUP.write_quorum, len(complete) + 1):
            for numbers in itertools.combinations(complete, count):
                disks = self._store(turn, numbers)
                if disks is not None:
                    yield (
                        f'end {turn.turn_id} on {numbers}',
                        dataclasses.replace(
                            self,
                            disks=disks,
                            running=None,
                            acknowledged=(
                                *self.acknowledged,
                                (turn.turn_id, turn.expires_at),
                            ),
                        ),
                    )

    def _broken_completions(self, running):
        """Yield completions that end after their first turn."""
        turn = self._record(running)
        for number in model_disks.complete(self.disks):
            table = self.disks[number].table(self.period)
            for earlier in itertools.islice(self._missing(turn, table), 1):
                table.apply(earlier)
                yield (
                    f'break off {turn.turn_id} on {number}',
                    dataclasses.replace(
                        self,
                        disks=model_disks.replace(
                            self.disks,
                            number,
                            self.disks[number].with_table(table),
                        ),
                    ),
                )

    def _record(self, running):
        return records.TurnRecord(
            running.turn_id,
            running.previous_id,
            b'',
            b'',
            model_disks.expiry(self.period),
        )

    def _missing(self, turn, table):
        """Yield what a disk lacks of the chain of a turn, oldest first."""
        chain = self.running.chain
        if not self.rules.holds_chain:
            complete = model_disks.complete(self.disks)
            chain = self._read(turn.previous_id, complete).turns
        missing_ids = table.missing_turns(earlier.turn_id for earlier in chain)
        for earlier in reversed(chain):
            if earlier.turn_id in missing_ids:
                yield dataclasses.replace(
                    earlier,
                    expires_at=max(earlier.expires_at, turn.expires_at),
                )

    def _store(self, turn, numbers):
        """Return the disks with a turn on some, if all of them confirm it."""
        disks = self.disks
        for number in numbers:
            table = self.disks[number].table(self.period)
            if self.rules.confirms_whole_chains:
                if not table.has_chains_of([turn]):
                    for earlier in self._missing(turn, table):
                        table.apply(earlier)
                if not table.has_chains_of([turn]):
                    return None
            table.apply(turn)
            disks = model_disks.replace(
                disks, number, self.disks[number].with_table(table)
            )
        return disks


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
