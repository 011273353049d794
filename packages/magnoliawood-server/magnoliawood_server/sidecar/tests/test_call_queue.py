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


def test_calls_are_ordered_by_rank_then_arrival():
    queue = call_queue.CallQueue(lambda run: True)
    runs = [run(2.0), run(1.0), run(2.0, 5)]
    for item in runs:
        queue.push(item)
    assert drain(queue) == [runs[1], runs[0], runs[2]]


def test_held_call_does_not_block_other_calls():
    queue = call_queue.CallQueue(lambda run: False)
    held, ready = run(1.0, 5), run(2.0)
    queue.push(held)
    queue.push(ready)
    assert drain(queue) == [ready]
    assert (len(queue), queue.held_count) == (1, 1)


def test_held_call_with_the_earliest_hold_until_starts_first():
    startable = []
    queue = call_queue.CallQueue(lambda run: run in startable)
    late, early = run(1.0, 9), run(2.0, 5)
    queue.push(late)
    queue.push(early)
    startable.append(early)
    assert drain(queue) == [early]
    startable.append(late)
    assert drain(queue) == [late]


def test_held_call_can_be_removed():
    queue = call_queue.CallQueue(lambda run: False)
    held = run(1.0, 5)
    queue.push(held)
    queue.remove(held)
    assert len(queue) == 0


def test_release_held_calls_makes_all_calls_startable():
    queue = call_queue.CallQueue(lambda run: False)
    late, early = run(1.0, 9), run(1.0, 5)
    queue.push(late)
    queue.push(early)
    queue.release_held_calls()
    assert queue.held_count == 0
    assert drain(queue) == [early, late]


def test_call_that_may_not_start_yet_keeps_its_place():
    queue = call_queue.CallQueue(lambda run: True)
    suspect, other = run(1.0), run(2.0)
    queue.push(suspect)
    queue.push(other)
    assert queue.pop(lambda run: run is not suspect) is other
    assert queue.pop(lambda run: run is not suspect) is None
    assert queue.pop() is suspect
