"""Planned stop of a gateway whose callers send until it is gone."""

import dataclasses
import http.client
import itertools
import json
import random
import signal
import threading
import time

import pytest

from magnoliawood_testing.cluster import hosted
from magnoliawood_testing.cluster import hosted_routes

GRACE_SECONDS = 5
CALLERS = 32
ROUTE_TIMEOUT_MS = 9000
STREAM_EVENTS = 5
CLOCK_SLACK_MS = 20
_WAIT_SECONDS = 20


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a caller saw of a request; the status is ``None`` if nothing."""

    request_id: str
    path: str
    deadline_ms: int
    sent_at: float
    head_sent_at: float
    status: int | None = None
    body: bytes = b''
    reason: str = ''
    ended_at: float = 0.0

    @property
    def is_stream(self):
        return self.path.endswith('/stream')

    @property
    def is_whole(self):
        if self.is_stream:
            return self.body.count(b'data:') == STREAM_EVENTS
        return self.body == b'done'


class Callers:
    """Callers that send requests of all kinds until nobody listens."""

    def __init__(self, address, seed):
        self._address = address
        self._sources = [random.Random(f'{seed}-{n}') for n in range(CALLERS)]
        self._numbers = itertools.count()
        self._stop = threading.Event()
        self.outcomes = []
        self._threads = [
            threading.Thread(target=self._run, args=(source,))
            for source in self._sources
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *details):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, source):
        connection = None
        while not self._stop.is_set():
            if connection is None or source.random() < 0.3:
                connection = http.client.HTTPConnection(
                    self._address, timeout=_WAIT_SECONDS
                )
            outcome = self._send(connection, source)
            if outcome is None:
                return
            if outcome.status is None:
                connection = None
            time.sleep(source.random() * 0.05)

    def _send(self, connection, source):
        outcome = Outcome(
            f'r{next(self._numbers)}',
            source.choice(
                ['/safe/x', '/once/x', '/turns/stream', '/streams/stream']
            ),
            source.choice([300, 1500, 3000, 4200, 9000]),
            time.monotonic(),
            time.monotonic(),
        )
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            return None
        self.outcomes.append(outcome)
        try:
            self._exchange(connection, outcome, source)
        except (OSError, http.client.HTTPException) as error:
            outcome.status = None
            outcome.reason = repr(error)
            connection.close()
        outcome.ended_at = time.monotonic()
        return outcome

    def _exchange(self, connection, outcome, source):
        body = b'x' * 64
        connection.putrequest('POST', outcome.path, skip_host=True)
        for name, text in (
            ('Host', hosted_routes.HOST),
            ('Request-Id', outcome.request_id),
            ('Deadline-Ms', str(outcome.deadline_ms)),
            ('Content-Length', str(len(body))),
            *self._turn_headers(outcome, source),
        ):
            connection.putheader(name, text)
        is_slow = source.random() < 0.2
        first = 32 if is_slow else len(body)
        outcome.head_sent_at = time.monotonic()
        connection.endheaders(body[:first])
        if is_slow:
            time.sleep(source.random() * 1.5)
            connection.send(body[first:])
            outcome.sent_at = time.monotonic()
        response = connection.getresponse()
        outcome.status = response.status
        outcome.body = response.read()

    def _turn_headers(self, outcome, source):
        if outcome.path != '/turns/stream' or source.random() < 0.3:
            return
        yield 'Program-Id', f'p{source.randrange(10**9)}'
        yield 'Token-Budget', '1000'


def _begin_and_disturb(deployment, source):
    """Send SIGTERM, and beside the stop what else may come."""
    gateway = deployment.gateways[0]
    gateway.send_signal(signal.SIGTERM)
    began = time.monotonic()
    for version in itertools.count(3):
        if not gateway.is_running:
            return time.monotonic() - began
        number = source.choice([signal.SIGTERM, signal.SIGHUP, None])
        if number is None and version < 8:
            deployment.put_configuration(version, _routes())
        elif number is not None:
            gateway.send_signal(number)
        time.sleep(source.random() * 0.4)
    return None


def _routes():
    return [
        {**route, 'timeout_ms': ROUTE_TIMEOUT_MS}
        for route in hosted_routes.standard_routes()
    ]


@pytest.mark.parametrize('seed', [1])
def test_stop_under_load_answers_truly_what_was_read(seed):
    """Guards against requests that a stop cuts, or refuses after they ran."""
    source = random.Random(seed)
    with hosted.HostedDeployment(bounds={'grace_s': GRACE_SECONDS}) as started:
        assert started.put_configuration(2, _routes())
        for name in started.upstreams:
            started.set_upstream_faults(
                name,
                answer_seconds=source.choice([0.05, 0.6, 2.0, 5.0]),
                event_seconds=source.choice([0.01, 0.15, 0.6]),
            )
        with Callers(started.address_for_callers(0), seed) as callers:
            time.sleep(source.random() * 2)
            stopped_at = time.monotonic()
            seconds = _begin_and_disturb(started, source)
        runs = started.journals.runs()
        log = started.gateways[0].log_path.read_text()
    print(json.dumps(_summary(callers.outcomes, runs, stopped_at)))
    assert seconds < GRACE_SECONDS, seconds
    assert '"outcome": "drained"' in log, log[-2000:]
    assert 'Traceback' not in log
    faults = list(_faults(callers.outcomes, runs, stopped_at))
    assert not faults, faults


def _summary(outcomes, runs, stopped_at):
    counts = {}
    for outcome in outcomes:
        when = 'after' if outcome.sent_at > stopped_at else 'before'
        ran = 'ran' if outcome.request_id in runs else 'not'
        key = f'{when} {outcome.path} {outcome.status} {ran}'
        counts[key] = counts.get(key, 0) + 1
    return dict(sorted(counts.items()))


def _faults(outcomes, runs, stopped_at):
    """Yield what breaks the rules of a planned stop."""
    for outcome in outcomes:
        count = runs.get(outcome.request_id, 0)
        is_new = outcome.sent_at > stopped_at
        lasted_ms = (outcome.ended_at - outcome.head_sent_at) * 1000
        is_due = lasted_ms > outcome.deadline_ms - CLOCK_SLACK_MS
        if outcome.path == '/once/x' and count > 1:
            yield 'ran twice', outcome
        if outcome.status == 503 and count:
            yield 'refused and has run', outcome
        if outcome.status == 200 and not outcome.is_whole:
            yield 'not whole', outcome
        may_be_cut = outcome.is_stream and (is_due or not is_new)
        if outcome.status is None and count and not may_be_cut:
            yield 'closed and has run', outcome
        if outcome.status == 504 and is_new and not is_due:
            yield 'accepted and cut', outcome
        if outcome.status not in (200, 502, 503, 504, None):
            yield 'unexpected status', outcome
