"""A measured cost per unit, and the functions that measure it."""

import collections.abc
import dataclasses
import gc
import time
import tracemalloc


@dataclasses.dataclass(frozen=True, slots=True)
class Slope:
    """A cost that grows linearly with a quantity.

    :param name: what was measured
    :param value: cost per unit of the quantity
    :param unit: units of the cost and of the quantity, such as ``B/turn``
    """

    name: str
    value: float
    unit: str


def seconds_for_each(
    action: collections.abc.Callable[[], object], repeats: int
) -> float:
    """Return the processor seconds of one action, the best of three runs."""
    best = float('inf')
    for _ in range(3):
        started = time.process_time()
        for _ in range(repeats):
            action()
        best = min(best, time.process_time() - started)
    return best / repeats


def bytes_of(build: collections.abc.Callable[[], object]) -> int:
    """Return the memory in bytes that the built object occupies."""
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
