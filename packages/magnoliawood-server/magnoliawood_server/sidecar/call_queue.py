"""The one queue in front of an upstream."""

import collections.abc
import datetime
import heapq
import itertools

from magnoliawood_server.sidecar import call_run

_Entry = tuple[float, int, call_run.CallRun]


def _is_always_startable(run: call_run.CallRun) -> bool:
    return True


class CallQueue:
    """Waiting calls by rank, the lowest first, equal ranks by arrival.

    Explanation
    ===========

    Calls with a time to be held until stay apart, in the order of that
    time, until ``may_start`` lets the first of them pass.

    :param may_start: whether there is room for a call
    """

    def __init__(
        self, may_start: collections.abc.Callable[[call_run.CallRun], bool]
    ) -> None:
        self._may_start = may_start
        self._heap: list[_Entry] = []
        self._held: list[_Entry] = []
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return len(self._heap) + len(self._held)

    @property
    def held(self) -> int:
        """Calls held back until there is room."""
        return len(self._held)

    def push(self, run: call_run.CallRun) -> None:
        """Add a call."""
        hold_until = run.order.hold_until
        if hold_until is None:
            self._push_ready(run)
        else:
            entry = (_seconds(hold_until), next(self._arrivals), run)
            heapq.heappush(self._held, entry)

    def pop(
        self,
        is_startable: collections.abc.Callable[
            [call_run.CallRun], bool
        ] = _is_always_startable,
    ) -> call_run.CallRun | None:
        """Take the first call that may start, if there is one."""
        while self._held and self._may_start(self._held[0][2]):
            self._push_ready(heapq.heappop(self._held)[2])
        passed = []
        found = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            if is_startable(entry[2]):
                found = entry[2]
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found

    def release_held_calls(self) -> None:
        """Hold no call back any more."""
        for _, _, run in sorted(self._held, key=lambda entry: entry[:2]):
            self._push_ready(run)
        self._held = []

    def remove(self, run: call_run.CallRun) -> None:
        """Take a call out of the middle."""
        self._heap = _without(self._heap, run)
        self._held = _without(self._held, run)

    def _push_ready(self, run: call_run.CallRun) -> None:
        entry = (run.order.rank, next(self._arrivals), run)
        heapq.heappush(self._heap, entry)


def _seconds(moment: datetime.datetime) -> float:
    return moment.timestamp()


def _without(heap: list[_Entry], run: call_run.CallRun) -> list[_Entry]:
    found = [entry for entry in heap if entry[2] is not run]
    heapq.heapify(found)
    return found
