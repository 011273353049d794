"""Exchanges load and news with the other gateways."""

import datetime
import logging
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import selection
from magnoliawood.limits import crash_list
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import messages
from magnoliawood_server.gateway import record_client as record_clients
from magnoliawood_server.gateway import relay as relays
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import pool as pools

REPORT_INTERVAL = datetime.timedelta(milliseconds=100)
# Reports are made less often where there are many peers: this much later
# for each, so that their number a second is bounded, up to the limit.
INTERVAL_PER_PEER = datetime.timedelta(milliseconds=10)
INTERVAL_LIMIT = datetime.timedelta(seconds=1)
REQUEST_TIMEOUT = datetime.timedelta(milliseconds=700)
# What peers say of the store counts for this long.
STORE_REPORT_LIMIT = datetime.timedelta(milliseconds=500)
# A peer that did not answer is asked again after this.
SILENT_PAUSE = datetime.timedelta(seconds=1)
# Peers that have not answered for this long are forgotten.
FORGET_AFTER = datetime.timedelta(seconds=20)

_log = logging.getLogger(__name__)


class _Peer:
    """Another gateway, as far as it has answered."""

    def __init__(self, now: datetime.timedelta) -> None:
        self.last_answer = now
        self.next_report = now
        self.is_busy = False
        self.is_silent = False
        self.has_answered = False
        self.sent_prompts_reported = 0
        self.peers_told = 0


def report_interval(peers: int) -> datetime.timedelta:
    """Return the time between two reports to one peer.

    Examples
    ========

    >>> report_interval(4).total_seconds()
    0.1
    >>> report_interval(19).total_seconds()
    0.19
    """
    return min(max(REPORT_INTERVAL, INTERVAL_PER_PEER * peers), INTERVAL_LIMIT)


