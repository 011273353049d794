"""How far responses exceed the length that their callers expect."""

# Weight of the newest response.
_WEIGHT = 0.05


class OutputLengths:
    """Moving mean of the excess of responses over the expected length.

    Examples
    ========

    >>> lengths = OutputLengths()
    >>> lengths.likely_tokens(100, 400)
    100
    >>> lengths.record(100, 300)
    >>> lengths.likely_tokens(100, 400)
    110
    """

    def __init__(self) -> None:
        self._excess = 0.0

    def record(self, expected_tokens: int, tokens: int) -> None:
        """Record the length of a response."""
        if not expected_tokens:
            return
        excess = max(0.0, tokens / expected_tokens - 1.0)
        self._excess += (excess - self._excess) * _WEIGHT

    def likely_tokens(self, expected_tokens: int, max_tokens: int) -> int:
        """Return the length that a response likely reaches.

        :param max_tokens: length that it never exceeds
        """
        return min(max_tokens, round(expected_tokens * (1 + self._excess)))
