"""Running means of how much slower than expected attempts were."""

import dataclasses
import datetime
import math

# Attempts after which the oldest no longer count.
_MEMORY_ATTEMPTS = 20.0
# One attempt changes the lasting slowness as if it were at most this many
# times slower or faster than the upstream.
_MAX_STEADY_RATIO = 2.0
# Most that one attempt counts for in the recent slowness.
_MAX_RECENT_RATIO = 6.0
# Weight of one attempt in the recent slowness.
_RECENT_WEIGHT = 1 / 3
# Attempts within this time may be slowed by the same short disturbance, and
# count as one.
_DISTURBANCE = datetime.timedelta(milliseconds=100)
# The recent slowness halves (on a scale of ratios) in this time without an
# attempt, so that an upstream that was left is tried again.
_RECENT_HALF_LIFE = datetime.timedelta(seconds=2)
# What was seen in the last attempts counts half after this time, when it is
# weighed against what peers saw.
_WEIGHT_HALF_LIFE = datetime.timedelta(seconds=0.5)
# Own recent attempts count as at most this many attempts, those of peers as
# half of it.
MAX_RECENT_ATTEMPTS = 4.0


@dataclasses.dataclass(slots=True)
class LogMean:
    """Running mean of logarithms of ratios, with its spread and count."""

    mean: float = 0.0
    variance: float = 0.0
    count: float = 0.0

    def record(self, value: float, weight: float = 1.0) -> None:
        """Add the logarithm of a ratio; an outlier counts as if nearer."""
        limit = math.log(_MAX_STEADY_RATIO)
        if self.count >= 1.0:
            value = min(max(value, self.mean - limit), self.mean + limit)
        self.count = min(self.count + weight, _MEMORY_ATTEMPTS)
        part = weight / max(1.0, self.count)
        difference = value - self.mean
        self.mean += difference * part
        squared = difference * (value - self.mean)
        self.variance += (squared - self.variance) * part


@dataclasses.dataclass(slots=True)
class Recent:
    """Recent slowness relative to the lasting one, as a logarithm."""

    mean: float = 0.0
    count: float = 0.0
    last_at: datetime.timedelta | None = None

    def record(self, value: float, now: datetime.timedelta) -> None:
        """Add the logarithm of a ratio."""
        limit = math.log(_MAX_RECENT_RATIO)
        value = min(max(value, -limit), limit)
        part = 1.0
        if self.last_at is not None:
            self.mean = self.faded(now)
            part = min(1.0, (now - self.last_at) / _DISTURBANCE)
        self.mean += part * _RECENT_WEIGHT * (value - self.mean)
        self.count = min(self.count + part, MAX_RECENT_ATTEMPTS)
        self.last_at = now

    def faded(self, now: datetime.timedelta) -> float:
        """Return the mean, nearer to 0 the older it is."""
        return self.mean * self._fading(now, _RECENT_HALF_LIFE)

    def weight(self, now: datetime.timedelta) -> float:
        """Return how much it counts against what others have seen."""
        return self.count * self._fading(now, _WEIGHT_HALF_LIFE)

    def _fading(
        self, now: datetime.timedelta, half_life: datetime.timedelta
    ) -> float:
        if self.last_at is None:
            return 0.0
        return float(0.5 ** ((now - self.last_at) / half_life))
