"""A measured cost for each unit of something."""

import collections.abc
import dataclasses
import gc
import time
import tracemalloc


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """One measured slope.

    :param name: what was measured
    :param value: cost for each unit
    :param unit: unit of the cost and of what it grows with
    """

    name: str
    value: float
    unit: str


def seconds_for_each(
    action: collections.abc.Callable[[], object], repeats: int
) -> float:
    """Return the processor seconds of one action, the best of three."""
    best = float('inf')
    for _ in range(3):
        started = time.process_time()
        for _ in range(repeats):
            action()
        best = min(best, time.process_time() - started)
    return best / repeats


def bytes_of(build: collections.abc.Callable[[], object]) -> int:
    """Return the memory in bytes that a built object holds."""
    gc.collect()
    tracemalloc.start()
    try:
        built = build()
        gc.collect()
        current, _ = tracemalloc.get_traced_memory()
        del built
    finally:
        tracemalloc.stop()
    return current
