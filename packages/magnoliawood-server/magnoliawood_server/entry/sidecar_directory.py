"""Directory of the sidecars and the state and load of their upstreams."""

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
    """State of a sidecar as last reported.

    :param has_leaving_watch: whether a stream is open on which the sidecar
        announces that it is leaving
    :param is_polling: whether a ``Hello`` to it is in progress
    :param dispatched_calls: calls that this entry has dispatched to it and
        that are in progress
    :param placed_tokens: prompt tokens dispatched to it since the last load
        report
    :param dispatched_calls_reported: ``dispatched_calls`` that the last load
        report includes
    """

    host: store.Host
    reply: messages.HelloReply | None = None
    is_reachable: bool = False
    has_leaving_watch: bool = False
    is_polling: bool = False
    dispatched_calls: int = 0
    placed_tokens: int = 0
    dispatched_calls_reported: int = 0

    @property
    def name(self) -> str:
        """Name of the host that the sidecar runs on."""
        return self.host.name

    @property
    def is_usable(self) -> bool:
        """Whether its upstream is up and new calls may be sent to it."""
        return (
            self.is_reachable
            and self.reply is not None
            and self.reply.upstream_up
            and not self.is_leaving
        )

    @property
    def is_leaving(self) -> bool:
        """Whether the host list or the sidecar reports it as leaving."""
        return self.host.leaving or (
            self.reply is not None and self.reply.leaving
        )

    def update_load(self, load: messages.UpstreamLoad) -> None:
        """Apply the upstream load that a call's response carried."""
        if self.reply is None:
            return
        self.reply = dataclasses.replace(
            self.reply,
            waiting=load.waiting,
            resident_tokens=load.resident_tokens,
            seconds_per_call=load.seconds_per_call,
            prefill_seconds=load.prefill_seconds,
        )
        # The call whose response carried the report has finished, but is
        # still counted in `dispatched_calls`.
        self.record_load_report(self.dispatched_calls - 1)

    def record_load_report(self, dispatched_calls: int) -> None:
        """Reset the local load correction after a load report.

        :param dispatched_calls: calls of this entry that the report includes
        """
        self.placed_tokens = 0
        self.dispatched_calls_reported = dispatched_calls

    def serves(self, kind: str, name: str) -> bool:
        """Whether its upstream serves a model or service of this kind."""
        reply = self.reply
        return reply is not None and reply.kind == kind and name in reply.names


