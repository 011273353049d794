import datetime

import curio
import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.core import errors
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import version_history
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood.turns import records
from magnoliawood_server.gateway import stream_guard
from magnoliawood_server.platform import requests

SECOND = datetime.timedelta(seconds=1)
OLD = directories.Upstream('i-1', 'llm', 'h:1', 'dc-1', 8, version='v1')
NEW = directories.Upstream('i-2', 'llm', 'h:2', 'dc-1', 8, version='v2')
OTHER_SERVICE = directories.Upstream(
    'i-3', 'other', 'h:3', 'dc-1', 8, version='v3'
)


class Client:
    """Records on one disk, whose writes may fail."""

    def __init__(self):
        self.stored = []
        self.failures = 0
        self.is_reachable = True

    async def write(self, new_records):
        if self.failures:
            self.failures -= 1
            raise errors.MagnoliawoodError(
                errors.ErrorCode.STORE_UNAVAILABLE, 'injected fault'
            )
        self.stored += new_records

    async def read_stream(self, stream_id):
        return [item for item in self.stored if item.stream_id == stream_id]


@pytest.fixture
def client():
    return Client()


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def directory(clock):
    return directories.UpstreamDirectory(clock)


class Check:
    """Confirms the directory, after it has applied what is missing."""

    def __init__(self):
        self.is_store_reachable = True
        self.apply_missing = lambda: None

    async def confirm(self):
        self.apply_missing()
        return self.is_store_reachable


@pytest.fixture
def check():
    return Check()


@pytest.fixture
def guard(client, directory, check):
    return stream_guard.StreamGuard(
        client, directory, clocks.ManualClock(), registries.Registry(), check
    )


def _route(*services):
    return configurations.Route(
        'streams',
        'app',
        '/',
        configurations.RequestKind.STREAMING,
        SECOND,
        SECOND,
        0,
        tuple(configurations.ServiceShare(service) for service in services),
        2,
        is_resumable=True,
    )


def _metadata(**headers):
    return requests.decode_request_metadata(
        [
            (name.replace('_', '-').encode(), value.encode())
            for name, value in headers.items()
        ]
    )


def _begin(guard, *upstreams):
    """Attempt a new stream at upstreams; the last one makes an event."""

    async def begin():
        binding = await guard.bind(_metadata(), _route('llm'), 'llm')
        for upstream in upstreams:
            await guard.begin_attempt(binding, 'stream', upstream)
        await guard.confirm(binding)
        return binding

    return curio.run(begin)


def _take_up(guard, route=None, **headers):
    metadata = _metadata(last_event_id='2', **headers)
    return curio.run(guard.bind, metadata, route or _route('llm'), 'llm')


def test_new_stream_may_run_anywhere_until_its_first_event(guard):
    binding = curio.run(guard.bind, _metadata(), _route('llm'), 'llm')
    assert binding.allows(OLD)
    assert binding.allows(NEW)


def test_stream_is_bound_once_it_has_an_event(guard):
    binding = _begin(guard, OLD)
    assert binding.allows(OLD)
    assert not binding.allows(NEW)


# Guards against a second write of the origin, and against one that is stored
# for a version at which the stream does not begin.
@pytest.mark.parametrize(
    ('began_at', 'written'), [(OLD, []), (NEW, [('v2', 2)])]
)
def test_planned_origin_is_replaced_only_at_another_version(
    guard, directory, client, began_at, written
):
    directory.replace([OLD, OTHER_SERVICE], 1, None)

    async def begin():
        binding = await guard.bind(
            _metadata(request_id='stream'), _route('llm'), 'llm'
        )
        assert binding.planned.stream_id == 'stream'
        binding.mark_planned_stored()
        assert binding.allows(NEW)
        await guard.begin_attempt(binding, 'stream', began_at)
        await guard.confirm(binding)
        assert binding.is_origin(began_at)

    curio.run(begin)
    assert [(item.version, item.attempt) for item in client.stored] == written


def test_origin_does_not_expire_before_the_one_that_it_replaces(
    guard, directory, client
):
    """Guards against a disk that knows only the replaced one (issue 41)."""
    directory.replace([OLD], 1, None)

    async def begin():
        binding = await guard.bind(
            _metadata(request_id='stream'), _route('llm'), 'llm'
        )
        binding.mark_planned_stored()
        await guard.begin_attempt(binding, 'stream', NEW)
        await guard.confirm(binding)
        return binding.planned

    planned = curio.run(begin)
    [replacement] = client.stored
    assert replacement.expires_at >= planned.expires_at


