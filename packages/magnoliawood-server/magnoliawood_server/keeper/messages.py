"""Messages between gateways and keepers, and among keepers."""

import dataclasses

from magnoliawood.replication import group as groups
from magnoliawood.turns import ledger as ledgers
from magnoliawood_server.peer import control


@dataclasses.dataclass(frozen=True, slots=True)
class WriteRecords:
    """Asks a copy to store records; answered once they are on disk.

    :param epoch: epoch of the group that the sender knows
    :param disk_id: disk that is meant
    :param records: stored forms of records
    """

    epoch: int
    disk_id: str
    records: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class RecordsWritten:
    """The records are on disk."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCharges:
    """Asks a copy for the charges of a program."""

    epoch: int
    disk_id: str
    program_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Charges:
    """The charges of a program."""

    charges: list[ledgers.Charge]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadChain:
    """Asks a copy for a turn and those before it."""

    epoch: int
    disk_id: str
    turn_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChainRecords:
    """Turns that a copy has, the newest first, in their stored form."""

    records: list[bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class GetCopyStatus:
    """Asks a keeper for its disk and the group that it knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class CopyStatus:
    """What a keeper knows of itself and the group.

    :param copied_epoch: epoch up to which its copy is complete
    """

    disk_id: str
    copied_epoch: int
    group: groups.Group | None

    def is_complete_replica_of(self, member: groups.Member) -> bool:
        """Whether it is this member's disk and its copy is complete."""
        is_its_disk = self.disk_id == member.disk_id
        return is_its_disk and self.copied_epoch >= member.since


@dataclasses.dataclass(frozen=True, slots=True)
class TakeGroup:
    """Tells a keeper of a new group; answered by its :class:`CopyStatus`."""

    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAll:
    """Asks a copy to refuse older epochs, then to send all its records."""

    disk_id: str
    group: groups.Group


@dataclasses.dataclass(frozen=True, slots=True)
class CopyPage:
    """Some of a copy's records; the last page says so."""

    records: list[bytes]
    is_last: bool


control.register(
    WriteRecords,
    RecordsWritten,
    ReadCharges,
    Charges,
    ReadChain,
    ChainRecords,
    GetCopyStatus,
    CopyStatus,
    TakeGroup,
    CopyAll,
    CopyPage,
)
