"""Binds each stream to the software version of the upstream that began it.

What two versions generate does not fit together, and upstreams don't check
it.
"""

import dataclasses
import datetime
import logging
import typing

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import directory as directories
from magnoliawood.replication import quorum
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood.turns import records
from magnoliawood_server.gateway import record_client as record_clients
from magnoliawood_server.platform import requests

# A stream may be taken up for this long after its route's timeout.
ORIGIN_RETENTION = datetime.timedelta(minutes=2)
# Retry delay of a request for a stream whose version does not serve.
RETRY_AFTER = datetime.timedelta(milliseconds=500)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class StreamBinding:
    """State of the stream of one request.

    :param origin: upstream that runs it or, once bound, that began it
    :param is_bound: whether only upstreams like the origin may run it
    :param origins: number of origins that were written
    :param write: write of the origin, in progress or done
    :param planned: origin that a new stream will have, if that is known
        before an upstream is chosen
    :param expires_at: Unix time in seconds before which no origin expires
    """

    origin: records.StreamRecord | None = None
    is_bound: bool = False
    origins: int = 0
    write: curio.Task | None = None
    planned: records.StreamRecord | None = None
    expires_at: float = 0.0

    def mark_planned_stored(self) -> None:
        """Record that the planned origin is on a write quorum of disks."""
        if self.planned is not None:
            self.origin = self.planned
            self.origins = self.planned.attempt

    def allows(self, upstream: directories.Upstream) -> bool:
        """Whether the stream may run on an upstream."""
        return not self.is_bound or self.is_origin(upstream)

    def is_origin(self, upstream: directories.Upstream) -> bool:
        """Whether an upstream has the service and version of the origin."""
        origin = self.origin
        return origin is not None and (
            (origin.service, origin.version)
            == (upstream.service, upstream.version)
        )


class DirectoryCheck(typing.Protocol):
    """Protocol of what confirms that the known upstreams are not outdated."""

    async def confirm(self) -> bool:
        """Return whether the directory has all that the store has now."""
        ...


class StreamGuard:
    """Stores the origin of streams and finds it when they are taken up.

    Explanation
    ===========

    A caller may take a stream up at any gateway. The origin is on a write
    quorum of disks before the caller gets the first event, so whoever can
    read a quorum finds it. The write runs while the upstream works on the
    first event.

    :param directory_check: asked before a stream that the caller does not
        name goes on, since a host that was cut off or stood still does not
        know the versions that have joined meanwhile
    """

    def __init__(
        self,
        client: record_clients.RecordClient,
        directory: directories.UpstreamDirectory,
        clock: clocks.Clock,
        registry: registries.Registry,
        directory_check: DirectoryCheck,
    ) -> None:
        self._directory_check = directory_check
        self._client = client
        self._directory = directory
        self._clock = clock
        self._registry = registry

    async def bind(
        self,
        metadata: requests.RequestMetadata,
        route: configurations.Route,
        service: str,
    ) -> StreamBinding:
        """Return the binding of a request for a stream.

        :param service: service that would run a new stream
        :raises MagnoliawoodError: with ``upstream_unavailable`` if a stream
            that is taken up can't go on, with ``store_unavailable`` if its
            origin can't be read, or a new one not be written
        """
        if metadata.last_event_id is None:
            self._check_replicas()
            expires_at = self._clock.now() + route.timeout + ORIGIN_RETENTION
            return StreamBinding(
                planned=self._plan(metadata, service, expires_at),
                expires_at=expires_at.timestamp(),
            )
        if metadata.resumed_id:
            origin = await self._find(metadata.resumed_id)
        else:
            origin = await self._only_origin(service)
        self._registry.count(
            'streams_taken_up_total',
            stream='named' if metadata.resumed_id else 'unnamed',
            origin='unknown' if origin is None else 'known',
        )
        if origin is None:
            raise _cannot_go_on(metadata, 'its origin is unknown')
        if origin.service not in {share.service for share in route.shares}:
            raise _cannot_go_on(metadata, 'its service has left the route')
        return StreamBinding(origin, is_bound=True)

    async def begin_attempt(
        self,
        binding: StreamBinding,
        request_id: str,
        upstream: directories.Upstream,
    ) -> None:
        """Start to store the origin of a stream that has no event yet.

        Explanation
        ===========

        A disk may lack the origin and store the one that it replaces. The
        later one must not expire first, or the stream would seem to have
        begun at the earlier one.
        """
        if binding.is_bound or binding.is_origin(upstream):
            return
        binding.origins += 1
        expires_at = self._clock.now() + ORIGIN_RETENTION
        binding.origin = records.StreamRecord(
            request_id,
            upstream.service,
            upstream.version,
            binding.origins,
            max(expires_at.timestamp(), binding.expires_at),
        )
        binding.write = await curio.spawn(
            self._try_write, binding.origin, daemon=True
        )

    async def confirm(self, binding: StreamBinding) -> None:
        """Wait until the origin is stored, and bind the stream to it.

        Called before the first event is sent to the caller.

        :raises MagnoliawoodError: with ``store_unavailable``
        """
        if binding.write is not None:
            error = await binding.write.join()
            if error is not None:
                # The next attempt writes it again.
                binding.origin = None
                raise error
        binding.is_bound = True

    def _check_replicas(self) -> None:
        """Reject a stream whose first event could not be sent."""
        if not self._client.is_reachable:
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE,
                'too few replicas to store the origin of the stream',
                retry_after=RETRY_AFTER,
            )

    async def _try_write(
        self, origin: records.StreamRecord
    ) -> errors.MagnoliawoodError | None:
        """Write an origin and return the error if that failed."""
        try:
            await self._client.write([origin])
        except errors.MagnoliawoodError as error:
            _log.warning(
                'origin of a stream not stored',
                extra={'request_id': origin.stream_id, 'error': str(error)},
            )
            return error
        return None

    async def _find(self, stream_id: str) -> records.StreamRecord | None:
        return quorum.decide_origin(await self._client.read_stream(stream_id))

    def _plan(
        self,
        metadata: requests.RequestMetadata,
        service: str,
        expires_at: datetime.datetime,
    ) -> records.StreamRecord | None:
        """Return the origin of a new stream if only one is likely."""
        versions = {
            upstream.version for upstream in self._directory.usable(service)
        }
        if len(versions) != 1:
            return None
        return records.StreamRecord(
            metadata.request_id,
            service,
            versions.pop(),
            1,
            expires_at.timestamp(),
        )

    async def _only_origin(self, service: str) -> records.StreamRecord | None:
        """Return the origin of an unnamed stream if only one is possible."""
        if self._directory.only_version(service) is None:
            return None
        if not await self._directory_check.confirm():
            return None
        version = self._directory.only_version(service)
        if version is None:
            return None
        return records.StreamRecord('', service, version, 1, 0.0)


def _cannot_go_on(
    metadata: requests.RequestMetadata, reason: str
) -> errors.MagnoliawoodError:
    name = metadata.resumed_id or 'without a name'
    return errors.MagnoliawoodError(
        errors.ErrorCode.UPSTREAM_UNAVAILABLE,
        f'stream {name} can not go on: {reason}',
        retry_after=RETRY_AFTER,
    )
