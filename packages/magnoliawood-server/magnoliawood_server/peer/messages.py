"""Messages between the processes of a deployment.

An owner is the entry that is responsible for the shard of a program. The
epoch of a shard is its fencing token: it grows with each change of the
owner, and requests with an older epoch are rejected. A witness record is a
sidecar's replica of a call, kept until the owner's journal has the outcome
durably. To seal a log means to reject every later write to it.
"""

import dataclasses
import datetime

from magnoliawood.limits import crash_record
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
    """Request to a sidecar for the identity and load of its upstream.

    The response is a :class:`HelloReply`.

    :param sender: name of the requesting host
    """

    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitLeaving:
    """Request to a sidecar to respond once it starts to shut down.

    The response is a :class:`HelloReply`.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class HelloReply:
    """Response to :class:`Hello`: identity and load of an upstream.

    :param host: name of the sidecar's host
    :param incarnation: identity of this run of the sidecar process
    :param data_centre: data centre of the host
    :param kind: ``engine`` or ``service``
    :param names: models, or the service, that the upstream serves
    :param waiting: number of calls that are queued or running
    :param leaving: whether the sidecar is shutting down and accepts no new
        calls
    :param resident_tokens: estimated cache space used by active programs
    :param seconds_per_call: mean time in which the queue shortens by one
        call
    :param prefill_seconds: mean time to process one prompt token that is
        not cached
    :param upstream_up: whether the upstream accepts connections
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
    """Request to a sidecar to run one attempt of a call.

    The response is a series of :class:`Delta` and a :class:`Finished`.

    :param opened: the record that opened the program
    :param intended: the record of the call and its attempt; names the
        incarnation of the sidecar that the attempt is dispatched to
    :param epoch: epoch of the program's shard
    :param history: messages of the program before those of the request
    :param partial: text of the response that the owner has already received
    :param partial_tokens: generated tokens of that text
    :param rank: priority in the queue, the lowest first
    :param deadline: time at which a call that is still queued is rejected
    :param hold_until: time until which the call may wait for cache space;
        ``None`` if it does not wait for space
    :param fingerprint: digest of the entire content of the call
    :param crashes: upstream crashes during which the request was running, as
        far as the owner knows
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
    crashes: list[crash_record.Crash] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True, slots=True)
class Attach:
    """Request to a sidecar for the remainder of a call's response.

    Explanation
    ===========

    If the sidecar does not know the call, it rejects this attempt and all
    earlier ones from then on. An :class:`Order` that is still in transit is
    therefore not run when it arrives.

    :param attempt: number of the attempt
    :param epoch: epoch of the program's shard
    :param offset: number of characters that were already received
    """

    call: identity.CallId
    attempt: int
    epoch: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Delta:
    """Next part of a response.

    :param text: generated text
    :param tokens: tokens generated up to the end of this part
    """

    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load of an upstream; for the fields see :class:`HelloReply`."""

    waiting: int
    resident_tokens: int
    seconds_per_call: float
    prefill_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Finished:
    """Last message of a response, with the outcome of the call.

    :param load: load of the upstream that ran the call; set only by sidecars
    """

    outcome: calls.CallOutcome
    load: UpstreamLoad | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NoteCrashes:
    """Reports to a sidecar the crashes during which a request was running.

    The sidecar then rejects equal requests whose owner does not know of
    these crashes. The response is :class:`Done`.
    """

    record: crash_record.CrashRecord


@dataclasses.dataclass(frozen=True, slots=True)
class ClearCrashes:
    """Reports to a sidecar that requests did not cause crashes.

    The response is :class:`Done`.

    :param fingerprints: digests of the requests that are cleared
    """

    fingerprints: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Request to a sidecar to cancel a call.

    The response is :class:`Done`.

    :param epoch: epoch of the program's shard
    """

    call: identity.CallId
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class ShardEpoch:
    """Epoch of a shard.

    :param shard: number of the shard
    :param epoch: fencing token; requests with a lower one are rejected
    """

    shard: int
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Request of a new owner to a sidecar to fence off previous owners.

    The sidecar rejects older epochs from then on and responds with
    :class:`Witnesses` for the shards.
    """

    epochs: list[ShardEpoch]