class SidecarDirectory:
    """Sidecars by host name, polled in the background.

    :param drained: returns the host names of the upstreams that operators
        have drained, which get no new work
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
        # No seed: the samples need not be reproducible.
        self._random = random.Random()
        self._index: upstream_index.UpstreamIndex[Sidecar] = (
            upstream_index.UpstreamIndex()
        )

    def all(self) -> list[Sidecar]:
        """Return the sidecars of all hosts on the host list."""
        return list(self._sidecars.values())

    @property
    def leaving(self) -> int:
        """Number of sidecars that are leaving and get no new work."""
        return sum(sidecar.is_leaving for sidecar in self.all())

    def find(self, name: str) -> Sidecar | None:
        """Return a sidecar by host name, or `None` if it is not listed."""
        return self._sidecars.get(name)

    def update_hosts(self, hosts: list[store.Host]) -> None:
        """Apply the platform's host list.

        A sidecar whose address changed loses its recorded state.
        """
        listed = {host.name: host for host in hosts if host.role == 'sidecar'}
        for name in self._sidecars.keys() - listed.keys():
            del self._sidecars[name]
        for name, host in listed.items():
            existing = self._sidecars.get(name)
            if existing is None or existing.host.address != host.address:
                self._sidecars[name] = Sidecar(host)
            else:
                existing.host = host
        self._reindex()

    def reachable(self, kind: str, name: str) -> list[Sidecar]:
        """Return reachable sidecars, also those whose upstream has failed."""
        return [
            sidecar
            for sidecar in self.all()
            if sidecar.is_reachable
            and sidecar.serves(kind, name)
            and not sidecar.is_leaving
        ]

    def candidates(
        self,
        kind: str,
        name: str,
        sample_size: int = 0,
        last_upstream: str = '',
    ) -> list[Sidecar]:
        """Return usable sidecars whose upstream serves a name.

        :param sample_size: size of the random sample, 0 for all
        :param last_upstream: host that is added to the sample if it is usable
            and not drained
        :raises MagnoliawoodError: with ``unknown_model``,
            ``unknown_service`` or ``upstream_unavailable``
        """
        serving_count = self._index.serving_count(kind, name)
        if not serving_count:
            raise self._unknown(kind, name)
        usable = self._sample(kind, name, sample_size, last_upstream)
        if not usable:
            raise _unavailable(name)
        return usable

    def _sample(
        self, kind: str, name: str, sample_size: int, last_upstream: str
    ) -> list[Sidecar]:
        drained = self._drained()
        sampled = self._sample_undrained(kind, name, sample_size, drained)
        if not sampled and drained:
            sampled = self._sample_undrained(kind, name, 0, drained)
        existing = self._sidecars.get(last_upstream)
        if (
            existing
            and existing.is_usable
            and existing.serves(kind, name)
            and last_upstream not in drained
        ):
            return [existing, *(s for s in sampled if s is not existing)]
        return sampled

    def _sample_undrained(
        self,
        kind: str,
        name: str,
        sample_size: int,
        drained: frozenset[str],
    ) -> list[Sidecar]:
        sampled = self._index.sample(kind, name, sample_size, self._random)
        return [s for s in sampled if s.is_usable and s.name not in drained]

    def _unknown(self, kind: str, name: str) -> errors.MagnoliawoodError:
        # After a start not every sidecar has replied yet; one that has not may
        # serve the name.
        if not self._sidecars or any(s.reply is None for s in self.all()):
            return _unavailable(name)
        return _unknown(kind, name)

    def served_names(self, kind: str) -> list[str]:
        """Return the sorted names that upstreams of a kind serve."""
        return sorted(
            {
                name
                for sidecar in self.all()
                if sidecar.reply is not None and sidecar.reply.kind == kind
                for name in sidecar.reply.names
            }
        )

    async def poll_forever(self) -> None:
        """Poll each sidecar for the state of its upstream periodically."""
        while True:
            # Polls run concurrently so that a slow sidecar does not delay the
            # others.
            for sidecar in self.all():
                if not sidecar.is_polling:
                    await curio.spawn(self._poll_once, sidecar, daemon=True)
            await curio.sleep(POLL_INTERVAL.total_seconds())

    async def _poll_once(self, sidecar: Sidecar) -> None:
        sidecar.is_polling = True
        try:
            await self.poll(sidecar)
        finally:
            sidecar.is_polling = False

    async def poll(self, sidecar: Sidecar) -> None:
        """Request the state of a sidecar and its upstream and record it."""
        previous_state = _indexed_state(sidecar)
        try:
            sidecar.reply = await self._pool.request_with_retry(
                sidecar.host.address,
                messages.Hello(self._entry),
                RESPONSE_TIMEOUT,
            )
            sidecar.record_load_report(sidecar.dispatched_calls)
            is_reachable = True
        except errors.MagnoliawoodError:
            is_reachable = False
        if is_reachable and not (
            sidecar.has_leaving_watch or sidecar.reply.leaving
        ):
            sidecar.has_leaving_watch = True
            await curio.spawn(self._watch_leaving, sidecar, daemon=True)
        if is_reachable != sidecar.is_reachable:
            sidecar.is_reachable = is_reachable
            _log.info(
                'sidecar reachability changed',
                extra={'sidecar': sidecar.name, 'reachable': is_reachable},
            )
        if _indexed_state(sidecar) != previous_state:
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

    async def _watch_leaving(self, sidecar: Sidecar) -> None:
        """Wait until a sidecar announces that it is leaving and record it."""
        try:
            stream = await self._pool.open_stream(sidecar.host.address)
            try:
                await stream.send(messages.AwaitLeaving())
                sidecar.reply = await stream.receive()
                self._reindex()
                _log.info(
                    'sidecar is leaving', extra={'sidecar': sidecar.name}
                )
            finally:
                stream.close()
        except errors.MagnoliawoodError:
            _log.debug(
                'connection to sidecar lost', extra={'sidecar': sidecar.name}
            )
        finally:
            sidecar.has_leaving_watch = False


def view_of(sidecar: Sidecar) -> routing.UpstreamView:
    """Return the load of a sidecar's upstream as routing uses it.

    Calls that this entry dispatched after the last load report are added to
    the reported load.
    """
    reply = sidecar.reply
    if reply is None:
        return routing.UpstreamView(
            sidecar.name, sidecar.host.data_centre, sidecar.dispatched_calls
        )
    return routing.UpstreamView(
        sidecar.name,
        sidecar.host.data_centre,
        max(
            sidecar.dispatched_calls,
            reply.waiting
            + sidecar.dispatched_calls
            - sidecar.dispatched_calls_reported,
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
