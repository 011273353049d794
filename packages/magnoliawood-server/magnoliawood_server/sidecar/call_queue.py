"""Priority queue of the calls that wait for an upstream."""

import collections.abc
import datetime
import heapq
import itertools

from magnoliawood_server.sidecar import call_run

_Entry = tuple[float, int, call_run.CallRun]


def _is_always_startable(run: call_run.CallRun) -> bool:
    return True


class CallQueue:
    """Queued calls, ordered by rank and, for equal ranks, by arrival.

    Explanation
    ===========

    The lowest rank comes first. Calls whose order has a ``hold_until`` wait
    for cache space in a separate queue, ordered by that time. :meth:`pop`
    moves them to the main queue in this order, until it reaches one that
    ``may_start`` does not admit.

    :param may_start: returns whether a held call may start
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
    def held_count(self) -> int:
        """Number of calls held until there is cache space for them."""
        return len(self._held)

    def push(self, run: call_run.CallRun) -> None:
        """Add a call, held if its order has a ``hold_until``."""
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
        """Remove and return the first call that may start, if any.

        :param is_startable: calls for which it is false keep their place
        """
        while self._held and self._may_start(self._held[0][2]):
            self._push_ready(heapq.heappop(self._held)[2])
        skipped = []
        startable = None
        while self._heap and startable is None:
            entry = heapq.heappop(self._heap)
            if is_startable(entry[2]):
                startable = entry[2]
            else:
                skipped.append(entry)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return startable

    def release_held_calls(self) -> None:
        """Move all held calls to the main queue."""
        for _, _, run in sorted(self._held, key=lambda entry: entry[:2]):
            self._push_ready(run)
        self._held = []

    def remove(self, run: call_run.CallRun) -> None:
        """Remove a call from any position."""
        self._heap = _heap_without(self._heap, run)
        self._held = _heap_without(self._held, run)

    def _push_ready(self, run: call_run.CallRun) -> None:
        entry = (run.order.rank, next(self._arrivals), run)
        heapq.heappush(self._heap, entry)


def _seconds(moment: datetime.datetime) -> float:
    return moment.timestamp()


def _heap_without(heap: list[_Entry], run: call_run.CallRun) -> list[_Entry]:
    remaining = [entry for entry in heap if entry[2] is not run]
    heapq.heapify(remaining)
    return remaining
