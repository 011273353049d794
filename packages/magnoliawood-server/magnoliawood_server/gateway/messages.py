"""Messages between gateways."""

import dataclasses

from magnoliawood.fleet import selection
from magnoliawood.limits import crash_list
from magnoliawood.replication import group as groups
from magnoliawood_server.gateway import cluster_view
from magnoliawood_server.peer import control


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayReport:
    """What a gateway tells the others several times a second.

    :param address: its address for peers
    :param peers: addresses of the gateways that it knows; empty unless they
        have changed since its last report
    :param requests: its requests under way by upstream
    :param version: version of its configuration
    :param revision: revision that its upstreams are as of
    :param does_reach_store: whether the platform's store answered it last
    :param crashes: requests that it suspects, as far as they are new
    :param prompts: prompts that it sent since its last report
    """

    host: str
    address: str
    peers: list[str]
    requests: dict[str, int]
    version: int
    revision: int
    does_reach_store: bool
    crashes: list[crash_list.CrashRecord]
    prompts: list[selection.SentPrompt]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportTaken:
    """Answers a report.

    :param peers: known gateways, if the report named any
    :param is_behind: whether the receiver knows newer things
    """

    peers: list[str]
    is_behind: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GetSnapshot:
    """Asks a gateway for all that it believes."""


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotReply:
    """All that a gateway believes."""

    snapshot: cluster_view.Snapshot
    group: groups.Group | None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayQuestion:
    """Asks a gateway to put a question to a keeper.

    :param address: address of the keeper
    :param question: the question as a frame
    """

    address: str
    question: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedAnswer:
    """The keeper's answer as a frame."""

    answer: bytes


control.register(
    RelayQuestion,
    RelayedAnswer,
    GatewayReport,
    ReportTaken,
    GetSnapshot,
    SnapshotReply,
)
