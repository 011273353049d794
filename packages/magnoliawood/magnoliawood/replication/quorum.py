"""Merges the replies of several replicas."""

import collections.abc
import dataclasses

from magnoliawood.turns import ledger as ledgers
from magnoliawood.turns import records


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetDecision:
    """Whether an attempt may spend tokens, and the figures behind it.

    :param charged_tokens: upper bound of the tokens spent by all attempts
    :param attempts: number of these attempts
    """

    is_granted: bool
    charged_tokens: int
    attempts: int


def decide_budget(
    replicas: collections.abc.Iterable[
        collections.abc.Iterable[ledgers.Charge]
    ],
    budget_tokens: int,
) -> BudgetDecision:
    """Decide on an attempt whose charge a write quorum has stored.

    Explanation
    ===========

    Each attempt first writes its charge to a write quorum and only then
    reads from a read quorum. Of all granted attempts, the one that started
    its read last sees the charges of all others, so their sum is within the
    budget.

    Examples
    ========

    >>> replica = [
    ...     ledgers.Charge('a', 80, False),
    ...     ledgers.Charge('b', 80, False),
    ... ]
    >>> decide_budget([replica, replica[:1]], 160).is_granted
    True
    >>> decide_budget([replica[:1], replica], 159)
    BudgetDecision(is_granted=False, charged_tokens=160, attempts=2)

    :param replicas: charges of the program, from each disk of a read quorum
    """
    ledger = ledgers.Ledger()
    for charges in replicas:
        ledger.merge(charges)
    return BudgetDecision(
        ledger.total <= budget_tokens, ledger.total, len(ledger.charges)
    )


def is_round_decisive(
    replicas: collections.abc.Sequence[
        collections.abc.Iterable[ledgers.Charge]
    ],
) -> bool:
    """Whether the replies to a charge alone decide on its attempt.

    Explanation
    ===========

    Each disk of a quorum applied the charge and listed the attempts that it
    then knew; any two such quorums have a disk in common. Of two attempts
    that one doesn't list, the other does. That is not sufficient for three
    of them: ``a`` may list only ``b``, ``b`` only ``c`` and ``c`` only ``a``,
    each from one disk. If all disks list the same attempts, then an attempt
    that is missing came after all of them at the disk in common, and lists
    them all. So the decisive rounds are in one order, whose last attempt
    lists all others. An attempt without a decisive round reads once more,
    after its charge is on the quorum, and decides on both replies: of these,
    the one whose read starts last lists the others, and each that a decisive
    round doesn't list came after it and lists what it does.

    Examples
    ========

    >>> first, second = [ledgers.Charge(name, 8, False) for name in 'ab']
    >>> is_round_decisive([[first, second], [second, first]])
    True
    >>> is_round_decisive([[first, second], [second]])
    False

    :param replicas: charges of the program, from each disk of the quorum
    """
    attempts = {
        frozenset(charge.attempt_id for charge in charges)
        for charges in replicas
    }
    return len(attempts) == 1


def merged_charges(
    program_id: str,
    replicas: collections.abc.Iterable[
        collections.abc.Iterable[ledgers.Charge]
    ],
    new_records: collections.abc.Iterable[records.Record],
) -> list[records.ChargeRecord]:
    """Return records of all charges of a program, for disks that lack some.

    Examples
    ========

    >>> first, second = [ledgers.Charge(name, 8, False) for name in 'ab']
    >>> new = [records.ChargeRecord('p', 'b', 8, False, 60.0)]
    >>> for record in merged_charges('p', [[first], [second]], new):
    ...     print(record.attempt_id, record.expires_at)
    a 60.0
    b 60.0

    :param replicas: charges of the program, by disk
    :param new_records: the newest charge, as long as which all are kept, and
        records that were stored with it
    """
    ledger = ledgers.Ledger()
    for charges in replicas:
        ledger.merge(charges)
    expires_at = max(record.expires_at for record in new_records)
    return [
        records.ChargeRecord(
            program_id,
            charge.attempt_id,
            charge.tokens,
            charge.is_settled,
            expires_at,
        )
        for charge in ledger.charges
    ]


def decide_origin(
    stored: collections.abc.Iterable[records.StreamRecord],
) -> records.StreamRecord | None:
    """Return the origin of a stream from the disks of a read quorum.

    Explanation
    ===========

    The origin was on a write quorum before the caller got an event, so at
    least one disk has it, and any later one belongs to the same stream.
    Origins with the same number that differ come from two requests with one
    id; then neither is known to be the stream's.

    Examples
    ========

    >>> first = records.StreamRecord('s', 'llm', 'v1', 1, 60.0)
    >>> second = records.StreamRecord('s', 'llm', 'v2', 2, 60.0)
    >>> decide_origin([first, second]).version
    'v2'
    >>> decide_origin([])

    :param stored: origins on the disks of a read quorum
    """
    origins = {
        (origin.attempt, origin.service, origin.version): origin
        for origin in stored
    }
    latest = max((attempt for attempt, _, _ in origins), default=0)
    candidates = [
        origin for origin in origins.values() if origin.attempt == latest
    ]
    return candidates[0] if len(candidates) == 1 else None


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """The part of a chain of turns that has been read so far.

    :param head_id: identity of the newest turn of the chain
    :param turns: turns read so far, the newest first
    """

    head_id: str
    turns: tuple[records.TurnRecord, ...] = ()

    @property
    def missing_id(self) -> str:
        """Identity of the next turn to read; empty if complete."""
        return self.turns[-1].previous_id if self.turns else self.head_id

    @property
    def is_complete(self) -> bool:
        """Whether the chain reaches back to its start."""
        return not self.missing_id

    @property
    def parts(self) -> list[bytes]:
        """Parts of the body, not joined."""
        return [part for turn in reversed(self.turns) for part in turn.parts]

    @property
    def body(self) -> bytes:
        """Text that the turns add to a prompt, the oldest first."""
        return b''.join(turn.body for turn in reversed(self.turns))

    def extend(
        self, replica_turns: collections.abc.Iterable[records.TurnRecord]
    ) -> 'Chain':
        """Return the chain extended by the turns of one replica.

        Examples
        ========

        Turns that continue each other are read once; the chain has no
        start, so it stays incomplete.

        >>> looped = records.TurnRecord('t1', 't1', b'in', b'out', 60.0)
        >>> chain = Chain('t1').extend([looped]).extend([looped])
        >>> len(chain.turns), chain.is_complete
        (1, False)
        """
        read_ids = {turn.turn_id for turn in self.turns}
        by_id = {
            turn.turn_id: turn
            for turn in replica_turns
            if turn.turn_id not in read_ids
        }
        turns = list(self.turns)
        missing_id = self.missing_id
        while missing_id and missing_id in by_id:
            turns.append(by_id.pop(missing_id))
            missing_id = turns[-1].previous_id
        return Chain(self.head_id, tuple(turns))
