"""Long conversations: a short run, and checks that detect each failure."""

import pytest

from magnoliawood_testing.soak import attempt as attempts
from magnoliawood_testing.soak import conversations
from magnoliawood_testing.soak import disturbances as disturbances_
from magnoliawood_testing.soak import speakers

SHORT_SEED = 1
SECONDS = 15
REFUSED = attempts.Outcome(503, is_complete=True)
CUT = attempts.Outcome(200, is_complete=False)


# Guards against turns that are retained and not found, not served, or answered
# in part, and against histories with turns missing, doubled or out of order,
# while processes, disks, the store and the configuration change.
def test_conversations_that_outlast_their_retention_go_on():
    report = conversations.Experiment(SHORT_SEED, SECONDS).run()
    assert report.problems == []
    assert report.statuses['later', 200] > 0


def _try(line, number, outcome, is_first=False, gateway=0):
    return speakers.Try(
        line,
        f'{line}.{number}',
        gateway,
        float(number),
        number + 0.5,
        outcome,
        is_first,
    )


def _problems(tries, ran_ids, history=(), recovered_at=100.0):
    disturbances = disturbances_.Disturbances(1, None, {})
    disturbances.history.extend(history)
    checks = conversations.TryChecks(disturbances, set(ran_ids), recovered_at)
    checks.check(tries)
    return checks.problems


REFUSALS = [_try('later', number, REFUSED) for number in range(10, 16)]
FIRST_TURNS = [
    _try(
        f'first{number}', number, attempts.Outcome(200, is_complete=True), True
    )
    for number in range(10, 16)
]
FIRST_IDS = [tried.request_id for tried in FIRST_TURNS]


def test_turn_that_is_refused_beside_first_turns_is_detected():
    assert _problems([*REFUSALS, *FIRST_TURNS], FIRST_IDS)
    assert not _problems([*REFUSALS, *FIRST_TURNS], [])
    assert not _problems([*REFUSALS[:4], *FIRST_TURNS], FIRST_IDS)
    stopped = disturbances_.Disturbance('gateway-0', 'stopped', 0, 14)
    assert not _problems([*REFUSALS, *FIRST_TURNS], FIRST_IDS, [stopped])


def test_turn_that_is_refused_after_the_final_fault_is_detected():
    assert _problems(REFUSALS[:1], [], recovered_at=9.0)
    assert not _problems(REFUSALS[:1], [], recovered_at=11.0)
    ran_next = [REFUSALS[1].request_id]
    assert not _problems(REFUSALS[:2], ran_next, recovered_at=9.0)


@pytest.mark.parametrize(
    ('kind', 'is_found'),
    [('stopped', True), ('reloaded', True), ('killed', False)],
)
def test_answer_that_is_cut_is_detected(kind, is_found):
    disturbance = disturbances_.Disturbance('gateway-0', kind, 8, 12)
    cut = _try('later', 10, CUT)
    found = _problems([cut], [cut.request_id], [disturbance])
    assert bool(found) == is_found
    assert not _problems([cut], [], [disturbance])
