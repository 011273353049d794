"""The sidecar process."""

import logging
import typing
import uuid

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.ownership import fence as fences
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.http import message as http_message
from magnoliawood_server.peer import connection as connections
from magnoliawood_server.peer import messages
from magnoliawood_server.runtime import answer as answers
from magnoliawood_server.runtime import listener
from magnoliawood_server.runtime import settings as settings_models
from magnoliawood_server.sidecar import cache_releaser
from magnoliawood_server.sidecar import call_run
from magnoliawood_server.sidecar import engine
from magnoliawood_server.sidecar import runner as runners
from magnoliawood_server.sidecar import service
from magnoliawood_server.sidecar import upstream as upstreams

_log = logging.getLogger(__name__)


class SidecarApp:
    """Checks epochs, queues orders and runs them on the upstream."""

    def __init__(
        self, settings: settings_models.SidecarSettings, clock: clocks.Clock
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = uuid.uuid4().hex[:12]
        self._metrics = registries.Registry()
        self._fences = fences.FenceTable()
        self._is_leaving = False
        self._runner = runners.CallRunner(
            settings.name,
            _make_upstream(settings),
            clock,
            self._metrics,
            settings.concurrency,
            settings.queue_limit,
        )
        self._releaser = cache_releaser.CacheReleaser(
            self._runner.upstream, self._runner.has_calls, self._metrics
        )
        self._handlers = {
            messages.Hello: self._hello,
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

    async def run(self) -> None:
        """Serve until a signal asks for a stop."""
        settings = self._settings
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(
                listener.serve_peers,
                settings.peer_listen,
                self._clock,
                self._handle,
            )
            await group.spawn(
                listener.serve_http, settings.http_listen, self._handle_http
            )
            await group.spawn(self._runner.health.watch_forever)
            await group.spawn(self._releaser.release_forever)
            _log.info('sidecar started')
            await group.join()

    async def _handle(
        self, stream: connections.Stream, message: typing.Any
    ) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.MALFORMED_REQUEST,
                f'a sidecar takes no {type(message).__name__}',
            )
        await handler(stream, message)

    async def _hello(
        self, stream: connections.Stream, message: messages.Hello
    ) -> None:
        settings = self._settings
        await stream.send(
            messages.HelloReply(
                settings.name,
                self._incarnation,
                settings.data_centre,
                settings.kind,
                settings.serves.split(','),
                self._runner.waiting,
                self._is_leaving,
                self._runner.health.is_up,
            )
        )

    async def _order(
        self, stream: connections.Stream, message: messages.Order
    ) -> None:
        intended = message.intended
        if intended.upstream_incarnation != self._incarnation:
            raise self._refusal(
                errors.ErrorCode.STALE_INCARNATION,
                'the order is meant for an earlier run of the sidecar',
            )
        self._check_epoch(intended.call.program.shard, message.epoch)
        if self._is_leaving and self._runner.find(intended.call) is None:
            raise self._refusal(
                errors.ErrorCode.LEAVING, 'the upstream is leaving'
            )
        run = await self._runner.accept(message)
        await self._send_answer(stream, run, 0)

    async def _attach(
        self, stream: connections.Stream, message: messages.Attach
    ) -> None:
        self._check_epoch(message.call.program.shard, message.epoch)
        run = self._runner.find(message.call)
        if run is None:
            self._runner.bar(message.call, message.attempt)
            raise self._refusal(
                errors.ErrorCode.UNKNOWN_CALL, 'the call never arrived here'
            )
        offset = message.offset - len(run.order.partial)
        await self._send_answer(stream, run, max(0, offset))

    async def _send_answer(
        self, stream: connections.Stream, run: call_run.CallRun, offset: int
    ) -> None:
        await answers.send_answer(stream, run.answer, offset)

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
        found = [
            record
            for item in message.epochs
            for record in self._runner.witness.in_shard(item.shard)
        ]
        await stream.send(messages.Witnesses(self._incarnation, found))

    async def _forget(
        self, stream: connections.Stream, message: messages.Forget
    ) -> None:
        for call in message.calls:
            self._runner.forget(call)

    async def _release(
        self, stream: connections.Stream, message: messages.ReleaseProgram
    ) -> None:
        await self._releaser.add(message.program)
        await stream.send(messages.Done())

    async def _list_holders(
        self, stream: connections.Stream, message: messages.ListHolders
    ) -> None:
        shards = set(message.shards)
        found = await self._releaser.holders()
        await stream.send(
            messages.Holders([key for key in found if key.shard in shards])
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
            return http_message.Response(
                200,
                {'content-type': 'text/plain; version=0.0.4'},
                self._metrics.exposition().encode(),
            )
        raise errors.MagnoliawoodError(
            errors.ErrorCode.NOT_FOUND, f'no page {request.path}'
        )


def _make_upstream(
    settings: settings_models.SidecarSettings,
) -> upstreams.Upstream:
    if settings.kind == 'engine':
        return engine.EngineUpstream(settings.upstream)
    return service.ServiceUpstream(settings.upstream)
