"""Times that the work of a service takes on its average upstream."""

import collections
import dataclasses
import datetime
import math

# Start of the estimates, until requests of the service have been seen: times
# of a common model engine and of a short service call.
_START_PREFILL_MS = 1.0
_START_PREFILL_MS_PER_TOKEN = 1 / 147.0
_START_TOKEN_MS = 1.0
_START_SLOWDOWN_MS_PER_TOKEN = 0.0377
_START_CALL_MS = 50.0
_START_TURN_MS = 400.0
# Uncached tokens and running requests between which the start is known.
_TYPICAL_PROMPT_TOKENS = 10_000.0
_TYPICAL_RUNNING = 24.0
# Number of attempts that the start counts as.
_START_WEIGHT = 1.0
# Attempts after which the oldest no longer count.
_MEMORY_ATTEMPTS = 200.0
# One attempt changes a mean as if it were at most this many times slower or
# faster than expected.
_MAX_RATIO = 4.0
# Upstreams are compared once this many attempts of a service were seen.
_MIN_ATTEMPTS = 16
# Maximum number of kinds of service calls that are told apart.
_MAX_CALL_KINDS = 200
_MILLISECOND = datetime.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A turn of a model that ended well.

    :param uncached_tokens: prompt tokens that the engine had to process
    :param tokens: tokens of the response
    :param running: requests at the engine when it began, without this one
    :param first_event: time from its start to the first event
    :param duration: time from its start to its end
    """

    uncached_tokens: int
    tokens: int
    running: int
    first_event: datetime.timedelta
    duration: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call of a plain service that ended well.

    :param kind: what the call is about; calls of a kind take similar times
    :param running: requests at the upstream when it began, without this one
    """

    kind: str
    running: int
    duration: datetime.timedelta


class _Line:
    """Least squares fit of a line, in which old points fade."""

    def __init__(self, start: float, slope: float, typical: float) -> None:
        self._sums = [0.0] * 5
        for x in (0.0, typical):
            self._add(x, start + slope * x, _START_WEIGHT / 2)
        self._start_sums = tuple(self._sums)
        self.start = start
        self.slope = slope

    def at(self, x: float) -> float:
        return self.start + self.slope * x

    def record(self, x: float, y: float) -> None:
        """Add a point; an outlier counts as if it were nearer."""
        expected = self.at(x)
        y = min(max(y, expected / _MAX_RATIO), expected * _MAX_RATIO)
        decay = 1.0 - 1.0 / _MEMORY_ATTEMPTS
        # The start does not fade, or equal points would not define a line.
        self._sums = [
            start + (total - start) * decay
            for total, start in zip(self._sums, self._start_sums, strict=True)
        ]
        self._add(x, y, 1.0)
        self._fit()

    def _add(self, x: float, y: float, weight: float) -> None:
        point = (1.0, x, y, x * x, x * y)
        self._sums = [
            total + weight * value
            for total, value in zip(self._sums, point, strict=True)
        ]

    def _fit(self) -> None:
        count, sum_x, sum_y, sum_xx, sum_xy = self._sums
        determinant = count * sum_xx - sum_x * sum_x
        slope = (count * sum_xy - sum_x * sum_y) / determinant
        self.slope = max(0.0, slope)
        start = (sum_y - self.slope * sum_x) / count
        if start < 0.0:
            # A line through the origin.
            start, self.slope = 0.0, sum_xy / sum_xx
        self.start = start


