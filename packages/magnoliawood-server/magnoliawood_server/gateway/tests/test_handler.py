import datetime
import types

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import selection
from magnoliawood.limits import crash_list
from magnoliawood.limits import crash_record
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import caller as callers
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import fingerprint as request_fingerprints
from magnoliawood_server.gateway import handler as handlers
from magnoliawood_server.gateway import job as jobs
from magnoliawood_server.gateway import quarantine as quarantines
from magnoliawood_server.gateway.tests import permits_support
from magnoliawood_server.platform import requests

FINGERPRINTS = request_fingerprints.Fingerprints(
    'content', ('caller',), 'prefix-page'
)
CRASHES = (
    crash_record.Crash('engine-1', 'a'),
    crash_record.Crash('engine-2', 'b'),
)
UPSTREAMS = [
    directories.Upstream(f'i-{number}', 'llm', f'h-{number}:80', 'dc-1', 8)
    for number in range(3)
]


class Attempts:
    """Replaces the attempts at upstreams; each has the given ending."""

    def __init__(self, ending, crashes):
        self.count = 0
        self._ending = ending
        self._crashes = crashes

    async def run(self, job, exchange, upstream, time_left):
        self.count += 1
        # Another gateway quarantines the request while it is under way.
        self._crashes.record_crashes(FINGERPRINTS.content, CRASHES)
        return exchanges.Result(self._ending, 'injected fault')


def _make_job(clock, kind):
    request = callers.CallerRequest(
        'POST', '/page', [(b'request-id', b'r-1')], b'', clock.monotonic()
    )
    route = configurations.Route(
        'route',
        'app',
        '/',
        kind,
        datetime.timedelta(seconds=4),
        datetime.timedelta(seconds=1),
        0,
        (configurations.ServiceShare('llm'),),
        3,
        False,
        datetime.timedelta(),
        False,
    )
    return jobs.Job(
        request,
        requests.decode_request_metadata(request.headers),
        types.SimpleNamespace(is_started=False),
        route,
        'llm',
        clock.monotonic() + datetime.timedelta(seconds=4),
        FINGERPRINTS,
    )


# Guards against running a quarantined request at a gateway that has started
# and does not know of earlier crashes yet.
def test_gateway_is_not_ready_before_it_knows_of_crashes():
    clock = clocks.ManualClock()
    registry = registries.Registry()
    cluster_view = types.SimpleNamespace(is_ready=True, table=object())
    quarantine = quarantines.Quarantine(
        crash_list.CrashList(clock), clock, registry
    )
    handler = handlers.RequestHandler(
        cluster_view,
        None,
        None,
        None,
        None,
        None,
        None,
        quarantine,
        None,
        None,
        clock,
        registry,
    )
    request = _make_job(clock, configurations.RequestKind.SAFE).request
    with pytest.raises(errors.MagnoliawoodError) as caught:
        handler._jobs.make(
            request,
            requests.decode_request_metadata(request.headers),
            None,
            False,
        )
    assert caught.value.code is errors.ErrorCode.UPSTREAM_UNAVAILABLE
    quarantine.mark_loaded()
    assert handler.is_ready


# Guards against sending a request that is under way to one more upstream
# after another gateway has quarantined it.
@pytest.mark.parametrize(
    ('ending', 'code'),
    [
        (exchanges.Ending.REFUSED, errors.ErrorCode.SUSPECTED),
        (exchanges.Ending.FAILED, errors.ErrorCode.UPSTREAM_FAILED),
    ],
)
def test_request_quarantined_under_way_is_not_sent_again(
    monkeypatch, ending, code
):
    clock = clocks.ManualClock()
    crashes = crash_list.CrashList(clock)
    load_tracker = loads.LoadTracker(clock)
    registry = registries.Registry()
    cluster_view = cluster_views.ClusterView(clock)
    cluster_view.directory.replace(UPSTREAMS, 1, None)
    handler = handlers.RequestHandler(
        cluster_view,
        load_tracker,
        selection.Selector(load_tracker, prompt_cache.PromptCaches(), 'dc-1'),
        prompt_cache.PromptCaches(),
        None,
        None,
        None,
        quarantines.Quarantine(crashes, clock, registry),
        None,
        permits_support.Gateway(
            permits_support.Network(), 'gateway', clock
        ).permits,
        clock,
        registry,
    )
    attempts = Attempts(ending, crashes)
    monkeypatch.setattr(handler, '_attempt', attempts.run)
    job = _make_job(clock, configurations.RequestKind.SAFE)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        curio.run(handler._try_upstreams(job, b''))
    assert caught.value.code is code
    assert attempts.count == 1


class SilentExchange:
    """Replaces an exchange with an upstream that never answers."""

    async def run(self, upstream, time_left, may_reuse):
        await curio.sleep(60)


# Guards against a request that makes its upstream hang until the deadline,
# and against blaming a stream that had started.
@pytest.mark.parametrize('is_started', [False, True])
def test_request_without_an_answer_is_suspected_once_its_upstream_is_lost(
    is_started,
):
    clock = clocks.ManualClock()
    registry = registries.Registry()
    load_tracker = loads.LoadTracker(clock)
    quarantine = quarantines.Quarantine(
        crash_list.CrashList(clock), clock, registry
    )
    handler = handlers.RequestHandler(
        None,
        load_tracker,
        None,
        None,
        None,
        None,
        None,
        quarantine,
        None,
        None,
        clock,
        registry,
    )
    job = _make_job(clock, configurations.RequestKind.SAFE)
    job.responder.is_started = is_started
    result = curio.run(
        handler._attempt(
            job,
            SilentExchange(),
            UPSTREAMS[0],
            datetime.timedelta(milliseconds=10),
        )
    )
    assert result is None
    quarantine.record_unreachable(UPSTREAMS[0])
    assert quarantine.is_suspected(FINGERPRINTS) != is_started


class UnreachableGuard:
    """Replaces what stores turns; too few replicas respond."""

    async def store_turn(self, turn, input_bytes, output, tokens, deadline):
        raise errors.MagnoliawoodError(
            errors.ErrorCode.STORE_UNAVAILABLE, 'injected fault'
        )


@pytest.mark.parametrize(
    ('is_started', 'error_type'),
    [(False, errors.MagnoliawoodError), (True, callers.ResponseAborted)],
)
def test_turn_that_is_not_stored_is_answered_if_nothing_was_sent(
    is_started, error_type
):
    """Guards against a connection closed in place of an answer.

    The answer must not promise that the turn has not run.
    """
    clock = clocks.ManualClock()
    handler = handlers.RequestHandler(
        None,
        None,
        None,
        None,
        None,
        UnreachableGuard(),
        None,
        None,
        None,
        None,
        clock,
        registries.Registry(),
    )
    job = _make_job(clock, configurations.RequestKind.STREAMING)
    job.responder.is_started = is_started
    job.turn = types.SimpleNamespace(
        retention_period=datetime.timedelta(seconds=1)
    )
    with pytest.raises(error_type) as caught:
        curio.run(handler._before_end(job))
    if not is_started:
        assert caught.value.code is errors.ErrorCode.OUTCOME_UNKNOWN
