"""Estimate of the speed of an upstream from the calls that it ran."""

import dataclasses
import datetime

# Weight of the newest call in the moving averages.
_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class UpstreamSpeed:
    """Exponential moving averages over the calls of one upstream.

    Examples
    ========

    >>> speed = UpstreamSpeed(concurrency=4)
    >>> speed.record_call(datetime.timedelta(seconds=2))
    >>> speed.seconds_per_call
    0.5
    >>> speed.record_prefill(100, datetime.timedelta(seconds=0.1))
    >>> speed.prefill_seconds_per_token
    0.001

    :param concurrency: number of calls that run at the same time
    """

    concurrency: int
    _call_seconds: float = 0.0
    _prefill_tokens: float = 0.0
    _prefill_seconds: float = 0.0

    @property
    def seconds_per_call(self) -> float:
        """Mean time between two calls that leave the queue."""
        return self._call_seconds / max(1, self.concurrency)

    @property
    def prefill_seconds_per_token(self) -> float:
        """Time to the first token per prompt token that is not cached."""
        return self._prefill_seconds / max(1.0, self._prefill_tokens)

    def record_call(self, duration: datetime.timedelta) -> None:
        """Update the average with the run time of a call."""
        seconds = duration.total_seconds()
        if not self._call_seconds:
            self._call_seconds = seconds
        self._call_seconds += _WEIGHT * (seconds - self._call_seconds)

    def record_prefill(
        self, new_tokens: int, duration: datetime.timedelta
    ) -> None:
        """Update the averages with the prefill of a call.

        :param new_tokens: prompt tokens that were not cached
        :param duration: time from the start of the call to its first token
        """
        decay = 1.0 - _WEIGHT
        self._prefill_tokens = decay * self._prefill_tokens + new_tokens
        self._prefill_seconds = (
            decay * self._prefill_seconds + duration.total_seconds()
        )
