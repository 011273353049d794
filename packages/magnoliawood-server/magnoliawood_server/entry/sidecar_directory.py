"""What an entry knows of the sidecars and their upstreams."""

import collections.abc
import dataclasses
import datetime
import logging
import random

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.platform import store
from magnoliawood.scheduling import routing
from magnoliawood.scheduling import upstream_index
from magnoliawood_server.peer import messages
from magnoliawood_server.peer import pool as pools

POLL_INTERVAL = datetime.timedelta(milliseconds=500)
RESPONSE_TIMEOUT = datetime.timedelta(seconds=1)
RETRY_AFTER = datetime.timedelta(seconds=1)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class Sidecar:
    """One sidecar as last heard of.

    :param is_followed: whether it will say at once that it is leaving
    :param is_polled: whether a question to it is under way
    :param orders: orders of this entry that are under way there
    :param placed_tokens: prompts placed there since the last report
    :param orders_reported: own orders under way at the last report
    """

    host: store.Host
    reply: messages.HelloReply | None = None
    is_reachable: bool = False
    is_followed: bool = False
    is_polled: bool = False
    orders: int = 0
    placed_tokens: int = 0
    orders_reported: int = 0

    @property
    def name(self) -> str:
        """Name of the host."""
        return self.host.name

    @property
    def is_usable(self) -> bool:
        """Whether it may receive new work."""
        return (
            self.is_reachable
            and self.reply is not None
            and self.reply.upstream_up
            and not self.is_leaving
        )

    @property
    def is_leaving(self) -> bool:
        """Whether its host list line or the sidecar itself says so."""
        return self.host.leaving or (
            self.reply is not None and self.reply.leaving
        )

    def update_load(self, load: messages.UpstreamLoad) -> None:
        """Take in the load that came with an answer."""
        if self.reply is None:
            return
        self.reply = dataclasses.replace(
            self.reply,
            waiting=load.waiting,
            resident_tokens=load.resident_tokens,
            seconds_per_call=load.seconds_per_call,
            prefill_seconds=load.prefill_seconds,
        )
        # The call that brought the report does not wait any more.
        self.record_load_report(self.orders - 1)

    def record_load_report(self, orders: int) -> None:
        """Correct the load by own orders from here on."""
        self.placed_tokens = 0
        self.orders_reported = orders

    def serves(self, kind: str, name: str) -> bool:
        """Whether its upstream is of a kind and serves a name."""
        reply = self.reply
        return reply is not None and reply.kind == kind and name in reply.names


