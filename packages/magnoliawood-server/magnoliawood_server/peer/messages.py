"""Typed messages between the system's own processes."""

import dataclasses
import datetime

import pydantic

from magnoliawood.limits import crash_list
from magnoliawood.ownership import witness
from magnoliawood.programs import budget as budgets
from magnoliawood.programs import call as calls
from magnoliawood.programs import identity
from magnoliawood.programs import message as conversation
from magnoliawood.programs import records


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat."""


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """Asks a sidecar what it stands beside."""

    sender: str


@dataclasses.dataclass(frozen=True, slots=True)
class HelloReply:
    """What a sidecar stands beside.

    :param incarnation: identity of this run of the process
    :param kind: ``engine`` or ``service``
    :param names: models or the service that the upstream serves
    :param waiting: calls that wait or run there
    :param upstream_up: whether the upstream takes connections
    """

    host: str
    incarnation: str
    data_centre: str
    kind: str
    names: list[str]
    waiting: int
    leaving: bool
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
class Finished:
    """End of a call."""

    outcome: calls.CallOutcome


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A request was not accepted."""

    code: str
    detail: str
    verdict: str
    retry_after_seconds: float | None = None


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


MESSAGE_TYPES = (
    Ping,
    Hello,
    HelloReply,
    Order,
    Attach,
    Delta,
    Finished,
    Refused,
    NoteCrashes,
    ClearCrashes,
    Cancel,
    Fence,
    Witnesses,
    Forget,
    ReleaseProgram,
    ListHolders,
    Holders,
    Done,
    Probe,
    ProbeReply,
    OpenProgram,
    RunCall,
    ReadCall,
    CancelCall,
    GetProgram,
    GetHistory,
    EndProgram,
    ProgramStatus,
    History,
)

ADAPTERS = {
    message_type.__name__: pydantic.TypeAdapter(message_type)
    for message_type in MESSAGE_TYPES
}
