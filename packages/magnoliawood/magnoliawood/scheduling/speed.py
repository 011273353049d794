"""How fast an upstream works, from the calls it ran."""

import dataclasses
import datetime

_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class UpstreamSpeed:
    """Moving means over the calls of one upstream.

    Examples
    ========

    >>> speed = UpstreamSpeed(concurrency=4)
    >>> speed.record_call(datetime.timedelta(seconds=2))
    >>> speed.seconds_per_call
    0.5
    >>> speed.record_prefill(100, datetime.timedelta(seconds=0.1))
    >>> speed.prefill_seconds_per_token
    0.001

    :param concurrency: calls that run at the same time
    """

    concurrency: int
    _call_seconds: float = 0.0
    _prefill_tokens: float = 0.0
    _prefill_seconds: float = 0.0

    @property
    def seconds_per_call(self) -> float:
        """Time in which one waiting call fewer waits."""
        return self._call_seconds / max(1, self.concurrency)

    @property
    def prefill_seconds_per_token(self) -> float:
        """Time to the first token for each token not cached."""
        return self._prefill_seconds / max(1.0, self._prefill_tokens)

    def record_call(self, duration: datetime.timedelta) -> None:
        """Take in the time that a call ran."""
        seconds = duration.total_seconds()
        if not self._call_seconds:
            self._call_seconds = seconds
        self._call_seconds += _WEIGHT * (seconds - self._call_seconds)

    def record_prefill(
        self, new_tokens: int, duration: datetime.timedelta
    ) -> None:
        """Take in the time from a call's start to its first token."""
        keep = 1.0 - _WEIGHT
        self._prefill_tokens = keep * self._prefill_tokens + new_tokens
        self._prefill_seconds = (
            keep * self._prefill_seconds + duration.total_seconds()
        )
