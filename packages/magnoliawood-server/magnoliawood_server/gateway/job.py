"""A request under way and what names it."""

import dataclasses
import datetime
import hashlib

from magnoliawood.routes import configuration as configurations
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import turn_guard
from magnoliawood_server.platform import requests


@dataclasses.dataclass(slots=True)
class Job:
    """A request under way.

    :param deadline: monotonic time at which it is given up
    :param admitted: monotonic time at which it was first ready to be sent
    :param attempts: upstreams that may have run it
    :param not_run: upstreams that did not
    """

    request: callers.CallerRequest
    metadata: requests.RequestMetadata
    responder: callers.Responder
    route: configurations.Route
    service: str
    deadline: datetime.timedelta
    fingerprint: str
    turn: turn_guard.Turn | None = None
    admitted: datetime.timedelta | None = None
    delivery: exchanges.Delivery = dataclasses.field(
        default_factory=exchanges.Delivery
    )
    attempts: int = 0
    not_run: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_reason: str = ''

    @property
    def is_turn(self) -> bool:
        """Whether it is a turn of a program."""
        is_stream = self.route.kind is configurations.RequestKind.STREAMING
        return is_stream and (
            self.metadata.budget_tokens is not None or self.route.keeps_history
        )


def fingerprint_of(
    request: callers.CallerRequest, metadata: requests.RequestMetadata
) -> str:
    """Return what is equal for all attempts at one request."""
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        request.method,
        request.target,
        metadata.program_id,
        metadata.session_id,
        metadata.previous_turn_id,
        metadata.affinity,
    ):
        digest.update(part.encode('latin-1') + b'\0')
    digest.update(request.body)
    return digest.hexdigest()


def hash_point(metadata: requests.RequestMetadata) -> float:
    """Return a point that is the same for all requests of one line."""
    name = metadata.session_id or metadata.affinity or metadata.request_id
    digest = hashlib.blake2b(name.encode('latin-1'), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
