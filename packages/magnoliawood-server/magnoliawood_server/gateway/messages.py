"""Messages that gateways exchange over the peer protocol."""

import dataclasses
import datetime

from magnoliawood.fleet import facts as fleet_facts
from magnoliawood.fleet import leaving as leaves
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import rate_limits
from magnoliawood.limits import crash_record
from magnoliawood.replication import group as groups
from magnoliawood_server.gateway import cluster_view
from magnoliawood_server.peer import control


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayReport:
    """Gossip that a gateway sends to its peers several times a second.

    :param host: host of the sender
    :param address: address of the sender for peers
    :param peers: addresses of the gateways known to the sender; empty unless
        they have changed since its last report to the receiver
    :param requests: number of requests of the sender in progress, by upstream
    :param version: version of the sender's configuration
    :param revision: revision of the store to which the sender's upstreams
        correspond
    :param does_reach_store: whether the platform's store responded to the
        sender's last request
    :param crashes: records of requests during which upstreams crashed that
        changed since the last report
    :param prompts: prompts sent to upstreams since the last report
    :param leaving: upstreams that have announced to the sender that they are
        leaving
    :param facts: facts of the sender that changed since the last report
    :param confirmed_ms: time since no newer configuration than the sender's
        was in the store; ``None`` if that is not known
    """

    host: str
    address: str
    peers: list[str]
    requests: dict[str, int]
    version: int
    revision: int
    does_reach_store: bool
    crashes: list[crash_record.CrashRecord]
    prompts: list[prompt_cache.SentPrompt]
    leaving: list[leaves.Announcement] = dataclasses.field(
        default_factory=list
    )
    facts: list[fleet_facts.Fact] = dataclasses.field(default_factory=list)
    confirmed_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTaken:
    """Response to a :class:`GatewayReport`.

    :param peers: gateways known to the receiver, if the report listed any
    :param is_behind: whether the receiver has a newer configuration or newer
        upstreams than the sender of the report
    :param start_id: identifies the start of the receiver's process
    :param limits: rate limits that upstreams have named to the receiver
    :param version: version of the receiver's configuration; 0 from a receiver
        of an earlier release
    :param revision: revision of the store to which the receiver's upstreams
        correspond
    """

    peers: list[str]
    is_behind: bool
    start_id: str = ''
    limits: list[rate_limits.LimitReport] = dataclasses.field(
        default_factory=list
    )
    version: int = 0
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TakePermit:
    """Request to the owner of an upstream for a permit to send a request.

    :param started_at: time at which the upstream's process started, if known
    :param rate: limit that the sender knows, in requests per second
    :param rank: urgency of the request; 0 for the most urgent ones
    :param is_relayed: whether the receiver must not relay it again
    """

    upstream_id: str
    started_at: datetime.datetime | None
    rate: float
    rank: int
    is_relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Response to :class:`TakePermit`.

    :param wait_seconds: time until there may be a permit; ``None`` if one was
        issued
    """

    wait_seconds: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class GetSnapshot:
    """Request to a gateway for what the sender lacks of its cluster view.

    :param version: version of the sender's configuration; ``None`` from a
        sender of an earlier release, which reads the whole cluster view
    :param revision: revision of the store of the sender's upstreams
    """

    version: int | None = None
    revision: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReply:
    """Response to :class:`GetSnapshot`: cluster view and replica group."""

    snapshot: cluster_view.Snapshot
    group: groups.Group | None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayQuestion:
    """Request to a gateway to forward a message to a keeper.

    :param address: address of the keeper
    :param question: the message, encoded as a frame
    """

    address: str
    question: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """Response to :class:`RelayQuestion`.

    :param answer: response of the keeper, encoded as a frame
    """

    answer: bytes


control.register(
    RelayQuestion,
    RelayedAnswer,
    GatewayReport,
    ReportTaken,
    GetSnapshot,
    SnapshotReply,
    TakePermit,
    PermitReply,
)
