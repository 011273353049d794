"""Tests of the queue in front of an upstream."""

import dataclasses
import datetime

from magnoliawood_server.sidecar import call_queue

NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


@dataclasses.dataclass(frozen=True)
class Order:
    rank: float
    hold_until: datetime.datetime | None = None


@dataclasses.dataclass(frozen=True)
class Run:
    order: Order


def run(rank, hold_seconds=None):
    if hold_seconds is None:
        return Run(Order(rank))
    return Run(Order(rank, NOW + datetime.timedelta(seconds=hold_seconds)))


def drain(queue):
    return list(iter(queue.pop, None))


def test_the_lowest_rank_comes_first_and_equals_by_arrival():
    queue = call_queue.CallQueue(lambda run: True)
    runs = [run(2.0), run(1.0), run(2.0, 5)]
    for item in runs:
        queue.push(item)
    assert drain(queue) == [runs[1], runs[0], runs[2]]


def test_held_calls_let_others_pass():
    queue = call_queue.CallQueue(lambda run: False)
    held, ready = run(1.0, 5), run(2.0)
    queue.push(held)
    queue.push(ready)
    assert drain(queue) == [ready]
    assert (len(queue), queue.held) == (1, 1)


def test_room_goes_to_the_call_whose_hold_ends_first():
    room = []
    queue = call_queue.CallQueue(lambda run: run in room)
    late, early = run(1.0, 9), run(2.0, 5)
    queue.push(late)
    queue.push(early)
    room.append(early)
    assert drain(queue) == [early]
    room.append(late)
    assert drain(queue) == [late]


def test_a_held_call_can_be_removed():
    queue = call_queue.CallQueue(lambda run: False)
    held = run(1.0, 5)
    queue.push(held)
    queue.remove(held)
    assert len(queue) == 0


def test_no_call_is_held_after_the_end_of_holds():
    queue = call_queue.CallQueue(lambda run: False)
    late, early = run(1.0, 9), run(1.0, 5)
    queue.push(late)
    queue.push(early)
    queue.release_held_calls()
    assert queue.held == 0
    assert drain(queue) == [early, late]


def test_call_that_may_not_start_yet_keeps_its_place():
    queue = call_queue.CallQueue(lambda run: True)
    suspect, other = run(1.0), run(2.0)
    queue.push(suspect)
    queue.push(other)
    assert queue.pop(lambda run: run is not suspect) is other
    assert queue.pop(lambda run: run is not suspect) is None
    assert queue.pop() is suspect
