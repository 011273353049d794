"""State of the exchange with each peer, and what it is sent next."""

import dataclasses
import datetime

from magnoliawood.fleet import facts as fleet_facts
from magnoliawood.fleet import leaving as leaves
from magnoliawood.fleet import prompt_cache
from magnoliawood.limits import crash_list
from magnoliawood_server.gateway import messages
from magnoliawood_server.peer import control

# A peer that started is sent this many reports without a pause; the second
# one tells it that it has heard all.
FIRST_REPORTS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """How far a peer has been told what changes; at first nothing."""

    prompts: int = 0
    crashes: int = 0
    facts: int = 0
    peers: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayState:
    """What each report states anew."""

    requests: dict[str, int]
    version: int
    revision: int
    does_reach_store: bool
    leaving: list[leaves.Announcement]


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """Report to all peers that have been told the same.

    :param told: what they have been told once they have the report
    :param has_news: whether it tells what they have not been told
    :param packed: the report, encoded once for all of them
    :param has_all_facts: whether no fact is left for a later report
    """

    report: messages.GatewayReport
    told: Told
    has_news: bool
    packed: control.Packed
    has_all_facts: bool


class Peer:
    """State of the exchange with another gateway."""

    def __init__(self, now: datetime.timedelta) -> None:
        self.last_response = now
        self.next_report = now
        self.is_report_pending = False
        self.is_unresponsive = False
        self.has_responded = False
        self.start_id = ''
        # Reports to this start of the peer.
        self.reports = 0
        self.told = Told()
        self.state: GatewayState | None = None
        self.host = ''
        # Time of the last report with all facts that it has taken.
        self.told_at: datetime.timedelta | None = None
        # The same before its last report.
        self.settled_at: datetime.timedelta | None = None

    def forget_sent(self) -> None:
        """Send the peer everything again with the next report."""
        self.told = Told()
        self.reports = 0
        self.told_at = None

    def has_heard(self, draft: Draft, state: GatewayState) -> bool:
        """Whether a report would tell the peer nothing that it needs.

        The load of a gateway with requests in progress is always told.
        """
        return (
            self.reports >= FIRST_REPORTS
            and not self.is_unresponsive
            and not draft.has_news
            and not state.requests
            and self.state == state
        )


class Drafter:
    """Makes the reports of one round.

    :param confirmed_ms: time since the store had no newer configuration
    """

    def __init__(
        self,
        host: str,
        address: str,
        peers: list[str],
        peers_version: int,
        state: GatewayState,
        prompts: prompt_cache.PromptCaches,
        crashes: crash_list.CrashList,
        facts: fleet_facts.FactBoard,
        confirmed_ms: int | None,
    ) -> None:
        self._host = host
        self._address = address
        self._peers = peers
        self._peers_version = peers_version
        self._state = state
        self._prompts = prompts
        self._crashes = crashes
        self._facts = facts
        self._confirmed_ms = confirmed_ms
        self._drafts: dict[Told, Draft] = {}

    def draft(self, told: Told) -> Draft:
        """Return the report to peers that have been told something."""
        if told not in self._drafts:
            self._drafts[told] = self._make(told)
        return self._drafts[told]

    def _make(self, told: Told) -> Draft:
        state = self._state
        new_prompts = self._prompts.sent_prompts_after(told.prompts)
        new_crashes = self._crashes.changed_after(told.crashes)
        new_facts = self._facts.changed_after(told.facts)
        has_new_peers = told.peers != self._peers_version
        report = messages.GatewayReport(
            self._host,
            self._address,
            self._peers if has_new_peers else [],
            state.requests,
            state.version,
            state.revision,
            state.does_reach_store,
            new_crashes.records,
            new_prompts.sent_prompts,
            state.leaving,
            new_facts.facts,
            self._confirmed_ms,
        )
        return Draft(
            report,
            Told(
                new_prompts.count,
                new_crashes.version,
                new_facts.version,
                self._peers_version,
            ),
            bool(
                has_new_peers
                or new_prompts.sent_prompts
                or new_crashes.records
                or new_facts.facts
            ),
            control.Packed.of(report),
            new_facts.version == self._facts.version,
        )
