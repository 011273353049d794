import datetime
import random

import pytest

from magnoliawood.limits import admission

MINUTE = datetime.timedelta(minutes=1)


@pytest.mark.parametrize(
    ('is_new', 'is_over', 'waiting', 'left', 'expected'),
    [
        (True, True, 3, MINUTE, 'admit'),
        (True, True, 4, MINUTE, 'new_program'),
        (True, False, 7, MINUTE, 'admit'),
        (False, True, 7, MINUTE, 'admit'),
        (False, False, 8, MINUTE, 'queue_full'),
        (True, False, 8, MINUTE, 'queue_full'),
        (False, False, 3, datetime.timedelta(seconds=2), 'too_late'),
        (False, False, 0, datetime.timedelta(), 'admit'),
    ],
)
def test_new_programs_are_rejected_first(
    is_new, is_over, waiting, left, expected
):
    queue = admission.QueueState(waiting, 8, 1.0)
    decision = admission.NewProgramsLast().decide(is_new, is_over, left, queue)
    assert decision == expected


def test_callers_rejected_together_retry_at_different_times():
    queue = admission.QueueState(8, 8, 1.0)
    source = random.Random(3)
    times = {admission.retry_after(queue, source) for _ in range(50)}
    assert len(times) == 50
    assert all(8 <= time.total_seconds() <= 12 for time in times)


def test_retry_time_of_an_idle_queue_has_a_minimum():
    queue = admission.QueueState(0, 0, 0.0)
    time = admission.retry_after(queue, random.Random(3))
    assert time >= admission.RETRY_AFTER_FLOOR
