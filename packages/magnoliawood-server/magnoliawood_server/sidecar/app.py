"""Assembles and runs the sidecar process."""

import datetime
import logging
import typing
import uuid

import curio

from magnoliawood.budgets import client_budget
from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.ownership import fence as fences
from magnoliawood.ownership import witness
from magnoliawood.programs import footprint
from magnoliawood.programs import records
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.http import message as http_message
from magnoliawood_server.http import server as http_server
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import frame as frames
from magnoliawood_server.peer import handshake as handshakes
from magnoliawood_server.peer import messages
from magnoliawood_server.runtime import listener
from magnoliawood_server.runtime import metrics_page
from magnoliawood_server.runtime import response_buffer as response_buffers
from magnoliawood_server.runtime import settings as settings_models
from magnoliawood_server.runtime import stop
from magnoliawood_server.sidecar import cache_releaser
from magnoliawood_server.sidecar import call_run
from magnoliawood_server.sidecar import engine
from magnoliawood_server.sidecar import runner as runners
from magnoliawood_server.sidecar import service
from magnoliawood_server.sidecar import upstream as upstreams

CAPACITY_INTERVAL = datetime.timedelta(seconds=5)

_log = logging.getLogger(__name__)


class SidecarApp:
    """Serves peer requests and runs accepted calls on the upstream.

    Requests about a program are rejected if their epoch is older than the
    newest one that the sidecar knows for the program's shard.
    """

    def __init__(
        self, settings: settings_models.SidecarSettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = uuid.uuid4().hex[:12]
        self._metrics = registries.Registry()
        self._handshake = handshakes.Handshake(
            handshakes.PeerSecrets(settings.peer_secrets()), self._metrics
        )
        self._fences = fences.FenceTable()
        self._leaving = curio.Event()
        self._active_responses = 0
        self._activity = http_server.Activity()
        self._upstream = _make_upstream(settings, clock)
        self._runner = runners.CallRunner(
            settings.name,
            self._upstream,
            clock,
            self._metrics,
            settings.concurrency,
            settings.queue_limit,
            settings.call_bytes,
            settings.response_limit_mb * 2**20,
        )
        self._responses = response_buffers.ResponseSender()
        self._releaser = cache_releaser.CacheReleaser(
            self._runner.upstream, self._runner.has_calls, self._metrics
        )
        self._handlers = {
            messages.Hello: self._hello,
            messages.AwaitLeaving: self._await_leaving,
            messages.GetCounters: self._counters,
            messages.Order: self._order,
            messages.Attach: self._attach,
            messages.Cancel: self._cancel,
            messages.Fence: self._fence,
            messages.Forget: self._forget,
            messages.ReleaseProgram: self._release,
            messages.ListHolders: self._list_holders,
            messages.NoteCrashes: self._note_crashes,
            messages.ClearCrashes: self._clear_crashes,
        }

    async def run(self) -> stop.ExitCode:
        """Serve until a stop signal arrives and the process is drained."""
        settings = self._settings
        signals = stop.StopSignals()
        peers = listener.peer_listener(
            settings.peer_listen,
            self._clock,
            self._handle,
            self._handshake,
            client_budget.ClientBudget(
                settings.unproved_peer_limits(),
                self._clock,
                self._metrics,
                'unproved',
            ),
        )
        pages = listener.http_listener(
            settings.http_listen,
            self._handle_http,
            self._activity,
            client_budget.ClientBudget(
                settings.client_budget_limits(), self._clock, self._metrics
            ),
            settings.body_limit,
        )
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(peers.run)
            await group.spawn(pages.run)
            await group.spawn(
                stop.drain,
                signals,
                self._leave,
                datetime.timedelta(seconds=settings.stop_limit_seconds),
            )
            await group.spawn(self._runner.health.watch_forever)
            await group.spawn(self._releaser.release_forever)
            await group.spawn(self._poll_cache_capacity)
            _log.info('sidecar started')
        return group.result

    async def _leave(self) -> None:
        """Reject new calls and wait for accepted calls and their outcomes.

        Outcomes whose witness records are still needed after
        ``witness_seconds`` are dropped.
        """
        self._activity.is_closing = True
        await self._leaving.set()
        await self._runner.release_held_calls()
        await curio.sleep(self._settings.stop_notice_seconds)
        await stop.wait_while(
            lambda: self._runner.waiting or self._active_responses
        )
        async with curio.ignore_after(self._settings.witness_seconds):
            await stop.wait_while(lambda: len(self._runner.witness) > 0)
        dropped = len(self._runner.witness)
        if dropped:
            _log.warning('outcomes dropped', extra={'outcomes': dropped})

    async def _poll_cache_capacity(self) -> None:
        """Read the size of the upstream's cache periodically."""
        while True:
            tokens = await self._upstream.cache_tokens()
            if tokens is not None:
                self._runner.cache.capacity_tokens = tokens
            await curio.sleep(CAPACITY_INTERVAL.total_seconds())

    async def _handle(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST,
                f'a sidecar does not serve {type(message).__name__}',
            )
        await handler(stream, message)

    async def _hello(
        self, stream: connections.Stream, message: messages.Hello
    ) -> None:
        await stream.send(self._hello_reply())

    async def _await_leaving(
        self, stream: connections.Stream, message: messages.AwaitLeaving
    ) -> None:
        await self._leaving.wait()
        await stream.send(self._hello_reply())

    def _hello_reply(self) -> messages.HelloReply:
        settings = self._settings
        return messages.HelloReply(
            settings.name,
            self._incarnation,
            settings.data_centre,
            settings.kind,
            settings.serves.split(','),
            self._runner.waiting,
            self._leaving.is_set(),
            self._runner.cache.resident_tokens,
            self._runner.speed.seconds_per_call,
            self._runner.speed.prefill_seconds_per_token,
            self._runner.health.is_up,
        )

    async def _counters(
        self, stream: connections.Stream, message: messages.GetCounters
    ) -> None:
        await stream.send(messages.Counters(self._metrics.counters()))

    async def _order(
        self, stream: connections.Stream, message: messages.Order
    ) -> None:
        intended = message.intended
        if intended.upstream_incarnation != self._incarnation:
            raise self._refusal(
                errors.ErrorCode.STALE_INCARNATION,
                'the call was dispatched to an earlier run of the sidecar',
            )
        self._check_epoch(intended.call.program.shard, message.epoch)
        if self._leaving.is_set() and not self._is_accepted(intended):
            raise self._refusal(
                errors.ErrorCode.LEAVING, 'the upstream is leaving'
            )
        run = await self._runner.accept(message)
        await self._send_response(stream, run, 0)

    async def _attach(
        self, stream: connections.Stream, message: messages.Attach
    ) -> None:
        self._check_epoch(message.call.program.shard, message.epoch)
        run = self._runner.find(message.call)
        if run is None:
            self._runner.reject_attempts(message.call, message.attempt)
            raise self._refusal(
                errors.ErrorCode.UNKNOWN_CALL, 'the sidecar has no such call'
            )
        offset = message.offset - len(run.order.partial)
        await self._send_response(stream, run, max(0, offset))

    async def _send_response(
        self, stream: connections.Stream, run: call_run.CallRun, offset: int
    ) -> None:
        self._active_responses += 1
        try:
            await self._responses.send(
                stream, run.response, offset, self._runner.load
            )
        finally:
            self._active_responses -= 1

    def _is_accepted(self, intended: records.Intended) -> bool:
        run = self._runner.find(intended.call)
        return (
            run is not None and intended.attempt <= run.order.intended.attempt
        )

    async def _cancel(
        self, stream: connections.Stream, message: messages.Cancel
    ) -> None:
        self._check_epoch(message.call.program.shard, message.epoch)
        await self._runner.cancel(message.call)
        await stream.send(messages.Done())

    async def _fence(
        self, stream: connections.Stream, message: messages.Fence
    ) -> None:
        for item in message.epochs:
            self._check_epoch(item.shard, item.epoch)
        witness_records = [
            record
            for item in message.epochs
            for record in self._runner.witness.in_shard(item.shard)
        ]
        _check_length(witness_records)
        await stream.send(
            messages.Witnesses(self._incarnation, witness_records)
        )

    async def _forget(
        self, stream: connections.Stream, message: messages.Forget
    ) -> None:
        for call in message.calls:
            self._runner.forget(call)

    async def _release(
        self, stream: connections.Stream, message: messages.ReleaseProgram
    ) -> None:
        await self._releaser.add(message.program)
        await self._runner.record_release(message.program)
        await stream.send(messages.Done())

    async def _list_holders(
        self, stream: connections.Stream, message: messages.ListHolders
    ) -> None:
        shards = set(message.shards)
        programs = await self._releaser.cached_programs()
        await stream.send(
            messages.Holders([key for key in programs if key.shard in shards])
        )

    async def _note_crashes(
        self, stream: connections.Stream, message: messages.NoteCrashes
    ) -> None:
        self._runner.crashes.merge(message.record)
        await stream.send(messages.Done())

    async def _clear_crashes(
        self, stream: connections.Stream, message: messages.ClearCrashes
    ) -> None:
        for fingerprint in message.fingerprints:
            self._runner.crashes.clear(fingerprint)
        await stream.send(messages.Done())

    def _check_epoch(self, shard: int, epoch: int) -> None:
        try:
            self._fences.check(shard, epoch)
        except errors.MagnoliawoodError as error:
            self._metrics.count('refusals_total', reason=str(error.code))
            raise

    def _refusal(
        self, code: errors.ErrorCode, detail: str
    ) -> errors.MagnoliawoodError:
        self._metrics.count('refusals_total', reason=str(code))
        return errors.MagnoliawoodError(code, detail)

    async def _handle_http(
        self, request: http_message.Request
    ) -> http_message.Response:
        if request.path in ('/healthz', '/readyz'):
            return http_message.Response(200, body=b'ok\n')
        if request.path == '/metrics':
            self._metrics.set_gauge('waiting_calls', self._runner.waiting)
            self._metrics.set_gauge(
                'upstream_up', int(self._runner.health.is_up)
            )
            self._metrics.set_gauge(
                'witness_records', len(self._runner.witness)
            )
            return metrics_page.metrics_response(self._metrics)
        raise errors.MagnoliawoodError(
            errors.ErrorCode.NOT_FOUND, f'no resource at {request.path}'
        )


def _check_length(witness_records: list[witness.WitnessRecord]) -> None:
    """Check that one message may hold witness records, before it is made.

    :raises MagnoliawoodError: with ``message_too_large``
    """
    size = sum(
        footprint.of_request(record.intended.request)
        + (footprint.of_outcome(record.outcome) if record.outcome else 0)
        for record in witness_records
    )
    if size > frames.FRAME_LIMIT_BYTES:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MESSAGE_TOO_LARGE,
            f'witness records of {size} bytes exceed a frame',
        )


def _make_upstream(
    settings: settings_models.SidecarSettings, clock: clocks.Clock
) -> upstreams.Upstream:
    read_timeout = datetime.timedelta(
        seconds=settings.upstream_silence_seconds
    )
    if settings.kind == 'engine':
        return engine.EngineUpstream(settings.upstream, clock, read_timeout)
    return service.ServiceUpstream(settings.upstream, read_timeout)
