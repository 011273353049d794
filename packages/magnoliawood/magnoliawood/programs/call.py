"""Calls: the requests that a program sends to upstreams."""

import dataclasses
import datetime
import hashlib
import typing

from magnoliawood import charts
from magnoliawood.core import errors
from magnoliawood.core import json_pieces
from magnoliawood.core import verdict as verdicts
from magnoliawood.limits import crash_record
from magnoliawood.programs import identity
from magnoliawood.programs import message as messages


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """Request of one model turn.

    :param model: name of the model
    :param messages: the new messages of this turn
    :param max_tokens: maximum number of tokens to generate
    """

    model: str
    messages: list[messages.Message]
    max_tokens: int

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run again after an unknown outcome."""
        return True

    @property
    def token_limit(self) -> int:
        """Maximum number of tokens that the request can generate."""
        return self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Request to a service that is not a model.

    :param service: name of the service
    :param operation: name of the operation, used as a path segment
    :param body: JSON text of the arguments
    :param idempotent: whether the request may run more than once
    """

    service: str
    operation: str
    body: str
    idempotent: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run again after an unknown outcome."""
        return self.idempotent

    @property
    def token_limit(self) -> int:
        """Maximum number of tokens that the request can generate."""
        return 0


Request = ModelRequest | ServiceRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """Outcome of a call.

    :param verdict: whether the request ran
    :param content: text of the complete response
    :param tokens: number of generated tokens
    :param status: status code of a service's response, 200 for a model turn
    :param finish_reason: why a model turn ended
    :param code: error code of a failed call, empty after a success
    :param detail: error text of a failed call
    :param retry_after_seconds: delay before a retry, 0 if a retry is of no use
    :param crashes: crashes of upstreams that are attributed to the request
    """

    verdict: verdicts.Verdict
    content: str = ''
    tokens: int = 0
    status: int = 200
    finish_reason: str = 'stop'
    code: str = ''
    detail: str = ''
    retry_after_seconds: float = 0.0
    crashes: tuple[crash_record.Crash, ...] = ()

    @property
    def is_success(self) -> bool:
        """Whether the upstream returned a complete response."""
        return not self.code

    @classmethod
    def from_error(cls, error: errors.MagnoliawoodError) -> 'CallOutcome':
        """Return the outcome of a call that failed with an error."""
        after = error.retry_after or datetime.timedelta()
        return cls(
            verdict=error.verdict,
            status=error.status,
            finish_reason='error',
            code=str(error.code),
            detail=error.detail,
            retry_after_seconds=after.total_seconds(),
        )

    def to_error(self) -> errors.MagnoliawoodError:
        """Return the error that describes a failed call."""
        seconds = self.retry_after_seconds
        return errors.MagnoliawoodError(
            errors.ErrorCode(self.code),
            self.detail,
            self.verdict,
            datetime.timedelta(seconds=seconds) if seconds else None,
        )


def fingerprint(request: Request) -> str:
    """Return a digest that is the same for equal requests.

    Examples
    ========

    >>> one = ServiceRequest('pours', 'book', '{}', False)
    >>> two = ServiceRequest('pours', 'book', '{}', True)
    >>> fingerprint(one) == fingerprint(two)
    False
    """
    fields = dataclasses.asdict(typing.cast(typing.Any, request))
    digest = hashlib.blake2b(digest_size=16)
    for piece in json_pieces.of(fields, sort_keys=True):
        digest.update(piece.encode())
    return digest.hexdigest()


def content_fingerprint(digest: str, request: Request) -> str:
    """Return a digest of the content that an upstream has to process.

    Explanation
    ===========

    Limits such as the number of tokens are left out, so that requests that
    differ only in their limits have the same digest.

    :param digest: hash chain over the history before the request

    Examples
    ========

    >>> text = [messages.Message('user', 'hello')]
    >>> one = content_fingerprint('', ModelRequest('m', text, 10))
    >>> one == content_fingerprint('', ModelRequest('m', text, 20))
    True
    >>> one == content_fingerprint('other', ModelRequest('m', text, 10))
    False
    """
    if isinstance(request, ServiceRequest):
        return fingerprint(request)
    extended_digest = messages.chain_digest(digest, request.messages)
    text = f'{request.model}\0{extended_digest}'.encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


class Call:
    """One call of a program and its current state.

    :param call_id: program and sequence number
    :param key: idempotency key that the caller chose
    :param request: request to send to an upstream
    :param reserved: tokens reserved for the current attempt
    """

    def __init__(
        self,
        call_id: identity.CallId,
        key: str,
        request: Request,
        reserved: int,
    ) -> None:
        self._id = call_id
        self._key = key
        self._request = request
        self._reserved = reserved
        self._fingerprint = fingerprint(request)
        self._chart = charts.load_chart('call')
        self._state = self._chart.initial
        self._outcome: CallOutcome | None = None
        self.upstream = ''
        self.upstream_incarnation = ''
        self.attempt = 0
        self._wasted = 0

    @property
    def id(self) -> identity.CallId:
        """Program and sequence number of the call."""
        return self._id

    @property
    def key(self) -> str:
        """Idempotency key that the caller chose."""
        return self._key

    @property
    def request(self) -> Request:
        """Request to send to an upstream."""
        return self._request

    @property
    def reserved(self) -> int:
        """Tokens reserved for the current attempt."""
        return self._reserved

    @property
    def wasted(self) -> int:
        """Tokens that lost attempts of the call may have generated."""
        return self._wasted

    @property
    def state(self) -> str:
        """Current state in the chart ``call``."""
        return self._state

    @property
    def outcome(self) -> CallOutcome | None:
        """Outcome of the call, None until it has ended."""
        return self._outcome

    @property
    def is_done(self) -> bool:
        """Whether the call has an outcome."""
        return self._outcome is not None

    def matches(self, key: str, request: Request) -> bool:
        """Whether a repeated request is identical to that of this call."""
        return key == self._key and fingerprint(request) == self._fingerprint

    def update_reservation(self, reserved: int, wasted: int) -> None:
        """Set the tokens of the next attempt and of the lost attempts.

        :param reserved: tokens reserved for the next attempt
        :param wasted: tokens that all lost attempts together may have
            generated
        """
        self._reserved = reserved
        self._wasted = wasted

    def advance(self, trigger: str) -> None:
        """Apply an event of the chart.

        :raises ValueError: if the chart has no transition for it
        """
        self._state = self._chart.next_state(self._state, trigger)

    def finish(self, outcome: CallOutcome) -> None:
        """Set the outcome and the final state that corresponds to it."""
        self.advance(_trigger_of(outcome))
        self._outcome = outcome


def _trigger_of(outcome: CallOutcome) -> str:
    if outcome.is_success:
        return 'finish'
    if outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        return 'lose_outcome'
    return 'fail'
