"""Typed messages between the system's own processes."""

import dataclasses
import datetime

from magnoliawood.limits import crash_list
from magnoliawood.ownership import witness
from magnoliawood.platform import store
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood.programs import records
from magnoliawood_server.peer import control


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Asks a sidecar what it stands beside."""

    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitLeaving:
    """Asks a sidecar for a :class:`HelloReply` once it is leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class HelloReply:
    """What a sidecar stands beside.

    :param incarnation: identity of this run of the process
    :param kind: ``engine`` or ``service``
    :param names: models or the service that the upstream serves
    :param waiting: calls that wait or run there
    :param resident_tokens: prompts of live programs placed there
    :param seconds_per_call: time in which one waiting call fewer waits
    :param prefill_seconds: time to take in one token that is not cached
    :param upstream_up: whether the upstream takes connections
    """

    host: str
    incarnation: str
    data_centre: str
    kind: str
    names: list[str]
    waiting: int
    leaving: bool
    resident_tokens: int = 0
    seconds_per_call: float = 0.0
    prefill_seconds: float = 0.0
    upstream_up: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Asks a sidecar to run a call.

    :param opened: the record that opened the program
    :param intended: the call; names the run of the sidecar it is meant for
    :param epoch: fencing number of the program's shard
    :param history: messages before the request's own
    :param partial: text of the answer that was already received
    :param partial_tokens: generated tokens of that text
    :param rank: place in the queue, the lowest first
    :param deadline: when an order that still waits is dropped
    :param hold_until: until when it may wait for room in the cache
    :param fingerprint: digest of the call's whole content
    :param crashes: crashes of upstreams that the owner blames on it
    """

    opened: records.Opened
    intended: records.Intended
    epoch: int
    history: list[conversation.Message]
    partial: str
    partial_tokens: int
    rank: float
    deadline: datetime.datetime
    hold_until: datetime.datetime | None = None
    fingerprint: str = ''
    crashes: list[crash_list.Crash] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """Asks for the rest of a call's answer.

    Explanation
    ===========

    If the sidecar does not know the call, it refuses this attempt and all
    earlier ones from then on, also if the order is still on its way.

    :param attempt: number of the order
    :param offset: characters already received
    """

    call: identity.CallId
    attempt: int
    epoch: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Next part of an answer.

    :param tokens: generated tokens up to its end
    """

    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load of an upstream; the fields are those of the greeting."""

    waiting: int
    resident_tokens: int
    seconds_per_call: float
    prefill_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """End of a call.

    :param load: load of the upstream that ran it, if a sidecar says so
    """

    outcome: calls.CallOutcome
    load: UpstreamLoad | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NoteCrashes:
    """Tells a sidecar of crashes during which a request was running."""

    record: crash_list.CrashRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ClearCrashes:
    """Tells a sidecar that requests are not to blame for crashes."""

    fingerprints: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Asks a sidecar to stop a call."""

    call: identity.CallId
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardEpoch:
    """Fencing number of a shard."""

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Tells new epochs and asks for the witness records of the shards."""

    epochs: list[ShardEpoch]


@dataclasses.dataclass(frozen=True, slots=True)
class Witnesses:
    """Answer to a fence."""

    incarnation: str
    records: list[witness.WitnessRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Calls whose outcome the owner's journal covers."""

    calls: list[identity.CallId]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRecords:
    """Asks an entry to hold journal records that the store lacks.

    :param log: log that the records belong to
    :param first: position of the first record in the log
    :param durable: position up to which held records may be dropped
    """

    log: str
    first: int
    records: list[records.Record]
    durable: int


@dataclasses.dataclass(frozen=True, slots=True)
class SealHeld:
    """Asks an entry to take no more records of logs and return its own."""

    logs: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class HeldUpTo:
    """Answer to :class:`HoldRecords`.

    :param position: position up to which no record is missing
    """

    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Records that an entry held, in the order of their logs."""

    records: list[records.Record]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseHeld:
    """Sealed logs whose records the new owner of shards has stored."""

    logs: list[str]
    shards: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseProgram:
    """Frees the cache of a program that ended."""

    program: identity.ProgramKey


@dataclasses.dataclass(frozen=True, slots=True)
class ListHolders:
    """Asks a sidecar which programs of shards its upstream caches."""

    shards: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Holders:
    """Programs that an upstream itself says it holds memory for."""

    programs: list[identity.ProgramKey]


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Answer without content."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Asks an entry whether it is alive."""

    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReply:
    """State of an entry."""

    name: str
    incarnation: str
    leaving: bool
    map_version: int
    configuration_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SharedStateRequest:
    """Asks an entry for what it learnt from the platform."""


