"""Gossip between gateways: load, crashes, peers and cluster view."""

import datetime
import logging
import math
import secrets
import typing

import curio

from magnoliawood.accounts import contacts as account_contacts
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import facts as fleet_facts
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import prompt_cache
from magnoliawood.limits import crash_list
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import gossip_peer
from magnoliawood_server.gateway import messages
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.gateway import record_client as record_clients
from magnoliawood_server.gateway import snapshot_fetcher
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import pool as pools

REPORT_INTERVAL = datetime.timedelta(milliseconds=100)
# The interval grows by this much for each peer, up to MAX_REPORT_INTERVAL,
# which bounds the number of reports that a gateway sends per second.
REPORT_INTERVAL_PER_PEER = datetime.timedelta(milliseconds=10)
MAX_REPORT_INTERVAL = datetime.timedelta(seconds=1)
# An idle gateway with nothing new to tell reports to each peer after this
# time, or after as much for each peer, so that the work of an idle gateway
# does not grow with the fleet. The shortest lets a report that the store is
# reachable outlast a round; the longest is well within the expiry of peers.
QUIET_INTERVAL = datetime.timedelta(milliseconds=250)
QUIET_INTERVAL_PER_PEER = datetime.timedelta(milliseconds=40)
MAX_QUIET_INTERVAL = datetime.timedelta(seconds=8)
REQUEST_TIMEOUT = datetime.timedelta(milliseconds=700)
# A report that the store is reachable is valid for this long.
STORE_REPORT_MAX_AGE = datetime.timedelta(milliseconds=500)
# Delay before the next report to a peer that did not respond.
UNRESPONSIVE_PEER_BACKOFF = datetime.timedelta(seconds=1)
# A peer is out of touch if no report of it has followed one that it took
# within this time and some intervals between reports.
CONTACT_MAX_AGE = datetime.timedelta(milliseconds=600)
CONTACT_MAX_INTERVALS = 2
# Peers that have not responded for this long are removed.
PEER_EXPIRY = datetime.timedelta(seconds=20)
_MILLISECOND = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


def report_interval(peers: int) -> datetime.timedelta:
    """Return the time between two reports to the same peer.

    Examples
    ========

    >>> report_interval(4).total_seconds()
    0.1
    >>> report_interval(19).total_seconds()
    0.19
    """
    return min(
        max(REPORT_INTERVAL, REPORT_INTERVAL_PER_PEER * peers),
        MAX_REPORT_INTERVAL,
    )


def quiet_interval(peers: int) -> datetime.timedelta:
    """Return the time between two reports to a peer that has heard all.

    Examples
    ========

    >>> quiet_interval(4).total_seconds()
    0.25
    >>> quiet_interval(19).total_seconds()
    0.76
    >>> quiet_interval(339).total_seconds()
    8.0
    """
    return min(
        max(QUIET_INTERVAL, QUIET_INTERVAL_PER_PEER * peers),
        MAX_QUIET_INTERVAL,
    )


