"""Errors with stable codes."""

import dataclasses
import datetime
import enum
import http

from magnoliawood.core import verdict as verdicts


class ErrorCode(enum.StrEnum):
    """Stable code of each error reported to callers or operators."""

    MALFORMED_REQUEST = 'malformed_request'
    MALFORMED_BODY = 'malformed_body'
    MESSAGE_TOO_LARGE = 'message_too_large'
    NOT_FOUND = 'not_found'
    METHOD_NOT_ALLOWED = 'method_not_allowed'
    UNAUTHENTICATED = 'unauthenticated'
    FORBIDDEN = 'forbidden'
    UNKNOWN_PROGRAM = 'unknown_program'
    UNKNOWN_CALL = 'unknown_call'
    UNKNOWN_CLASS = 'unknown_class'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    SEQUENCE_GAP = 'sequence_gap'
    CALL_MISMATCH = 'call_mismatch'
    PROGRAM_MISMATCH = 'program_mismatch'
    PROGRAM_ENDED = 'program_ended'
    BUDGET_EXHAUSTED = 'budget_exhausted'
    CLASS_LIMIT = 'class_limit'
    CLASS_IN_USE = 'class_in_use'
    VERSION_CONFLICT = 'version_conflict'
    OVERLOADED = 'overloaded'
    HOST_OVERLOADED = 'host_overloaded'
    RATE_LIMITED = 'rate_limited'
    QUOTA_EXCEEDED = 'quota_exceeded'
    QUARANTINED = 'quarantined'
    NOT_OWNER = 'not_owner'
    OWNER_UNAVAILABLE = 'owner_unavailable'
    STORE_UNAVAILABLE = 'store_unavailable'
    UPSTREAM_UNAVAILABLE = 'upstream_unavailable'
    UPSTREAM_FAILED = 'upstream_failed'
    UPSTREAM_CRASHED = 'upstream_crashed'
    SUSPECTED = 'suspected'
    STALE_EPOCH = 'stale_epoch'
    COPY_INCOMPLETE = 'copy_incomplete'
    CHAIN_INCOMPLETE = 'chain_incomplete'
    STALE_INCARNATION = 'stale_incarnation'
    LEAVING = 'leaving'
    CANCELLED = 'cancelled'
    OUTCOME_UNKNOWN = 'outcome_unknown'
    PEER_LOST = 'peer_lost'
    INTERNAL = 'internal'


_STATUS = {
    ErrorCode.MALFORMED_REQUEST: http.HTTPStatus.BAD_REQUEST,
    ErrorCode.MALFORMED_BODY: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.MESSAGE_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    ErrorCode.NOT_FOUND: http.HTTPStatus.NOT_FOUND,
    ErrorCode.METHOD_NOT_ALLOWED: http.HTTPStatus.METHOD_NOT_ALLOWED,
    ErrorCode.UNAUTHENTICATED: http.HTTPStatus.UNAUTHORIZED,
    ErrorCode.FORBIDDEN: http.HTTPStatus.FORBIDDEN,
    ErrorCode.UNKNOWN_PROGRAM: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_CALL: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_CLASS: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_MODEL: http.HTTPStatus.NOT_FOUND,
    ErrorCode.UNKNOWN_SERVICE: http.HTTPStatus.NOT_FOUND,
    ErrorCode.SEQUENCE_GAP: http.HTTPStatus.CONFLICT,
    ErrorCode.CALL_MISMATCH: http.HTTPStatus.CONFLICT,
    ErrorCode.PROGRAM_MISMATCH: http.HTTPStatus.CONFLICT,
    ErrorCode.PROGRAM_ENDED: http.HTTPStatus.GONE,
    ErrorCode.BUDGET_EXHAUSTED: http.HTTPStatus.PAYMENT_REQUIRED,
    ErrorCode.CLASS_LIMIT: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.CLASS_IN_USE: http.HTTPStatus.CONFLICT,
    ErrorCode.VERSION_CONFLICT: http.HTTPStatus.PRECONDITION_FAILED,
    ErrorCode.OVERLOADED: http.HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.QUOTA_EXCEEDED: http.HTTPStatus.TOO_MANY_REQUESTS,
    ErrorCode.QUARANTINED: http.HTTPStatus.UNPROCESSABLE_ENTITY,
    ErrorCode.CANCELLED: http.HTTPStatus.CONFLICT,
    ErrorCode.UPSTREAM_FAILED: http.HTTPStatus.BAD_GATEWAY,
    ErrorCode.UPSTREAM_CRASHED: http.HTTPStatus.BAD_GATEWAY,
    ErrorCode.OUTCOME_UNKNOWN: http.HTTPStatus.BAD_GATEWAY,
    ErrorCode.INTERNAL: http.HTTPStatus.INTERNAL_SERVER_ERROR,
}


@dataclasses.dataclass(eq=False)
class MagnoliawoodError(Exception):
    """An error with a stable code and a verdict.

    Examples
    ========

    >>> error = MagnoliawoodError(ErrorCode.UNKNOWN_PROGRAM, 'no program p1')
    >>> error.status
    404
    >>> str(error)
    'unknown_program: no program p1'

    :param code: kind of error
    :param detail: description for a human reader, in one sentence
    :param verdict: whether the request may have run
    :param retry_after: time after which to retry, if a retry can succeed
    """

    code: ErrorCode
    detail: str
    verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN
    retry_after: datetime.timedelta | None = None

    def __str__(self) -> str:
        return f'{self.code}: {self.detail}'

    @property
    def status(self) -> int:
        """HTTP status of the code; 503 if the code has no other."""
        return int(_STATUS.get(self.code, http.HTTPStatus.SERVICE_UNAVAILABLE))
