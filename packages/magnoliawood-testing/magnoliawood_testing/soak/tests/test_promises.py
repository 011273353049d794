"""The checker detects each kind of violated guarantee."""

import pytest

from magnoliawood_testing.cluster import run_journals
from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import promises
from magnoliawood_testing.standins import signed_upstream

EVENTS = b''.join(
    f'id: {number}\ndata: word{number}\n\n'.encode() for number in range(1, 6)
)
REPLY = ''.join(f'word{number}\n' for number in range(1, 6))


def _success(request_id, body=b'done', is_complete=True):
    headers = {'request-id': request_id, 'server-stamp': f'i-1.{request_id}'}
    return attempts.Outcome(200, headers, body, is_complete)


def _checker(*sent, budget=1000):
    checker = promises.GuaranteeChecker(budget)
    for attempt in sent:
        checker.record_request(attempt)
    return checker


def _turn(name, previous='', body='a|'):
    kind = attempts.Kind.TURN
    return attempts.Attempt(name, kind, body, 'p', previous)


BOOKING = attempts.Attempt('b', attempts.Kind.BOOKING, 'x')
PAGE = attempts.Attempt('s', attempts.Kind.PAGE, '')


def test_correct_run_has_no_problems():
    second = _turn('t2', 't1', 'b|')
    checker = _checker(BOOKING, _turn('t1'), second)
    checker.record_outcome(BOOKING, _success('b'))
    checker.record_outcome(_turn('t1'), _success('t1', EVENTS))
    checker.record_outcome(second, _success('t2', EVENTS))
    checker.check_runs(
        [
            run_journals.Run('b', 'x'),
            run_journals.Run('t1', 'a|'),
            run_journals.Run('t2', f'a|{REPLY}b|'),
        ]
    )
    assert checker.problems == []


@pytest.mark.parametrize(
    ('outcome', 'problem'),
    [
        (_success('other'), 'response to request other'),
        (attempts.Outcome(200, {}, b'done', True), 'signed'),
        (_success('s', b'don'), 'answered'),
    ],
)
def test_response_to_other_request_is_detected(outcome, problem):
    checker = _checker(PAGE)
    checker.record_outcome(PAGE, outcome)
    assert problem in ' '.join(checker.problems)


@pytest.mark.parametrize('kind', [attempts.Kind.STREAM, attempts.Kind.TURN])
@pytest.mark.parametrize(
    'body',
    [EVENTS[:20], EVENTS + b'x', EVENTS.replace(b'word2', b'word9')],
    ids=['truncated', 'trailing bytes', 'data of another event'],
)
def test_wrong_stream_is_detected(kind, body):
    stream = attempts.Attempt('s', kind, '')
    checker = _checker(stream)
    checker.record_outcome(stream, _success('s', body))
    assert checker.problems


@pytest.mark.parametrize(
    'runs',
    [
        [run_journals.Run('b', 'x')] * 2,
        [run_journals.Run('b', 'y')],
        [run_journals.Run('never', 'x')],
    ],
)
def test_wrong_runs_are_detected(runs):
    checker = _checker(BOOKING)
    checker.check_runs(runs)
    assert checker.problems


def test_run_of_rejected_request_is_detected():
    checker = _checker(BOOKING)
    checker.record_outcome(BOOKING, attempts.Outcome(503))
    checker.check_runs([run_journals.Run('b', 'x')])
    assert 'although its status was 503' in checker.problems[0]


def test_lost_history_is_detected():
    second = _turn('t2', 't1', 'b|')
    checker = _checker(_turn('t1'), second)
    checker.record_outcome(_turn('t1'), _success('t1', EVENTS))
    checker.check_runs([run_journals.Run('t2', 'b|')])
    assert checker.problems
    checker.problems.clear()
    checker.record_outcome(second, attempts.Outcome(404))
    assert 'unknown previous turn t1' in checker.problems[0]


def test_exceeded_budget_is_detected():
    checker = _checker(_turn('t1'), _turn('t2'), budget=80)
    checker.record_outcome(_turn('t1'), _success('t1', EVENTS))
    assert not checker.problems
    # Events of an interrupted stream count towards the budget too.
    checker.record_outcome(_turn('t2'), _success('t2', EVENTS, False))
    checker.record_outcome(_turn('t3'), _success('t3', EVENTS, False))
    assert 'tokens delivered' in checker.problems[0]


def _stream_part(name, last_event_id, *events):
    """Return a part of a stream that broke off, and its outcome."""
    attempt = attempts.Attempt(
        name,
        attempts.Kind.STREAM,
        '',
        stream_id='s',
        last_event_id=last_event_id,
    )
    body = b''.join(signed_upstream.event_bytes(*event) for event in events)
    return attempt, _success(name, body, False)


@pytest.mark.parametrize(
    ('events', 'problem'),
    [
        ([(3, 'v1'), (4, 'v1')], ''),
        ([(3, 'v2')], 'stream s has'),
        ([(4, 'v1')], 'events [4] after 2'),
        ([(2, 'v1'), (3, 'v1')], 'events [2, 3] after 2'),
    ],
)
def test_stream_that_goes_on_wrongly_is_detected(events, problem):
    checker = _checker()
    checker.record_outcome(*_stream_part('s', 0, (1, 'v1'), (2, 'v1')))
    assert not checker.problems
    checker.record_outcome(*_stream_part('s.1', 2, *events))
    assert bool(checker.problems) == bool(problem)
    assert problem in ' '.join(checker.problems)
