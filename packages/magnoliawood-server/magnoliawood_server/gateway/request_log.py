"""Log lines about the requests of callers and their attempts."""

import datetime
import logging

from magnoliawood.core import errors
from magnoliawood.fleet import directory as directories
from magnoliawood.scheduling import waiting_line
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.gateway import service_rooms
from magnoliawood_server.platform import requests

_MILLISECOND = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


def log_refused(
    metadata: requests.RequestMetadata,
    error: errors.MagnoliawoodError,
    elapsed: datetime.timedelta,
    configuration: int,
) -> None:
    """Log that a request was refused.

    :param elapsed: time since the request arrived
    :param configuration: version of the configuration
    """
    _log.warning(
        'request refused',
        extra={
            'request_id': metadata.request_id,
            'code': str(error.code),
            'reason': error.detail,
            'verdict': str(error.verdict),
            'configuration': configuration,
            'elapsed_ms': elapsed // _MILLISECOND,
        },
    )


def log_failed_attempt(
    job: jobs.Job, upstream: directories.Upstream, result: exchanges.Result
) -> None:
    """Log an attempt that delivered no complete response."""
    use = result.connection_use
    _log.warning(
        'attempt failed',
        extra={
            'request_id': job.metadata.request_id,
            'upstream': upstream.id,
            'version': upstream.version,
            'ending': str(result.ending),
            'reason': result.reason,
            'events': job.delivery.events,
            'fingerprint': job.fingerprints.content,
            'idle_ms': _milliseconds(use.idle_time if use else None),
        },
    )


def log_served(
    job: jobs.Job,
    upstream: directories.Upstream,
    result: exchanges.Result,
    now: datetime.timedelta,
    configuration: int,
    requests_there: int,
) -> None:
    """Log that a request got a complete response.

    :param now: monotonic time
    :param configuration: version of the configuration
    :param requests_there: requests of all gateways at the upstream
    """
    _log.info(
        'served',
        extra={
            'request_id': job.metadata.request_id,
            'program': job.metadata.program_id,
            'route': job.route.name,
            'configuration': configuration,
            'admitted_configuration': job.configuration,
            'upstream': upstream.id,
            'version': upstream.version,
            'resumes': job.metadata.resumed_id,
            'requests_there': requests_there,
            'attempts': job.attempts + job.attempts_not_run + 1,
            'admitted_ms': _milliseconds(
                job.admitted and job.admitted - job.request.arrived
            ),
            'events': job.delivery.events,
            'elapsed_ms': (now - job.request.arrived) // _MILLISECOND,
            'outcome': result.reason,
        },
    )


def log_no_room(
    job: jobs.Job,
    state: service_rooms.ServiceState,
    refusal: waiting_line.Refuse,
) -> None:
    """Log a refusal for want of room, with what it was decided from."""
    _log.warning(
        'no room',
        extra={
            **_room_fields(job, state),
            'reason': str(refusal.reason),
            'retry_after_ms': refusal.retry_after // _MILLISECOND,
            'expected_wait_ms': refusal.expected_wait // _MILLISECOND,
            'ahead': refusal.ahead,
            'is_kept': refusal.is_kept,
            'places_per_second': round(refusal.rate, 1),
        },
    )


def log_waited(
    job: jobs.Job,
    state: service_rooms.ServiceState,
    waited: datetime.timedelta,
) -> None:
    """Log a wait for room that is long against the target."""
    _log.info(
        'waited for room',
        extra={
            **_room_fields(job, state),
            'waited_ms': waited // _MILLISECOND,
        },
    )


def _room_fields(
    job: jobs.Job, state: service_rooms.ServiceState
) -> dict[str, object]:
    return {
        'request_id': job.metadata.request_id,
        'program': job.metadata.program_id,
        'route': job.route.name,
        'account': job.account,
        'priority': job.priority,
        'is_new_program': job.is_new_program,
        'service': state.name,
        'requests': state.room.requests,
        'slots': state.room.slots,
        'own': state.room.own,
        'share': round(state.room.share, 3),
        'waiting': len(state.line),
        'run_ms': state.line.run_time // _MILLISECOND,
        'word_age_ms': _milliseconds(state.word_age),
    }


def _milliseconds(period: datetime.timedelta | None) -> int | None:
    """Return a period in milliseconds, if it is known."""
    return None if period is None else period // _MILLISECOND