@dataclasses.dataclass(frozen=True, slots=True)
class SharedStateReply:
    """What an entry learnt from the platform.

    :param configuration_version: version of the newest change in it
    :param read_at: version of the store when the objects were read
    :param objects: the stored objects of the configuration
    :param map_version: version of the shard map, 0 if unknown
    """

    configuration_version: int
    read_at: int
    objects: list[store.StoredObject]
    hosts: list[store.Host]
    map_version: int
    map_text: str

    @property
    def is_loaded(self) -> bool:
        """Whether the entry knows a configuration."""
        return self.read_at > 0


@dataclasses.dataclass(frozen=True, slots=True)
class OpenProgram:
    """Asks an owner to open a program."""

    program: identity.ProgramKey
    work_class: str
    budget: budgets.Budget


@dataclasses.dataclass(frozen=True, slots=True)
class RunCall:
    """Asks an owner to run a call or to join it if it is known.

    :param offset: characters of the answer already received
    """

    call: identity.CallId
    key: str
    request: calls.ModelRequest | calls.ServiceRequest
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCall:
    """Asks an owner for the answer of a known call."""

    call: identity.CallId
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Asks an owner to cancel a call."""

    call: identity.CallId


@dataclasses.dataclass(frozen=True, slots=True)
class GetProgram:
    """Asks an owner for the status of a program."""

    program: identity.ProgramKey


@dataclasses.dataclass(frozen=True, slots=True)
class GetHistory:
    """Asks an owner for the history of a program."""

    program: identity.ProgramKey


@dataclasses.dataclass(frozen=True, slots=True)
class EndProgram:
    """Asks an owner to end a program and its sub-agents."""

    program: identity.ProgramKey
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramStatus:
    """State of a program.

    :param pending_sequence: number of the call under way, 0 if none
    """

    program: identity.ProgramKey
    work_class: str
    state: str
    end_reason: str
    opened_at: datetime.datetime
    budget: budgets.Budget
    tokens_spent: int
    tokens_left: int
    calls_made: int
    calls_left: int
    next_sequence: int
    pending_sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """All messages of a program and the hash chain over them."""

    program: identity.ProgramKey
    messages: list[conversation.Message]
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListPrograms:
    """Asks an entry for the programs that it owns, in order of their keys.

    Empty filters match everything.

    :param after: only keys greater than this one, written ``caller/name``
    :param limit: the most programs to return
    """

    caller: str = ''
    work_class: str = ''
    state: str = ''
    after: str = ''
    limit: int = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramPage:
    """Programs of one entry, in order of their keys."""

    programs: list[ProgramStatus]


@dataclasses.dataclass(frozen=True, slots=True)
class ListCalls:
    """Asks an owner for the newest calls of a program.

    :param limit: the most calls to return
    """

    program: identity.ProgramKey
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallSummary:
    """A call without its content.

    :param target: model, or service and operation
    :param upstream: where it was sent last, empty if nowhere
    :param attempt: number of the last order
    :param verdict: empty while it has no outcome
    :param code: error that it ended with, if so
    """

    sequence: int
    kind: str
    target: str
    state: str
    upstream: str
    attempt: int
    verdict: str
    code: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallPage:
    """The newest calls of a program, the oldest first."""

    calls: list[CallSummary]


@dataclasses.dataclass(frozen=True, slots=True)
class GetEntryStatus:
    """Asks an entry for its state; it tries the store before it answers."""


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """State of an entry.

    :param store: ``available`` or the error of the last try
    """

    name: str
    incarnation: str
    data_centre: str
    leaving: bool
    store: str
    map_version: int
    configuration_version: int
    shards: int
    programs: int
    calls_under_way: int


@dataclasses.dataclass(frozen=True, slots=True)
class GetCounters:
    """Asks a process for its counters."""


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Counters of a process by name and labels in their text form."""

    values: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class GetShardMap:
    """Asks an entry for its newest shard map."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMapText:
    """Stored form of a shard map.

    :param version: version of the store's object
    """

    version: int
    text: str


MESSAGE_TYPES = (
    GetShardMap,
    ShardMapText,
    Hello,
    AwaitLeaving,
    HelloReply,
    Order,
    Attach,
    Delta,
    Finished,
    NoteCrashes,
    ClearCrashes,
    Cancel,
    Fence,
    Witnesses,
    Forget,
    HoldRecords,
    HeldUpTo,
    SealHeld,
    Held,
    ReleaseHeld,
    ReleaseProgram,
    ListHolders,
    Holders,
    Done,
    Probe,
    ProbeReply,
    SharedStateRequest,
    SharedStateReply,
    OpenProgram,
    RunCall,
    ReadCall,
    CancelCall,
    GetProgram,
    GetHistory,
    EndProgram,
    ProgramStatus,
    History,
    ListPrograms,
    ProgramPage,
    ListCalls,
    CallSummary,
    CallPage,
    GetEntryStatus,
    EntryStatus,
    GetCounters,
    Counters,
)

control.register(*MESSAGE_TYPES)
