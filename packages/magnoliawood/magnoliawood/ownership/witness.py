"""What a sidecar remembers of the calls it ran."""

import dataclasses

from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import records


@dataclasses.dataclass(frozen=True, slots=True)
class WitnessRecord:
    """A sidecar's knowledge of one call.

    :param opened: the record that opened the call's program
    :param intended: the record of the call
    :param outcome: how it ended, nothing while it runs
    """

    opened: records.Opened
    intended: records.Intended
    outcome: calls.CallOutcome | None = None

    @property
    def call(self) -> identity.CallId:
        """The call."""
        return self.intended.call


class WitnessTable:
    """Calls that a sidecar accepted and whose owner still needs it.

    Explanation
    ===========

    A record stays until the owner's journal covers the outcome. Until then
    the sidecar's copy keeps a single lost process from losing the call.
    """

    def __init__(self) -> None:
        self._records: dict[identity.CallId, WitnessRecord] = {}

    def __len__(self) -> int:
        return len(self._records)

    def accept(
        self, opened: records.Opened, intended: records.Intended
    ) -> None:
        """Remember a call before it runs."""
        self._records[intended.call] = WitnessRecord(opened, intended)

    def settle(
        self, call: identity.CallId, outcome: calls.CallOutcome
    ) -> None:
        """Remember how a call ended."""
        known = self._records.get(call)
        if known is not None:
            self._records[call] = dataclasses.replace(known, outcome=outcome)

    def find(self, call: identity.CallId) -> WitnessRecord | None:
        """Return what is known of a call."""
        return self._records.get(call)

    def forget(self, call: identity.CallId) -> None:
        """Drop a call that the owner's journal covers."""
        self._records.pop(call, None)

    def in_shard(self, shard: int) -> list[WitnessRecord]:
        """Return the records of a shard's calls."""
        return [
            record
            for record in self._records.values()
            if record.call.program.shard == shard
        ]
