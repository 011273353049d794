"""Speed of each upstream, learned from requests of all gateways.

An upstream is compared with the average of its service. Its slowness is the
time that it takes relative to that average: 2 means that it takes twice the
time.
"""

import collections.abc
import dataclasses
import datetime
import math
import typing

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import facts as fleet_facts
from magnoliawood.fleet import running_means
from magnoliawood.fleet import upstream as upstreams
from magnoliawood.fleet import work_times

# Attempts that the mean of the service counts as, for an upstream that has
# been seen rarely.
_PRIOR_ATTEMPTS = 1.0
# Attempts that the word of all peers together counts as.
_PEER_ATTEMPTS = 5.0
# Recent slowness, relative to the lasting one, from which an upstream is
# left, and below which it is trusted again.
_SLOW_RATIO = 2.0
_TRUSTED_RATIO = 1.3
# An attempt at an upstream that is slow for now counts as this part of one in
# its lasting slowness.
_SLOW_ATTEMPT_WEIGHT = 0.2
# An upstream that is faster than believed is learned as if it had been seen
# this often.
_FASTER_ATTEMPTS = 4.0
# Part of the slots from which an upstream counts as nearly full.
_NEARLY_FULL = 0.75
# Slownesses are rounded to powers of 2 to this exponent, so that gateways
# that learned slightly different ones agree.
_STEP = 0.125
# A rounded slowness changes when the exact one is further away, in steps.
_STEP_TOLERANCE = 1.0
# Merged figures are used for this time, unless an own attempt ends.
_REFRESH_INTERVAL = datetime.timedelta(milliseconds=200)
# Facts are told with this many digits, so that small changes are not told.
_FACT_DIGITS = 1
_SLOW_FACT_DIGITS = 2
# Logarithm of the lasting slowness, its count, and both for the recent one.
_FACT_VALUES = 4


@dataclasses.dataclass(slots=True)
class _Seen:
    """What this gateway has seen of one start of an upstream.

    :param level: rounded slowness in steps, when not nearly full
    :param lasting_level: rounded lasting slowness in steps
    """

    started_at: datetime.datetime | None
    steady: running_means.LogMean = dataclasses.field(
        default_factory=running_means.LogMean
    )
    full: running_means.LogMean = dataclasses.field(
        default_factory=running_means.LogMean
    )
    recent: running_means.Recent = dataclasses.field(
        default_factory=running_means.Recent
    )
    is_slow: bool = False
    level: int = 0
    lasting_level: int = 0
    merged: '_Merged | None' = None


@dataclasses.dataclass(frozen=True, slots=True)
class _Merged:
    """Logarithms of slownesses, from own attempts and facts of peers."""

    lasting: float
    recent: float
    peers: int
    merged_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class Belief:
    """What is believed of the speed of an upstream, with its grounds.

    :param slowness: lasting slowness
    :param spread: factor within which most attempts are
    :param attempts: own attempts that count
    :param recent_slowness: recent slowness relative to the lasting one
    :param peers: gateways that told of it
    :param age: time since the last own attempt, if there was one
    """

    is_slow: bool
    slowness: float
    spread: float
    attempts: float
    recent_slowness: float
    peers: int
    age: datetime.timedelta | None


class Speeds(typing.Protocol):
    """Tells how fast upstreams work."""

    def times(self, service: str) -> work_times.ServiceTimes:
        """Return the times of work on the average upstream of a service."""
        ...

    def slowness(self, upstream: upstreams.Upstream, running: int) -> float:
        """Return the time that work takes relative to the service's mean.

        :param running: requests at the upstream
        """
        ...


class EqualSpeeds:
    """All upstreams work at the speed from which learning starts."""

    def __init__(self) -> None:
        self._times = work_times.ServiceTimes()

    def times(self, service: str) -> work_times.ServiceTimes:
        """Return the times from which learning starts."""
        return self._times

    def slowness(self, upstream: upstreams.Upstream, running: int) -> float:
        """Return 1: no upstream is slower than others."""
        return 1.0


UNKNOWN = EqualSpeeds()