class Gossip:
    """Sends reports to all known gateways and applies theirs.

    :param address: address of this gateway for peers
    :param seeds: addresses of some gateways, possibly out of date
    :param facts: facts of this gateway and its peers
    :param registry: counts what is fetched from peers
    """

    def __init__(
        self,
        host: str,
        address: str,
        seeds: tuple[str, ...],
        cluster_view: cluster_views.ClusterView,
        load_tracker: loads.LoadTracker,
        prompts: prompt_cache.PromptCaches,
        facts: fleet_facts.FactBoard,
        crashes: crash_list.CrashList,
        quarantine: quarantines.Quarantine,
        records: record_clients.RecordClient,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        registry: registries.Registry | None = None,
    ) -> None:
        self._host = host
        self._address = address
        self._start_id = secrets.token_hex(8)
        self._cluster_view = cluster_view
        self._load_tracker = load_tracker
        self._prompts = prompts
        self._facts = facts
        self._crashes = crashes
        self._quarantine = quarantine
        self._records = records
        self._pool = pool
        self._clock = clock
        self._fetcher = snapshot_fetcher.SnapshotFetcher(
            cluster_view, records, pool, registry or registries.Registry()
        )
        self._peers: dict[str, gossip_peer.Peer] = {}
        # Incremented whenever the set of peers changes.
        self._peers_version = 1
        self._seeds = seeds
        self._store_reached_at: datetime.timedelta | None = None
        # Peers that know the start id of this process.
        self._reporters: set[str] = set()
        # Peers from the settings that have not been asked yet.
        self._unasked = set(seeds) - {address}
        self.add_peers(seeds)

    @property
    def address(self) -> str:
        """Address of this gateway for peers."""
        return self._address

    @property
    def has_asked_peers(self) -> bool:
        """Whether each peer in the settings responded or did not in time."""
        return not self._unasked

    def add_peers(self, addresses: typing.Iterable[str]) -> None:
        """Add gateways to the set of peers."""
        for address in addresses:
            if address != self._address and address not in self._peers:
                self._peers[address] = gossip_peer.Peer(
                    self._clock.monotonic()
                )
                self._peers_version += 1

    def known_peers(self) -> list[str]:
        """Return the addresses of gateways that respond or recently did."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.has_responded
        ]

    def responsive_peers(self) -> list[str]:
        """Return the addresses of gateways that answered the last report."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.has_responded and not peer.is_unresponsive
        ]

    def reachable_peers(self) -> list[str]:
        """Return the addresses of gateways that responded recently."""
        oldest = self._clock.monotonic() - REQUEST_TIMEOUT
        return [
            address
            for address, peer in self._peers.items()
            if not peer.is_unresponsive
            and peer.has_responded
            and peer.last_response >= oldest
        ]

    def contacts(self) -> list[account_contacts.Contact]:
        """Return up to when each peer and this gateway know of each other."""
        return [
            account_contacts.Contact(peer.host, peer.start_id, peer.settled_at)
            for peer in self._peers.values()
            if peer.host
        ]

    def max_contact_age(self) -> datetime.timedelta:
        """Return the time after which a contact is out of touch."""
        interval = quiet_interval(len(self._peers))
        return CONTACT_MAX_AGE + CONTACT_MAX_INTERVALS * interval

    def is_store_reachable_by_peers(self) -> bool:
        """Whether a peer reported recently that the store is reachable."""
        if self._store_reached_at is None:
            return False
        age = self._clock.monotonic() - self._store_reached_at
        return age < STORE_REPORT_MAX_AGE

    async def run(self) -> None:
        """Send reports and fetch what peers know until cancelled."""
        fetching = await curio.spawn(self._fetcher.run)
        try:
            while True:
                self._drop_expired()
                await self.report_to_due_peers()
                self.add_peers(self._seeds)
                await curio.sleep(REPORT_INTERVAL.total_seconds())
        finally:
            await fetching.cancel()

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        for address, peer in list(self._peers.items()):
            if now - peer.last_response > PEER_EXPIRY:
                del self._peers[address]
                self._reporters.discard(address)
                self._peers_version += 1

    async def report_to_due_peers(self) -> None:
        """Start the reports of one round."""
        now = self._clock.monotonic()
        state = self._state()
        drafter = self._make_drafter(state)
        quiet_since = now - quiet_interval(len(self._peers))
        for address, peer in list(self._peers.items()):
            if peer.is_report_pending or peer.next_report > now:
                continue
            draft = drafter.draft(peer.told)
            if (
                peer.has_heard(draft, state)
                and peer.last_response > quiet_since
            ):
                continue
            peer.is_report_pending = True
            await curio.spawn(
                self._report, address, peer, draft, state, daemon=True
            )

    def _make_drafter(
        self, state: gossip_peer.GatewayState
    ) -> gossip_peer.Drafter:
        age = self._cluster_view.revocation.age
        return gossip_peer.Drafter(
            self._host,
            self._address,
            list(self._peers),
            self._peers_version,
            state,
            self._prompts,
            self._crashes,
            self._facts,
            None if age is None else math.ceil(age / _MILLISECOND),
        )

    def _state(self) -> gossip_peer.GatewayState:
        directory = self._cluster_view.directory
        return gossip_peer.GatewayState(
            self._load_tracker.local_requests(),
            self._cluster_view.version,
            directory.revision,
            self._cluster_view.outage.is_reachable,
            directory.leaving.announcements(),
        )

    async def serve(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        """Serve one stream of a peer.

        :raises MagnoliawoodError: if the request is rejected
        """
        match message:
            case messages.GatewayReport():
                await stream.send(self._apply_report(message))
                await self._fetcher.note(
                    message.address, message.version, message.revision
                )
            case messages.GetSnapshot():
                snapshot = self._cluster_view.snapshot(
                    message.version, message.revision
                )
                await stream.send(
                    messages.SnapshotReply(snapshot, self._records.group)
                )
            case _:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.MALFORMED_REQUEST,
                    f'a gateway does not serve {type(message).__name__}',
                )

    def _apply_report(
        self, report: messages.GatewayReport
    ) -> messages.ReportTaken:
        self._load_tracker.record_from_peer(report.host, report.requests)
        if report.does_reach_store:
            self._store_reached_at = self._clock.monotonic()
        self._confirm_configuration(report)
        self._apply_crashes(report)
        self._cluster_view.directory.leaving.merge(report.leaving)
        for sent_prompt in report.prompts:
            self._prompts.record_from_peer(sent_prompt)
        self._facts.merge(report.host, report.facts)
        self.add_peers([report.address])
        self._record_contact(report)
        self._end_backoff(report.address)
        version = self._cluster_view.version
        revision = self._cluster_view.directory.revision
        is_behind = report.version < version or report.revision < revision
        # A report lists peers only if the sender is new or its set of peers
        # has changed; only then does the response list peers too.
        known_peers = list(self._peers) if report.peers else []
        return messages.ReportTaken(
            known_peers,
            is_behind,
            self._start_id,
            self._cluster_view.directory.rate_limits.reports(),
            version,
            revision,
        )

    def _confirm_configuration(self, report: messages.GatewayReport) -> None:
        """Take a peer's word that there was no newer configuration."""
        is_known = report.version <= self._cluster_view.version
        if is_known and report.confirmed_ms is not None:
            age = report.confirmed_ms * _MILLISECOND
            self._cluster_view.revocation.confirm(
                self._clock.monotonic() - age
            )

    def _record_contact(self, report: messages.GatewayReport) -> None:
        peer = self._peers.get(report.address)
        if peer is None:
            return
        peer.host = report.host
        if peer.told_at is not None:
            peer.settled_at = peer.told_at

    def _end_backoff(self, address: str) -> None:
        """Report at once to a lost peer, since it has sent a report."""
        peer = self._peers.get(address)
        if peer is not None and peer.is_unresponsive:
            peer.next_report = self._clock.monotonic()

    def _apply_crashes(self, report: messages.GatewayReport) -> None:
        """Merge crash records of a peer.

        The first report of a peer may follow one to an earlier start of this
        process. From the second on, it has sent all its records.
        """
        self._quarantine.merge(report.crashes)
        if report.address in self._reporters:
            self._quarantine.mark_loaded()
        self._reporters.add(report.address)

    async def _report(
        self,
        address: str,
        peer: gossip_peer.Peer,
        draft: gossip_peer.Draft,
        state: gossip_peer.GatewayState,
    ) -> None:
        asked_at = self._clock.monotonic()
        try:
            reply = await self._pool.request(
                address, draft.report, REQUEST_TIMEOUT, draft.packed
            )
            peer.told = draft.told
            peer.state = state
            peer.reports += 1
            if draft.has_all_facts:
                peer.told_at = asked_at
        except errors.MagnoliawoodError as error:
            self._mark_unresponsive(address, peer, str(error))
        else:
            self._cluster_view.directory.rate_limits.merge(
                reply.limits, asked_at
            )
            await self._record_response(address, peer, reply)
        finally:
            peer.is_report_pending = False
            self._unasked.discard(address)

    async def _record_response(
        self, address: str, peer: gossip_peer.Peer, reply: messages.ReportTaken
    ) -> None:
        now = self._clock.monotonic()
        peer.last_response = now
        peer.has_responded = True
        peer.next_report = now + report_interval(len(self._peers))
        if peer.start_id not in ('', reply.start_id):
            peer.forget_sent()
            peer.settled_at = None
        peer.start_id = reply.start_id
        if peer.is_unresponsive:
            peer.is_unresponsive = False
            _log.info('peer regained', extra={'peer': address})
        self.add_peers(reply.peers)
        if reply.is_behind:
            await self._note_newer(address, reply)

    async def _note_newer(
        self, address: str, reply: messages.ReportTaken
    ) -> None:
        """Record that a peer is newer; an earlier release states not how."""
        version, revision = reply.version, reply.revision
        if not (version or revision):
            version = self._cluster_view.version + 1
        await self._fetcher.note(address, version, revision)

    def _mark_unresponsive(
        self, address: str, peer: gossip_peer.Peer, reason: str
    ) -> None:
        peer.next_report = self._clock.monotonic() + UNRESPONSIVE_PEER_BACKOFF
        if not peer.is_unresponsive:
            peer.is_unresponsive = True
            _log.warning(
                'peer lost', extra={'peer': address, 'reason': reason}
            )
