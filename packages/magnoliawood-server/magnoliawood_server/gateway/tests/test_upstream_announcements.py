import datetime

import pytest

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import upstream_announcements
from magnoliawood_server.platform import requests

ENGINE = directories.Upstream('i-1', 'llm', '10.0.0.1:80', 'dc-1', 8)
SIGNED = (b'server-stamp', b's')
NOT_RUN = (b'not-executed', b'1')
LIMIT = (b'server-limit', b'4.5')
SECOND = datetime.timedelta(seconds=1)


class Recorder:
    """Announcements of one upstream on a manual clock."""

    def __init__(self):
        self.clock = clocks.ManualClock()
        self.registry = registries.Registry()
        self.directory = directories.UpstreamDirectory(self.clock)
        self.announcements = upstream_announcements.UpstreamAnnouncements(
            self.directory, self.registry
        )

    @property
    def rate(self):
        return self.directory.rate_limits.rate(ENGINE)

    def respond(self, *headers, status=200):
        """Record a response to a request that was sent just now."""
        self.clock.advance(SECOND)
        self.announcements.record_head(
            ENGINE,
            requests.decode_response_head(status, headers),
            self.clock.monotonic(),
        )


@pytest.fixture
def recorder():
    return Recorder()


# Guards against a limit that is recognised in some responses only.
@pytest.mark.parametrize(
    ('status', 'headers', 'rate'),
    [
        (200, (SIGNED, LIMIT), 4.5),
        (500, (SIGNED, LIMIT), 4.5),
        (503, (NOT_RUN, LIMIT), 4.5),
        (421, (LIMIT,), None),
    ],
    ids=['success', 'failure', 'refusal', 'another upstream'],
)
def test_limit_is_recognised(recorder, status, headers, rate):
    recorder.respond(*headers, status=status)
    assert recorder.rate == rate


def test_limit_in_trailers_is_recognised(recorder):
    recorder.announcements.record_trailers(ENGINE, [LIMIT])
    assert recorder.rate == 4.5


# Guards against ending a limit by what doesn't come from the upstream, or says
# nothing about it.
@pytest.mark.parametrize(
    ('status', 'headers', 'rate'),
    [
        (200, (SIGNED,), None),
        (503, (NOT_RUN,), None),
        (200, (), 4.5),
        (421, (), 4.5),
        (200, (SIGNED, (b'server-limit', b'none')), 4.5),
    ],
    ids=['success', 'refusal', 'unsigned', 'another upstream', 'no number'],
)
def test_limit_ends_with_a_response_of_the_upstream(
    recorder, status, headers, rate
):
    recorder.respond(SIGNED, LIMIT)
    recorder.respond(*headers, status=status)
    assert recorder.rate == rate


def test_trailers_without_a_limit_do_not_end_it(recorder):
    recorder.respond(SIGNED, LIMIT)
    recorder.announcements.record_trailers(ENGINE, [])
    assert recorder.rate == 4.5


def test_changes_are_counted(recorder):
    recorder.respond(SIGNED, LIMIT)
    recorder.respond(SIGNED, LIMIT)
    recorder.respond(SIGNED, (b'server-limit', b'9'))
    recorder.respond(SIGNED, (b'server-limit', b'?'))
    recorder.respond(SIGNED)
    assert [
        recorder.registry.counter('rate_limit_changes_total', change=change)
        for change in ('named', 'changed', 'invalid', 'ended')
    ] == [1, 1, 1, 1]
