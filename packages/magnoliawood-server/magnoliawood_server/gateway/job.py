"""State and identity of a request in progress."""

import dataclasses
import datetime
import hashlib
import random

from magnoliawood.accounts import authentication
from magnoliawood.core import errors
from magnoliawood.fleet import selection
from magnoliawood.routes import configuration as configurations
from magnoliawood.routes import table as tables
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import delivery as deliveries
from magnoliawood_server.gateway import fingerprint as request_fingerprints
from magnoliawood_server.gateway import stream_guard
from magnoliawood_server.gateway import turn_guard
from magnoliawood_server.platform import requests

# Minimum retry delay sent with a rejection. A random part of RETRY_SPREAD is
# added so that callers do not all retry at the same moment.
RETRY_AFTER = datetime.timedelta(milliseconds=100)
RETRY_SPREAD = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(slots=True)
class Job:
    """State of a request in progress.

    :param deadline: monotonic time at which the request is aborted
    :param table: routes and services of the configuration under which it was
        admitted
    :param admitted: monotonic time at which it was first ready to be sent
    :param attempts: number of attempts that may have run
    :param runs: number of attempts that an upstream may have run, delivered
        ones too
    :param is_counted: whether it was taken from the quota of its account
    :param attempts_not_run: number of attempts that certainly did not run
    :param stream: binding to the origin of the stream, if it is resumable
    :param tried: ids of the upstreams that failed
    :param is_program_known: whether a turn of its program has been served
    :param identity: who sent the request; ``None`` if the configuration
        declares no client accounts
    :param first_event_at: monotonic time at which the first event of the
        response was about to be sent
    :param permit_wait: time until an upstream within its rate limit may be
        available, if the request was rejected for want of one
    :param room_wait: time after which it finds room, if it was refused
        because the upstreams are full
    """

    request: callers.CallerRequest
    metadata: requests.RequestMetadata
    responder: callers.Responder
    route: configurations.Route
    service: str
    deadline: datetime.timedelta
    fingerprints: request_fingerprints.Fingerprints
    table: tables.RouteTable | None = None
    turn: turn_guard.Turn | None = None
    stream: stream_guard.StreamBinding | None = None
    admitted: datetime.timedelta | None = None
    delivery: deliveries.Delivery = dataclasses.field(
        default_factory=deliveries.Delivery
    )
    attempts: int = 0
    runs: int = 0
    is_counted: bool = False
    attempts_not_run: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    last_reason: str = ''
    is_program_known: bool = False
    identity: authentication.Identity | None = None
    first_event_at: datetime.timedelta | None = None
    permit_wait: datetime.timedelta | None = None
    room_wait: datetime.timedelta | None = None

    @property
    def configuration(self) -> int:
        """Version of the configuration under which it was admitted."""
        return self.table.configuration.version if self.table else 0

    @property
    def tokens_spent(self) -> int:
        """Tokens of the events that were sent to the caller.

        They count as the configuration says under which the request was
        admitted; a later one may have no such service any more.
        """
        service = self.table.service(self.service) if self.table else None
        if service is None or service.engine is None:
            return self.delivery.events
        return self.delivery.events * service.engine.tokens_per_event

    @property
    def is_turn(self) -> bool:
        """Whether the request is a turn with a budget or a history."""
        is_stream = self.route.kind is configurations.RequestKind.STREAMING
        return is_stream and (
            self.metadata.budget_tokens is not None or self.route.keeps_history
        )

    @property
    def demand(self) -> selection.RequestDemand:
        """Work that the request causes at an upstream, at most."""
        return self._demand(self.metadata.output_tokens)

    @property
    def expected_demand(self) -> selection.RequestDemand:
        """Work that the request is expected to cause at an upstream."""
        return self._demand(self.metadata.expected_tokens)

    def _demand(self, output_tokens: int) -> selection.RequestDemand:
        key = (
            self.metadata.affinity
            or self.metadata.session_id
            or self.metadata.request_id
        )
        return selection.RequestDemand(
            self.metadata.parts,
            output_tokens,
            key,
            self.route.is_idempotent,
            self.route.has_affinity and bool(self.metadata.affinity),
        )

    @property
    def account(self) -> str:
        """Name of the client account of the request; empty if none."""
        return '' if self.identity is None else self.identity.name

    @property
    def priority(self) -> tuple[int, int]:
        """Priority of the account, then of the route; 0 is the highest."""
        account = None if self.identity is None else self.identity.account
        account_rank = account.rank if account is not None else None
        return account_rank or 0, self.route.rank

    @property
    def rank(self) -> int:
        """Rank among the requests for a scarce upstream; 0 is the first.

        A stream that the caller already receives comes first. Within a
        priority, programs in progress come before new ones.
        """
        if self.responder.is_started:
            return 0
        return 2 * self.route.rank + self.is_new_program

    @property
    def is_new_program(self) -> bool:
        """Whether it is a turn of a program that has not been seen before."""
        return self.is_turn and not (
            self.is_program_known or self.metadata.previous_turn_id
        )

    @property
    def is_resumable_stream(self) -> bool:
        """Whether the request is for a stream that may be taken up."""
        is_stream = self.route.kind is configurations.RequestKind.STREAMING
        return is_stream and self.route.is_resumable

    def abort_error(
        self, is_timeout: bool = False
    ) -> errors.MagnoliawoodError:
        """Return the error with which the request ends.

        :param is_timeout: whether its deadline has passed
        """
        if not self.attempts and self.room_wait is not None:
            return errors.MagnoliawoodError(
                errors.ErrorCode.UPSTREAM_UNAVAILABLE,
                'the upstreams are full',
                retry_after=self.room_wait,
            )
        if not self.attempts and self.permit_wait is not None:
            return errors.MagnoliawoodError(
                errors.ErrorCode.RATE_LIMITED,
                'all upstreams are at the rate limits that they name',
                retry_after=max(RETRY_AFTER, self.permit_wait)
                + RETRY_SPREAD * random.random(),
            )
        if not self.attempts:
            return errors.MagnoliawoodError(
                errors.ErrorCode.UPSTREAM_UNAVAILABLE,
                self.last_reason or 'no upstream is available',
                retry_after=RETRY_AFTER + RETRY_SPREAD * random.random(),
            )
        code = errors.ErrorCode.UPSTREAM_FAILED
        if is_timeout:
            code = errors.ErrorCode.OUTCOME_UNKNOWN
        return errors.MagnoliawoodError(
            code,
            self.last_reason or 'no complete response before the deadline',
            errors.verdicts.Verdict.MAY_HAVE_RUN,
        )

    def cut_error(self, is_evicted: bool = False) -> errors.MagnoliawoodError:
        """Return the error with which a request ends before its time.

        :param is_evicted: whether it gives way since its caller makes no
            progress; otherwise the process stops
        """
        reason = 'the process stops before the request has ended'
        if is_evicted:
            reason = 'others need the room of a caller that does not read'
        if self.runs:
            return errors.MagnoliawoodError(
                errors.ErrorCode.OUTCOME_UNKNOWN,
                reason,
                errors.verdicts.Verdict.MAY_HAVE_RUN,
            )
        code = errors.ErrorCode.LEAVING
        if is_evicted:
            code = errors.ErrorCode.HOST_OVERLOADED
        return errors.MagnoliawoodError(code, reason, retry_after=RETRY_AFTER)


def hash_point(metadata: requests.RequestMetadata) -> float:
    """Hash the session to a point in [0, 1).

    Without a session, the affinity key or the id of the request is used.
    """
    name = metadata.session_id or metadata.affinity or metadata.request_id
    digest = hashlib.blake2b(name.encode('latin-1'), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
