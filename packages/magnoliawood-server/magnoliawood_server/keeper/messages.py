"""Messages between gateways and keepers, and among keepers."""

import dataclasses

from magnoliawood.replication import group as groups
from magnoliawood.turns import ledger as ledgers
from magnoliawood_server.peer import control


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecords:
    """Request to store records; the response follows once they are on disk.

    Rejected with ``chain_incomplete``, and nothing is stored, if a turn among
    them continues one that is neither stored nor among them.

    :param epoch: epoch of the newest replica group that the sender knows
    :param disk_id: identity of the disk that the request is addressed to
    :param records: encoded records
    :param program_id: program whose charges the response lists; none if empty
    """

    epoch: int
    disk_id: str
    records: list[bytes]
    program_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsWritten:
    """Response to :class:`WriteRecords`: the records are on disk.

    :param charges: charges of the program that the request named, right
        after the records were applied; a keeper of an earlier release lists
        none
    :param takes_first_turns: whether there is room for turns of further
        programs
    :param takes_next_turns: whether there is room for turns of programs that
        are under way
    """

    charges: list[ledgers.Charge] | None = None
    takes_first_turns: bool = True
    takes_next_turns: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCharges:
    """Request for the charges of a program."""

    epoch: int
    disk_id: str
    program_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Charges:
    """Response to :class:`ReadCharges`: the charges of the program."""

    charges: list[ledgers.Charge]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChain:
    """Request for a turn and its predecessors."""

    epoch: int
    disk_id: str
    turn_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChainRecords:
    """Response to :class:`ReadChain`: encoded turns, the newest first."""

    records: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class FindMissingTurns:
    """Request for those of the given turns that a replica lacks."""

    epoch: int
    disk_id: str
    turn_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class MissingTurns:
    """Response to :class:`FindMissingTurns`."""

    turn_ids: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadStream:
    """Request for the origin of a stream."""

    epoch: int
    disk_id: str
    stream_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Response to :class:`ReadStream`: the encoded origin, if it is stored."""

    record: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class GetCopyStatus:
    """Request for the state of a keeper's disk and its replica group.

    The response is a :class:`CopyStatus`.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class CopyStatus:
    """State of a keeper's disk and the replica group that it knows.

    :param copied_epoch: epoch up to which the replica is complete
    :param group: newest replica group that the keeper knows
    """

    disk_id: str
    copied_epoch: int
    group: groups.Group | None

    def is_complete_replica_of(self, member: groups.Member) -> bool:
        """Whether the disk is the member's and its replica is complete."""
        is_its_disk = self.disk_id == member.disk_id
        return is_its_disk and self.copied_epoch >= member.since


@dataclasses.dataclass(frozen=True, slots=True)
class TakeGroup:
    """Request to apply a new replica group.

    The response is a :class:`CopyStatus`.
    """

    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAll:
    """Request to reject older epochs, then to send all records.

    The response is a :class:`CopyStatus` and a series of :class:`CopyPage`.

    :param disk_id: identity of the disk that the request is addressed to
    :param group: replica group that the records are copied for
    """

    disk_id: str
    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class CopyPage:
    """Part of the encoded records of a replica.

    :param is_last: whether no further page follows
    """

    records: list[bytes]
    is_last: bool


control.register(
    WriteRecords,
    RecordsWritten,
    ReadCharges,
    Charges,
    ReadChain,
    ChainRecords,
    FindMissingTurns,
    MissingTurns,
    ReadStream,
    StreamOrigin,
    GetCopyStatus,
    CopyStatus,
    TakeGroup,
    CopyAll,
    CopyPage,
)