def test_no_origin_is_planned_while_two_versions_serve(guard, directory):
    directory.replace([OLD, NEW], 1, None)
    binding = curio.run(guard.bind, _metadata(), _route('llm'), 'llm')
    assert binding.planned is None


# Guards against binding a stream to an upstream that was tried first but made
# no event.
def test_stream_is_bound_to_the_upstream_that_made_its_first_event(guard):
    _begin(guard, OLD, NEW)
    binding = _take_up(guard, resumes='stream')
    assert binding.allows(NEW)
    assert not binding.allows(OLD)


# Guards against events at the caller whose origin no gateway finds.
def test_stream_without_a_stored_origin_does_not_start(guard, client):
    client.failures = 1
    with pytest.raises(errors.MagnoliawoodError):
        _begin(guard, OLD)


# Guards against running a prompt whose first event can't be sent.
def test_new_stream_is_rejected_while_replicas_are_unreachable(guard, client):
    client.is_reachable = False
    with pytest.raises(errors.MagnoliawoodError) as caught:
        _begin(guard, OLD)
    assert caught.value.code is errors.ErrorCode.STORE_UNAVAILABLE


def test_origin_is_written_again_after_a_failure(guard, client):
    client.failures = 1

    async def begin():
        binding = await guard.bind(_metadata(), _route('llm'), 'llm')
        await guard.begin_attempt(binding, 'stream', OLD)
        with pytest.raises(errors.MagnoliawoodError):
            await guard.confirm(binding)
        await guard.begin_attempt(binding, 'stream', OLD)
        await guard.confirm(binding)

    curio.run(begin)
    assert [origin.attempt for origin in client.stored] == [2]


# Guards against a stream that goes on at an older origin because two requests
# began with one id.
def test_stream_of_two_requests_with_one_id_is_rejected(guard, client):
    client.stored = [
        records.StreamRecord('stream', 'llm', version, 1, 60.0)
        for version in ('v1', 'v2')
    ]
    with pytest.raises(errors.MagnoliawoodError):
        _take_up(guard, resumes='stream')


def test_stream_whose_service_left_the_route_is_rejected(guard):
    _begin(guard, OLD)
    with pytest.raises(errors.MagnoliawoodError):
        _take_up(guard, _route('other'), resumes='stream')
    assert _take_up(guard, _route('other', 'llm'), resumes='stream').is_bound


# Guards against rejecting callers that do not name the stream while it can
# only go on at one version.
@pytest.mark.parametrize(
    ('upstreams', 'goes_on'),
    [([OLD], True), ([OLD, OTHER_SERVICE], True), ([OLD, NEW], False)],
)
def test_unnamed_stream_goes_on_only_if_one_version_serves(
    guard, directory, clock, upstreams, goes_on
):
    directory.replace(upstreams, 1, None)
    clock.advance(version_history.STREAM_LIFETIME)
    route = _route('llm', 'other')
    if goes_on:
        assert _take_up(guard, route).allows(OLD)
    else:
        with pytest.raises(errors.MagnoliawoodError):
            _take_up(guard, route)


# Guards against joining two versions: the upstreams of the old one have just
# left, and this gateway may have started after that.
@pytest.mark.parametrize('was_known', [True, False])
def test_unnamed_stream_is_rejected_after_its_version_has_left(
    guard, directory, clock, was_known
):
    if was_known:
        directory.replace([OLD], 1, None)
        clock.advance(version_history.STREAM_LIFETIME)
    directory.replace([NEW], 2, None)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        _take_up(guard)
    assert caught.value.retry_after


@pytest.mark.parametrize('is_reachable', [True, False])
def test_unnamed_stream_is_rejected_where_a_version_joined_unseen(
    guard, directory, clock, check, is_reachable
):
    """Guards against ORDER at a host that was out of step (issue 41).

    It stood still, or was cut off, while the other version joined.
    """
    directory.replace([OLD], 1, None)
    clock.advance(version_history.STREAM_LIFETIME)
    check.is_store_reachable = is_reachable
    if is_reachable:
        joined = directories.UpstreamChange(NEW.id, NEW)
        left = directories.UpstreamChange(NEW.id, None)
        check.apply_missing = lambda: directory.apply([joined, left], 2, None)
    with pytest.raises(errors.MagnoliawoodError) as caught:
        _take_up(guard)
    assert caught.value.code is errors.ErrorCode.UPSTREAM_UNAVAILABLE
    assert caught.value.retry_after