@dataclasses.dataclass(frozen=True, slots=True)
class Witnesses:
    """Response to :class:`Fence`.

    :param incarnation: identity of this run of the sidecar process
    :param records: witness records of the shards
    """

    incarnation: str
    records: list[witness.WitnessRecord]


@dataclasses.dataclass(frozen=True, slots=True)
class Forget:
    """Reports calls whose outcome is durable in the owner's journal.

    The sidecar drops their witness records and sends no response.
    """

    calls: list[identity.CallId]


@dataclasses.dataclass(frozen=True, slots=True)
class HoldRecords:
    """Request to an entry to replicate records not yet in the store.

    The response is a :class:`HeldUpTo`.

    :param log: name of the log that the records belong to
    :param first: position of the first record in the log
    :param durable: position up to which the store has the records, so that
        their replicas may be dropped
    """

    log: str
    first: int
    records: list[records.Record]
    durable: int


@dataclasses.dataclass(frozen=True, slots=True)
class SealHeld:
    """Request to an entry to seal its replicas of logs.

    The entry rejects later records of these logs and responds with
    :class:`Held`, which contains those it has.

    :param after_log: log of the last record of the previous response; empty
        in the first request
    :param after_position: position of that record in its log
    """

    logs: list[str]
    after_log: str = ''
    after_position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeldUpTo:
    """Response to :class:`HoldRecords`.

    :param position: position up to which every record of the log is either
        replicated or in the store
    """

    position: int


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """Response to :class:`SealHeld`: replicated records, ordered by log.

    :param is_more: whether there are more than one message may hold
    :param last_log: log of the last record
    :param last_position: position of the last record in its log
    """

    records: list[records.Record]
    is_more: bool = False
    last_log: str = ''
    last_position: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseHeld:
    """Reports that the new owner of shards has stored replicated records.

    The entry drops the replicas; the logs stay sealed.

    :param logs: sealed logs that the records belong to
    :param shards: shards whose records are stored
    """

    logs: list[str]
    shards: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class ReleaseProgram:
    """Request to a sidecar to free the cache of a program that ended.

    The response is :class:`Done`; the release itself follows once the
    program has no more calls there.
    """

    program: identity.ProgramKey


@dataclasses.dataclass(frozen=True, slots=True)
class ListHolders:
    """Request to a sidecar for the programs that its upstream caches.

    The response is a :class:`Holders`.

    :param shards: only programs of these shards are listed
    """

    shards: list[int]


@dataclasses.dataclass(frozen=True, slots=True)
class Holders:
    """Response to :class:`ListHolders`.

    :param programs: programs that the upstream reports as cached
    """

    programs: list[identity.ProgramKey]


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """Response without content; confirms that a request was handled."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """Liveness request to an entry.

    The response is a :class:`ProbeReply`.

    :param sender: name of the requesting host
    """

    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeReply:
    """Response to :class:`Probe`: identity and versions of an entry.

    :param name: name of the entry's host
    :param incarnation: identity of this run of the entry process
    :param leaving: whether the entry is shutting down
    :param map_version: version of its shard map
    :param configuration_version: version of its configuration
    """

    name: str
    incarnation: str
    leaving: bool
    map_version: int
    configuration_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class SharedStateRequest:
    """Request to an entry for the state that it read from the store.

    The response is a :class:`SharedStateReply`.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class SharedStateReply:
    """Response to :class:`SharedStateRequest`.

    :param configuration_version: version of the newest configuration change
        in ``objects``
    :param read_at: version of the store when the objects were read, 0 if no
        configuration was read yet
    :param objects: the stored objects of the configuration
    :param hosts: registered hosts
    :param map_version: version of the shard map, 0 if unknown
    :param map_text: stored form of the shard map
    """

    configuration_version: int
    read_at: int
    objects: list[store.StoredObject]
    hosts: list[store.Host]
    map_version: int
    map_text: str

    @property
    def is_loaded(self) -> bool:
        """Whether the entry has read a configuration."""
        return self.read_at > 0