class SidecarDirectory:
    """Sidecars by host name, refreshed in the background.

    :param drained: names those that operators keep new work from
    """

    def __init__(
        self,
        entry: str,
        pool: pools.PeerPool,
        clock: clocks.Clock,
        drained: collections.abc.Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._drained = drained
        self._entry = entry
        self._pool = pool
        self._clock = clock
        self._sidecars: dict[str, Sidecar] = {}
        # The draws need no seed: they decide nothing that must repeat.
        self._random = random.Random()
        self._index: upstream_index.UpstreamIndex[Sidecar] = (
            upstream_index.UpstreamIndex()
        )

    def all(self) -> list[Sidecar]:
        """Return all known sidecars."""
        return list(self._sidecars.values())

    @property
    def leaving(self) -> int:
        """Sidecars that get no new work because they are leaving."""
        return sum(sidecar.is_leaving for sidecar in self.all())

    def find(self, name: str) -> Sidecar | None:
        """Return a sidecar by host name."""
        return self._sidecars.get(name)

    def update_hosts(self, hosts: list[store.Host]) -> None:
        """Take over the platform's host list."""
        listed = {host.name: host for host in hosts if host.role == 'sidecar'}
        for name in self._sidecars.keys() - listed.keys():
            del self._sidecars[name]
        for name, host in listed.items():
            known = self._sidecars.get(name)
            if known is None or known.host.address != host.address:
                self._sidecars[name] = Sidecar(host)
            else:
                known.host = host
        self._reindex()

    def reachable(self, kind: str, name: str) -> list[Sidecar]:
        """Return the sidecars that answer, also beside lost upstreams."""
        return [
            sidecar
            for sidecar in self.all()
            if sidecar.is_reachable
            and sidecar.serves(kind, name)
            and not sidecar.is_leaving
        ]

    def candidates(
        self, kind: str, name: str, sample_size: int = 0, last: str = ''
    ) -> list[Sidecar]:
        """Return usable sidecars whose upstream serves a name.

        :param sample_size: how many to draw, 0 for all
        :param last: host that is among them if it is usable
        :raises MagnoliawoodError: with ``unknown_model``,
            ``unknown_service`` or ``upstream_unavailable``
        """
        serving_count = self._index.serving_count(kind, name)
        if not serving_count:
            raise self._unknown(kind, name)
        usable = self._draw(kind, name, sample_size, last)
        if not usable:
            raise _unavailable(name)
        return usable

    def _draw(
        self, kind: str, name: str, sample_size: int, last: str
    ) -> list[Sidecar]:
        drained = self._drained()
        drawn = self._undrained(kind, name, sample_size, drained)
        if not drawn and drained:
            drawn = self._undrained(kind, name, 0, drained)
        known = self._sidecars.get(last)
        if (
            known
            and known.is_usable
            and known.serves(kind, name)
            and last not in drained
        ):
            return [known, *(s for s in drawn if s is not known)]
        return drawn

    def _undrained(
        self,
        kind: str,
        name: str,
        sample_size: int,
        drained: frozenset[str],
    ) -> list[Sidecar]:
        drawn = self._index.sample(kind, name, sample_size, self._random)
        return [s for s in drawn if s.is_usable and s.name not in drained]

    def _unknown(self, kind: str, name: str) -> errors.MagnoliawoodError:
        # An entry that has just started has not heard of every upstream.
        if not self._sidecars or any(s.reply is None for s in self.all()):
            return _unavailable(name)
        return _unknown(kind, name)

    def served_names(self, kind: str) -> list[str]:
        """Return the names that upstreams of a kind serve."""
        return sorted(
            {
                name
                for sidecar in self.all()
                if sidecar.reply is not None and sidecar.reply.kind == kind
                for name in sidecar.reply.names
            }
        )

    async def poll_forever(self) -> None:
        """Ask each sidecar what it stands beside, again and again."""
        while True:
            # One that is slow to answer must not hold up the others.
            for sidecar in self.all():
                if not sidecar.is_polled:
                    await curio.spawn(self._poll_once, sidecar, daemon=True)
            await curio.sleep(POLL_INTERVAL.total_seconds())

    async def _poll_once(self, sidecar: Sidecar) -> None:
        sidecar.is_polled = True
        try:
            await self.poll(sidecar)
        finally:
            sidecar.is_polled = False

    async def poll(self, sidecar: Sidecar) -> None:
        """Ask one sidecar what it stands beside."""
        before = _indexed_state(sidecar)
        try:
            sidecar.reply = await self._pool.request_with_retry(
                sidecar.host.address,
                messages.Hello(self._entry),
                RESPONSE_TIMEOUT,
            )
            sidecar.record_load_report(sidecar.orders)
            is_reachable = True
        except errors.MagnoliawoodError:
            is_reachable = False
        if is_reachable and not (sidecar.is_followed or sidecar.reply.leaving):
            sidecar.is_followed = True
            await curio.spawn(self._follow_leaving, sidecar, daemon=True)
        if is_reachable != sidecar.is_reachable:
            sidecar.is_reachable = is_reachable
            _log.info(
                'sidecar reachability changed',
                extra={'sidecar': sidecar.name, 'reachable': is_reachable},
            )
        if _indexed_state(sidecar) != before:
            self._reindex()

    def _reindex(self) -> None:
        self._index = upstream_index.UpstreamIndex()
        for sidecar in self._sidecars.values():
            if sidecar.reply is not None:
                self._index.add(
                    sidecar,
                    sidecar.reply.kind,
                    sidecar.reply.names,
                    sidecar.is_usable,
                )

    async def _follow_leaving(self, sidecar: Sidecar) -> None:
        """Note at once when a sidecar begins to leave."""
        try:
            stream = await self._pool.open_stream(sidecar.host.address)
            try:
                await stream.send(messages.AwaitLeaving())
                sidecar.reply = await stream.receive()
                self._reindex()
                _log.info('sidecar leaves', extra={'sidecar': sidecar.name})
            finally:
                stream.close()
        except errors.MagnoliawoodError:
            _log.debug('sidecar lost', extra={'sidecar': sidecar.name})
        finally:
            sidecar.is_followed = False


def view_of(sidecar: Sidecar) -> routing.UpstreamView:
    """Return what routing needs to know of a sidecar."""
    reply = sidecar.reply
    if reply is None:
        return routing.UpstreamView(
            sidecar.name, sidecar.host.data_centre, sidecar.orders
        )
    return routing.UpstreamView(
        sidecar.name,
        sidecar.host.data_centre,
        max(
            sidecar.orders,
            reply.waiting + sidecar.orders - sidecar.orders_reported,
        ),
        reply.seconds_per_call,
        reply.resident_tokens + sidecar.placed_tokens,
        reply.prefill_seconds,
    )


def _indexed_state(sidecar: Sidecar) -> tuple[object, ...]:
    reply = sidecar.reply
    served = () if reply is None else (reply.kind, *reply.names)
    return (*served, sidecar.is_usable)


def _unavailable(name: str) -> errors.MagnoliawoodError:
    return errors.MagnoliawoodError(
        errors.ErrorCode.UPSTREAM_UNAVAILABLE,
        f'no upstream that serves {name} is available',
        retry_after=RETRY_AFTER,
    )


def _unknown(kind: str, name: str) -> errors.MagnoliawoodError:
    if kind == 'engine':
        code = errors.ErrorCode.UNKNOWN_MODEL
    else:
        code = errors.ErrorCode.UNKNOWN_SERVICE
    return errors.MagnoliawoodError(
        code, f'no upstream serves {name}', retry_after=RETRY_AFTER
    )