class UpstreamSpeeds:
    """Speeds of upstreams by own attempts and by facts of peers.

    Explanation
    ===========

    The lasting slowness is a mean over many attempts, in which one counts
    for little. The recent slowness follows a fault of seconds within a few
    attempts, and fades, so that the upstream is tried again. The slowness
    when nearly full is a mean of its own. All are learned anew for each
    start of an upstream. What this gateway sees itself counts for more than
    the word of its peers, so an upstream that is slow for others only stays
    in use.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> speeds = UpstreamSpeeds(clock, fleet_facts.FactBoard(clock))
    >>> upstream = upstreams.Upstream('i-1', 'app', '10.0.0.1:80', 'dc', 6)
    >>> speeds.slowness(upstream, 0)
    1.0
    >>> speeds.times('app').call_ms
    50.0
    """

    def __init__(
        self, clock: clocks.Clock, facts: fleet_facts.FactBoard
    ) -> None:
        self._clock = clock
        self._facts = facts
        self._seen: dict[str, _Seen] = {}
        self._times: dict[str, work_times.ServiceTimes] = {}

    def times(self, service: str) -> work_times.ServiceTimes:
        """Return the times of work on the average upstream of a service."""
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = work_times.ServiceTimes()
        return times

    def record(
        self,
        upstream: upstreams.Upstream,
        work: work_times.Turn | work_times.ServiceCall,
    ) -> None:
        """Learn from work that ended well.

        Work that waited for a slot shows nothing about the speed.
        """
        if work.running >= upstream.slots:
            return
        seen = self._seen_of(upstream)
        times = self.times(upstream.service)
        expected_ms = times.expected_ms(work)
        if expected_ms:
            milliseconds = work.duration / datetime.timedelta(milliseconds=1)
            ratio = max(milliseconds, 0.01) / expected_ms
            self._record_ratio(upstream, seen, work.running, math.log(ratio))
        logarithm = self._logarithm(upstream, seen, work.running)
        times.record(work, logarithm)

    def slowness(self, upstream: upstreams.Upstream, running: int) -> float:
        """Return the time that work takes relative to the service's mean.

        :param running: requests at the upstream
        """
        seen = self._seen_of(upstream)
        seen.level = _rounded(self._logarithm(upstream, seen, 0), seen.level)
        rounded = seen.level * _STEP
        if _is_nearly_full(upstream, running):
            extra = _full_extra(seen) / math.log(2) / _STEP
            rounded += round(max(0.0, extra)) * _STEP
        return float(2.0**rounded)

    def lasting_slowness(self, upstream: upstreams.Upstream) -> float:
        """Return the slowness without faults of seconds."""
        seen = self._seen_of(upstream)
        lasting = self._merge(upstream, seen).lasting
        seen.lasting_level = _rounded(lasting, seen.lasting_level)
        return float(2.0 ** (seen.lasting_level * _STEP))

    def belief(self, upstream: upstreams.Upstream) -> Belief:
        """Return what is believed of an upstream, with its grounds."""
        seen = self._seen_of(upstream)
        merged = self._merge(upstream, seen)
        last_at = seen.recent.last_at
        return Belief(
            seen.is_slow,
            math.exp(merged.lasting),
            math.exp(math.sqrt(max(0.0, seen.steady.variance))),
            seen.steady.count,
            math.exp(merged.recent),
            merged.peers,
            None if last_at is None else self._clock.monotonic() - last_at,
        )

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Drop what was learned about other upstreams."""
        for upstream_id in list(self._seen):
            if upstream_id not in upstream_ids:
                del self._seen[upstream_id]
        self._facts.retain_only(fleet_facts.FactKind.SPEED, upstream_ids)

    def _seen_of(self, upstream: upstreams.Upstream) -> _Seen:
        seen = self._seen.get(upstream.id)
        if seen is None or not upstreams.is_same_start(
            seen.started_at, upstream.started_at
        ):
            seen = self._seen[upstream.id] = _Seen(upstream.started_at)
        seen.started_at = seen.started_at or upstream.started_at
        return seen

    def _record_ratio(
        self,
        upstream: upstreams.Upstream,
        seen: _Seen,
        running: int,
        ratio: float,
    ) -> None:
        """Learn from the logarithm of the time relative to the mean."""
        lasting = self._merge(upstream, seen).lasting
        if _is_nearly_full(upstream, running):
            seen.full.record(ratio - lasting)
            lasting += _full_extra(seen)
        else:
            self._record_steady(seen, ratio)
        seen.recent.record(ratio - lasting, self._clock.monotonic())
        seen.merged = None
        self._tell(upstream, seen)

    def _record_steady(self, seen: _Seen, ratio: float) -> None:
        if seen.recent.mean < -math.log(_TRUSTED_RATIO):
            seen.steady.count = min(seen.steady.count, _FASTER_ATTEMPTS)
        weight = _SLOW_ATTEMPT_WEIGHT if seen.is_slow else 1.0
        seen.steady.record(ratio, weight)

    def _tell(self, upstream: upstreams.Upstream, seen: _Seen) -> None:
        recent = seen.recent.mean
        is_near_slow = recent > math.log(_TRUSTED_RATIO)
        digits = _SLOW_FACT_DIGITS if is_near_slow else _FACT_DIGITS
        values = (
            round(seen.steady.mean, _FACT_DIGITS),
            round(seen.steady.count, _FACT_DIGITS),
            round(recent, digits),
            round(seen.recent.count, _FACT_DIGITS),
        )
        self._facts.publish(
            fleet_facts.FactKind.SPEED,
            upstream.id,
            values,
            upstream.started_at,
        )

    def _heard(
        self, upstream: upstreams.Upstream
    ) -> list[fleet_facts.HeardFact]:
        return [
            fact
            for fact in self._facts.heard(
                fleet_facts.FactKind.SPEED, upstream.id
            )
            if len(fact.values) >= _FACT_VALUES
            and upstreams.is_same_start(fact.started_at, upstream.started_at)
        ]

    def _logarithm(
        self, upstream: upstreams.Upstream, seen: _Seen, running: int
    ) -> float:
        """Return the logarithm of the slowness."""
        merged = self._merge(upstream, seen)
        slowness = merged.lasting
        if _is_nearly_full(upstream, running):
            slowness += _full_extra(seen)
        return slowness + merged.recent if seen.is_slow else slowness

    def _merge(self, upstream: upstreams.Upstream, seen: _Seen) -> _Merged:
        """Return what is known, and update whether it counts as slow."""
        now = self._clock.monotonic()
        merged = seen.merged
        if merged is None or now - merged.merged_at > _REFRESH_INTERVAL:
            heard = self._heard(upstream)
            merged = seen.merged = _Merged(
                _merged_steady(seen.steady, heard),
                _merged_recent(seen.recent, heard, now),
                len(heard),
                now,
            )
        if merged.recent > math.log(_SLOW_RATIO):
            seen.is_slow = True
        elif merged.recent < math.log(_TRUSTED_RATIO):
            seen.is_slow = False
        return merged


def _merged_steady(
    own: running_means.LogMean, heard: list[fleet_facts.HeardFact]
) -> float:
    told = [(fact.values[0], fact.values[1]) for fact in heard]
    told_count = sum(count for _, count in told)
    told_mean = sum(mean * count for mean, count in told) / (told_count or 1.0)
    told_weight = min(told_count, _PEER_ATTEMPTS)
    total = own.mean * own.count + told_mean * told_weight
    return total / (own.count + told_weight + _PRIOR_ATTEMPTS)


def _merged_recent(
    own: running_means.Recent,
    heard: list[fleet_facts.HeardFact],
    now: datetime.timedelta,
) -> float:
    told = [
        running_means.Recent(fact.values[2], fact.values[3], fact.learned_at)
        for fact in heard
    ]
    told_weight = sum(recent.weight(now) for recent in told)
    told_mean = sum(
        recent.faded(now) * recent.weight(now) for recent in told
    ) / (told_weight or 1.0)
    told_weight = min(told_weight, running_means.MAX_RECENT_ATTEMPTS / 2)
    own_weight = own.weight(now)
    total = own.faded(now) * own_weight + told_mean * told_weight
    return total / (own_weight + told_weight or 1.0)


def _full_extra(seen: _Seen) -> float:
    count = seen.full.count
    return seen.full.mean * count / (count + _PRIOR_ATTEMPTS)


def _is_nearly_full(upstream: upstreams.Upstream, running: int) -> bool:
    return running + 1 > _NEARLY_FULL * upstream.slots


def _rounded(logarithm: float, level: int) -> int:
    """Return a slowness in steps; it stays at a level that is near."""
    steps = logarithm / math.log(2) / _STEP
    return round(steps) if abs(steps - level) > _STEP_TOLERANCE else level
