"""Bound of the users' pages on the requests to an upstream with a limit."""

import bisect

WINDOW_SECONDS = 4.0
# An upstream may get this many times its limit, and some requests more.
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5


def largest_excess(arrivals: list[float], rate: float) -> float:
    """Return how many requests exceed the bound in the worst window.

    Negative if the bound holds.

    Examples
    ========

    >>> largest_excess([0.0, 1.0, 2.0], rate=4.0)
    -26.0

    :param arrivals: times in s
    :param rate: limit in requests per second
    """
    ordered = sorted(arrivals)
    most = max(
        (
            bisect.bisect_left(ordered, start + WINDOW_SECONDS) - index
            for index, start in enumerate(ordered)
        ),
        default=0,
    )
    allowed = TOLERANCE_FACTOR * rate * WINDOW_SECONDS + TOLERANCE_REQUESTS
    return most - allowed
