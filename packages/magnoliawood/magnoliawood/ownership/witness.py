"""Witness records: replicas of calls at the sidecar that ran them."""

import dataclasses

from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import records


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessRecord:
    """Replica of one call at a sidecar.

    The sidecar keeps it until the journal has the call durably.

    :param opened: record that opened the program of the call
    :param intended: record of the attempt that the sidecar accepted
    :param outcome: outcome of the call, None while it runs
    """

    opened: records.Opened
    intended: records.Intended
    outcome: calls.CallOutcome | None = None

    @property
    def call(self) -> identity.CallId:
        """Identity of the call."""
        return self.intended.call


class WitnessTable:
    """Witness records of the calls that a sidecar accepted.

    Explanation
    ===========

    A record is kept until the outcome is durable in the owner's journal.
    Until then the sidecar's replica ensures that the call is not lost when
    a single process is lost.
    """

    def __init__(self) -> None:
        self._records: dict[identity.CallId, WitnessRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def accept(
        self, opened: records.Opened, intended: records.Intended
    ) -> None:
        """Add the record of a call before the call runs."""
        self._records[intended.call] = WitnessRecord(opened, intended)

    def settle(
        self, call: identity.CallId, outcome: calls.CallOutcome
    ) -> None:
        """Set the outcome of a call, if the call is in the table."""
        record = self._records.get(call)
        if record is not None:
            self._records[call] = dataclasses.replace(record, outcome=outcome)

    def find(self, call: identity.CallId) -> WitnessRecord | None:
        """Return the record of a call, or None if there is none."""
        return self._records.get(call)

    def forget(self, call: identity.CallId) -> None:
        """Remove a call that is durable in the owner's journal."""
        self._records.pop(call, None)

    def in_shard(self, shard: int) -> list[WitnessRecord]:
        """Return the records of the calls of a shard."""
        return [
            record
            for record in self._records.values()
            if record.call.program.shard == shard
        ]
