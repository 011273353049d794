"""Calls: what a program asks of an upstream."""

import dataclasses
import datetime
import hashlib
import json
import typing

from magnoliawood import charts
from magnoliawood.core import errors
from magnoliawood.core import verdict as verdicts
from magnoliawood.limits import crash_list
from magnoliawood.programs import identity
from magnoliawood.programs import message as messages


@dataclasses.dataclass(frozen=True, slots=True)
class ModelRequest:
    """A model turn.

    :param model: name of the model
    :param messages: the new messages of this turn
    :param max_tokens: the most tokens to generate
    """

    model: str
    messages: list[messages.Message]
    max_tokens: int

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run again after an unknown outcome."""
        return True

    @property
    def token_limit(self) -> int:
        """The most tokens it can spend."""
        return self.max_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A call of a plain service.

    :param service: name of the service
    :param operation: path segment that names the operation
    :param body: JSON text of the arguments
    :param idempotent: whether it may run again
    """

    service: str
    operation: str
    body: str
    idempotent: bool

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run again after an unknown outcome."""
        return self.idempotent

    @property
    def token_limit(self) -> int:
        """The most tokens it can spend."""
        return 0


Request = ModelRequest | ServiceRequest


@dataclasses.dataclass(frozen=True, slots=True)
class CallOutcome:
    """How a call ended.

    :param verdict: whether the request ran
    :param content: the whole answer
    :param tokens: generated tokens
    :param status: status code of a service's answer, 200 for a model turn
    :param finish_reason: why a model turn ended
    :param code: error code where the call failed
    :param detail: error text where the call failed
    :param retry_after_seconds: when to come back, 0 if that is pointless
    :param crashes: crashes of upstreams that the request is blamed for
    """

    verdict: verdicts.Verdict
    content: str = ''
    tokens: int = 0
    status: int = 200
    finish_reason: str = 'stop'
    code: str = ''
    detail: str = ''
    retry_after_seconds: float = 0.0
    crashes: tuple[crash_list.Crash, ...] = ()

    @property
    def is_success(self) -> bool:
        """Whether the upstream gave a whole answer."""
        return not self.code

    @classmethod
    def from_error(cls, error: errors.MagnoliawoodError) -> 'CallOutcome':
        """Describe a failed call."""
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
        """Return the error that a failed call stands for."""
        seconds = self.retry_after_seconds
        return errors.MagnoliawoodError(
            errors.ErrorCode(self.code),
            self.detail,
            self.verdict,
            datetime.timedelta(seconds=seconds) if seconds else None,
        )


def fingerprint(request: Request) -> str:
    """Return a digest by which equal requests are recognised.

    Examples
    ========

    >>> one = ServiceRequest('pours', 'book', '{}', False)
    >>> two = ServiceRequest('pours', 'book', '{}', True)
    >>> fingerprint(one) == fingerprint(two)
    False
    """
    fields = dataclasses.asdict(typing.cast(typing.Any, request))
    text = json.dumps(fields, sort_keys=True).encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def content_fingerprint(digest: str, request: Request) -> str:
    """Return a digest of all that an upstream is given to work on.

    Explanation
    ===========

    Limits such as the number of tokens stay out, so that a caller that
    varies them still sends the same content.

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
    whole = messages.chain_digest(digest, request.messages)
    text = f'{request.model}\0{whole}'.encode()
    return hashlib.blake2b(text, digest_size=16).hexdigest()


class Call:
    """One call of a program and the state it is in.

    :param call_id: program and sequence number
    :param key: idempotency key that the caller gave
    :param request: what to run
    :param reserved: tokens reserved for it
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
        """Program and sequence number."""
        return self._id

    @property
    def key(self) -> str:
        """Idempotency key."""
        return self._key

    @property
    def request(self) -> Request:
        """What to run."""
        return self._request

    @property
    def reserved(self) -> int:
        """Tokens reserved for it."""
        return self._reserved

    @property
    def wasted(self) -> int:
        """Tokens that lost orders of the call may have spent."""
        return self._wasted

    @property
    def state(self) -> str:
        """State in the chart ``call``."""
        return self._state

    @property
    def outcome(self) -> CallOutcome | None:
        """How it ended, once it has."""
        return self._outcome

    @property
    def is_done(self) -> bool:
        """Whether it has an outcome."""
        return self._outcome is not None

    def matches(self, key: str, request: Request) -> bool:
        """Whether a repeat is the same call as this one."""
        return key == self._key and fingerprint(request) == self._fingerprint

    def update_reservation(self, reserved: int, wasted: int) -> None:
        """Set what the next order reserves and the lost ones may have spent.

        :param wasted: tokens of all lost orders together
        """
        self._reserved = reserved
        self._wasted = wasted

    def advance(self, trigger: str) -> None:
        """Apply an event of the chart.

        :raises ValueError: if the chart forbids it
        """
        self._state = self._chart.next_state(self._state, trigger)

    def finish(self, outcome: CallOutcome) -> None:
        """Set the outcome and the state that goes with it."""
        self.advance(_trigger_of(outcome))
        self._outcome = outcome


def _trigger_of(outcome: CallOutcome) -> str:
    if outcome.is_success:
        return 'finish'
    if outcome.verdict is verdicts.Verdict.MAY_HAVE_RUN:
        return 'lose_outcome'
    return 'fail'