@dataclasses.dataclass(frozen=True, slots=True)
class OpenProgram:
    """Request to an owner to open a program."""

    program: identity.ProgramKey
    work_class: str
    budget: budgets.Budget


@dataclasses.dataclass(frozen=True, slots=True)
class RunCall:
    """Request to an owner to run a call.

    If the owner knows the call already, it does not run it again and sends
    the existing response.

    :param key: idempotency key that the caller gave or the entry derived
    :param offset: number of response characters that were already received
    """

    call: identity.CallId
    key: str
    request: calls.ModelRequest | calls.ServiceRequest
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReadCall:
    """Request to an owner for the response of a known call.

    :param offset: number of response characters that were already received
    """

    call: identity.CallId
    offset: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CancelCall:
    """Request to an owner to cancel a call."""

    call: identity.CallId


@dataclasses.dataclass(frozen=True, slots=True)
class GetProgram:
    """Request to an owner for the :class:`ProgramStatus` of a program.

    :param sequence: call whose response's memory is stated; 0 for that of
        all of the program
    """

    program: identity.ProgramKey
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GetHistory:
    """Request to an owner for the :class:`History` of a program."""

    program: identity.ProgramKey


@dataclasses.dataclass(frozen=True, slots=True)
class EndProgram:
    """Request to an owner to end a program and its sub-agents."""

    program: identity.ProgramKey
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramStatus:
    """State of a program, its budget and its use of the budget.

    :param end_reason: empty while the program is active
    :param next_sequence: number that the next call must have
    :param pending_sequence: number of the call in progress, 0 if none
    :param held_bytes: memory of its history and its calls; 0 if its owner
        is of a release that doesn't state it
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
    held_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """All messages of a program.

    :param digest: end of the hash chain over the messages
    """

    program: identity.ProgramKey
    messages: list[conversation.Message]
    digest: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListPrograms:
    """Request to an entry for the programs that it owns, ordered by key.

    The response is a :class:`ProgramPage`. An empty filter matches every
    program.

    :param after: only keys greater than this one, written ``caller/name``
    :param limit: maximum number of programs to return
    """

    caller: str = ''
    work_class: str = ''
    state: str = ''
    after: str = ''
    limit: int = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ProgramPage:
    """Response to :class:`ListPrograms`: programs ordered by key."""

    programs: list[ProgramStatus]


@dataclasses.dataclass(frozen=True, slots=True)
class ListCalls:
    """Request to an owner for the newest calls of a program.

    The response is a :class:`CallPage`.

    :param limit: maximum number of calls to return
    """

    program: identity.ProgramKey
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallSummary:
    """State of a call, without its content.

    :param target: model, or service and operation
    :param upstream: upstream of the last attempt, empty if there was none
    :param attempt: number of the last attempt
    :param verdict: empty while the call has no outcome
    :param code: error code of a failed call, empty otherwise
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
    """Response to :class:`ListCalls`: the newest calls, the oldest first."""

    calls: list[CallSummary]


@dataclasses.dataclass(frozen=True, slots=True)
class GetEntryStatus:
    """Request to an entry for its :class:`EntryStatus`.

    The entry accesses the store before it responds.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class EntryStatus:
    """Response to :class:`GetEntryStatus`: state of an entry.

    :param store: ``available`` or the error of the last access to the store
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
    """Request to a process for its metric counters."""


@dataclasses.dataclass(frozen=True, slots=True)
class Counters:
    """Response to :class:`GetCounters`.

    :param values: value of each counter by the text of its name and labels
    """

    values: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class GetShardMap:
    """Request to an entry for its newest shard map."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShardMapText:
    """Response to :class:`GetShardMap`: a shard map in its stored form.

    :param version: version of the object in the store
    :param text: text of the object
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
