"""The one queue in front of an upstream."""

import collections.abc
import heapq
import itertools

from magnoliawood_server.sidecar import call_run


class CallQueue:
    """Waiting calls by rank, the lowest first, equal ranks by arrival."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, call_run.CallRun]] = []
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, run: call_run.CallRun) -> None:
        """Add a call."""
        entry = (run.order.rank, next(self._arrivals), run)
        heapq.heappush(self._heap, entry)

    def pop(
        self,
        may_start: collections.abc.Callable[[call_run.CallRun], bool],
    ) -> call_run.CallRun | None:
        """Take the first call that may start, if there is one."""
        passed = []
        found = None
        while self._heap and found is None:
            entry = heapq.heappop(self._heap)
            if may_start(entry[2]):
                found = entry[2]
            else:
                passed.append(entry)
        for entry in passed:
            heapq.heappush(self._heap, entry)
        return found

    def remove(self, run: call_run.CallRun) -> None:
        """Take a call out of the middle."""
        self._heap = [entry for entry in self._heap if entry[2] is not run]
        heapq.heapify(self._heap)