class ServiceTimes:
    """Times that work takes on the average upstream of one service.

    Examples
    ========

    >>> times = ServiceTimes()
    >>> round(times.call_ms)
    50
    >>> twenty_ms = datetime.timedelta(milliseconds=20)
    >>> for _ in range(20):
    ...     times.record(ServiceCall('route', 0, twenty_ms), 0.0)
    >>> 20 <= times.call_ms < 23
    True
    """

    def __init__(self) -> None:
        self._prefill = _Line(
            _START_PREFILL_MS,
            _START_PREFILL_MS_PER_TOKEN,
            _TYPICAL_PROMPT_TOKENS,
        )
        self._token = _Line(
            _START_TOKEN_MS, _START_SLOWDOWN_MS_PER_TOKEN, _TYPICAL_RUNNING
        )
        self._calls: collections.OrderedDict[str, _Mean] = (
            collections.OrderedDict()
        )
        self._all_calls = _Mean(_START_CALL_MS, _START_WEIGHT)
        self._turns = _Mean(_START_TURN_MS, _START_WEIGHT)
        # Logarithm of the slowness of the upstreams that ran the work: if
        # all seem slow, the times are wrong.
        self._common_logarithm = _Average()

    @property
    def prefill_ms_per_token(self) -> float:
        """Time to process an uncached prompt token."""
        return self._prefill.slope

    @property
    def slowdown_ms_per_token(self) -> float:
        """Time that each running request adds to a token of another."""
        return self._token.slope

    @property
    def call_ms(self) -> float:
        """Mean time of a service call."""
        return self._all_calls.mean

    @property
    def turn_ms(self) -> float:
        """Mean time of a turn."""
        return self._turns.mean

    def token_ms(self, running: int) -> float:
        """Return the time of a token beside some running requests."""
        return self._token.at(running)

    def expected_ms(self, work: Turn | ServiceCall) -> float | None:
        """Return the expected time of some work, once that is known."""
        if isinstance(work, ServiceCall):
            mean = self._calls.get(work.kind)
            if mean is None or mean.count < _MIN_ATTEMPTS:
                return None
            return mean.mean
        if self._turns.count < _MIN_ATTEMPTS:
            return None
        return self._prefill.at(
            work.uncached_tokens
        ) + work.tokens * self.token_ms(work.running)

    def record(self, work: Turn | ServiceCall, logarithm: float) -> None:
        """Learn from some work.

        :param logarithm: natural logarithm of the time that the upstream
            takes relative to the average of the service
        """
        common = self._common_logarithm.record(logarithm)
        slowness = math.exp(logarithm - common)
        if isinstance(work, ServiceCall):
            self._record_call(work, slowness)
        else:
            self._record_turn(work, slowness)

    def _record_call(self, call: ServiceCall, slowness: float) -> None:
        call_ms = call.duration / _MILLISECOND / slowness
        self._all_calls.record(call_ms)
        mean = self._calls.setdefault(call.kind, _Mean(call_ms, 0.0))
        self._calls.move_to_end(call.kind)
        mean.record(call_ms)
        if len(self._calls) > _MAX_CALL_KINDS:
            self._calls.popitem(last=False)

    def _record_turn(self, turn: Turn, slowness: float) -> None:
        first_ms = turn.first_event / _MILLISECOND / slowness
        # The first event waits for one step of the running requests.
        step_ms = self.token_ms(turn.running) - self.token_ms(0)
        self._prefill.record(
            turn.uncached_tokens, max(0.0, first_ms - step_ms)
        )
        rest = turn.duration - turn.first_event
        if turn.tokens:
            token_ms = rest / _MILLISECOND / slowness / turn.tokens
            self._token.record(turn.running, token_ms)
        self._turns.record(turn.duration / _MILLISECOND / slowness)


@dataclasses.dataclass(slots=True)
class _Mean:
    """Mean in which old values fade and outliers count for less."""

    mean: float
    count: float

    def record(self, value: float) -> None:
        if self.count:
            low, high = self.mean / _MAX_RATIO, self.mean * _MAX_RATIO
            value = min(max(value, low), high)
        self.count = min(self.count + 1.0, _MEMORY_ATTEMPTS)
        self.mean += (value - self.mean) / self.count


@dataclasses.dataclass(slots=True)
class _Average:
    """Average in which old values fade."""

    mean: float = 0.0
    count: float = 0.0

    def record(self, value: float) -> float:
        """Add a value and return the average."""
        self.count = min(self.count + 1.0, _MEMORY_ATTEMPTS)
        self.mean += (value - self.mean) / self.count
        return self.mean