class Gossip:
    """Reports to all known gateways and takes their reports.

    :param address: this gateway's address for peers
    :param seeds: addresses of some gateways; they may be stale
    """

    def __init__(
        self,
        host: str,
        address: str,
        seeds: tuple[str, ...],
        cluster_view: cluster_views.ClusterView,
        load_tracker: loads.LoadTracker,
        selector: selection.Selector,
        crashes: crash_list.CrashList,
        records: record_clients.RecordClient,
        pool: pools.PeerPool,
        clock: clocks.Clock,
    ) -> None:
        self._host = host
        self._address = address
        self._cluster_view = cluster_view
        self._load_tracker = load_tracker
        self._selector = selector
        self._crashes = crashes
        self._records = records
        self._pool = pool
        self._clock = clock
        self._peers: dict[str, _Peer] = {}
        # Changes with the set of peers.
        self._peers_version = 1
        self._seeds = seeds
        self._store_reached: datetime.timedelta | None = None
        self.add_peers(seeds)

    def add_peers(self, addresses: typing.Iterable[str]) -> None:
        """Report to further gateways from now on."""
        for address in addresses:
            if address != self._address and address not in self._peers:
                self._peers[address] = _Peer(self._clock.monotonic())
                self._peers_version += 1

    def reachable_peers(self) -> list[str]:
        """Return the addresses of gateways that answered lately."""
        oldest = self._clock.monotonic() - REQUEST_TIMEOUT
        return [
            address
            for address, peer in self._peers.items()
            if not peer.is_silent
            and peer.has_answered
            and peer.last_answer >= oldest
        ]

    def is_store_reachable_by_peers(self) -> bool:
        """Whether a peer said lately that the store answers."""
        if self._store_reached is None:
            return False
        age = self._clock.monotonic() - self._store_reached
        return age < STORE_REPORT_LIMIT

    async def run(self) -> None:
        """Report for ever."""
        while True:
            now = self._clock.monotonic()
            for address, peer in list(self._peers.items()):
                if now - peer.last_answer > FORGET_AFTER:
                    del self._peers[address]
                    self._peers_version += 1
                elif not peer.is_busy and peer.next_report <= now:
                    peer.is_busy = True
                    await curio.spawn(self._report, address, peer, daemon=True)
            self.add_peers(self._seeds)
            await curio.sleep(REPORT_INTERVAL.total_seconds())

    async def serve(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        """Serve one stream of a peer.

        :raises MagnoliawoodError: if the request is refused
        """
        match message:
            case messages.GatewayReport():
                await stream.send(self._take(message))
                await self._catch_up(
                    message.address, message.version, message.revision
                )
            case messages.GetSnapshot():
                await stream.send(
                    messages.SnapshotReply(
                        self._cluster_view.snapshot(), self._records.group
                    )
                )
            case messages.RelayQuestion():
                await stream.send(
                    await relays.relay(self._pool, message, REQUEST_TIMEOUT)
                )
            case _:
                raise errors.MagnoliawoodError(
                    errors.ErrorCode.MALFORMED_REQUEST,
                    f'a gateway serves no {type(message).__name__}',
                )

    def _take(self, report: messages.GatewayReport) -> messages.ReportTaken:
        self._load_tracker.record_from_peer(report.host, report.requests)
        if report.does_reach_store:
            self._store_reached = self._clock.monotonic()
        for record in report.crashes:
            self._crashes.merge(record)
        for sent_prompt in report.prompts:
            self._selector.record_from_peer(sent_prompt)
        self.add_peers([report.address])
        is_behind = (
            report.version < self._cluster_view.version
            or report.revision < self._cluster_view.directory.revision
        )
        # Who tells its peers is new, or knows one that is.
        known = list(self._peers) if report.peers else []
        return messages.ReportTaken(known, is_behind)

    async def _report(self, address: str, peer: _Peer) -> None:
        try:
            news = self._selector.sent_prompts_after(
                peer.sent_prompts_reported
            )
            version = self._peers_version
            has_new_peers = version != peer.peers_told
            report = self._make_report(news.sent_prompts, has_new_peers)
            reply = await self._pool.request(address, report, REQUEST_TIMEOUT)
            peer.sent_prompts_reported = news.count
            peer.peers_told = version
        except errors.MagnoliawoodError as error:
            self._note_silent(address, peer, str(error))
        else:
            await self._note_answer(address, peer, reply)
        finally:
            peer.is_busy = False

    async def _note_answer(
        self, address: str, peer: _Peer, reply: messages.ReportTaken
    ) -> None:
        now = self._clock.monotonic()
        peer.last_answer = now
        peer.has_answered = True
        peer.next_report = now + report_interval(len(self._peers))
        if peer.is_silent:
            peer.is_silent = False
            _log.info('peer regained', extra={'peer': address})
        self.add_peers(reply.peers)
        if reply.is_behind:
            await self._fetch(address)

    def _note_silent(self, address: str, peer: _Peer, reason: str) -> None:
        peer.next_report = self._clock.monotonic() + SILENT_PAUSE
        if not peer.is_silent:
            peer.is_silent = True
            _log.warning(
                'peer lost', extra={'peer': address, 'reason': reason}
            )

    async def _catch_up(
        self, address: str, version: int, revision: int
    ) -> None:
        if (
            version > self._cluster_view.version
            or revision > self._cluster_view.directory.revision
        ):
            await self._fetch(address)

    async def _fetch(self, address: str) -> None:
        try:
            reply = await self._pool.request(
                address, messages.GetSnapshot(), REQUEST_TIMEOUT
            )
            self._cluster_view.merge(reply.snapshot, address)
        except (errors.MagnoliawoodError, ValueError) as error:
            _log.info(
                'snapshot not taken',
                extra={'peer': address, 'error': str(error)},
            )
            return
        self._records.update_group(reply.group)

    def _make_report(
        self, prompts: list[selection.SentPrompt], has_new_peers: bool
    ) -> messages.GatewayReport:
        return messages.GatewayReport(
            self._host,
            self._address,
            list(self._peers) if has_new_peers else [],
            self._load_tracker.local_requests(),
            self._cluster_view.version,
            self._cluster_view.directory.revision,
            self._cluster_view.outage.is_reachable,
            self._crashes.recent(),
            prompts,
        )
