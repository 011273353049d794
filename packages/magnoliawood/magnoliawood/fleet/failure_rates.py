"""Upstreams that fail part of their requests, learned by all gateways.

Evidence is the logarithm of how much likelier the latest attempts are at an
upstream that fails often than at a healthy one (Page's cumulative sum test).
"""

import collections.abc
import dataclasses
import datetime
import hashlib
import math
import statistics

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import facts as fleet_facts
from magnoliawood.fleet import upstream as upstreams

# Share of the requests that a failing and a healthy upstream fail.
_FAILING_SHARE = 0.4
_HEALTHY_SHARE = 0.01
_FAILURE_EVIDENCE = math.log(_FAILING_SHARE / _HEALTHY_SHARE)
_SUCCESS_EVIDENCE = math.log((1 - _FAILING_SHARE) / (1 - _HEALTHY_SHARE))
# Most that is remembered, so that few successes restore trust.
_MAX_EVIDENCE = 8.0
# Before any evidence, one upstream in exp(this) is failing.
_PRIOR_EVIDENCE = 6.0
# Evidence halves in this time without an attempt.
_HALF_LIFE = datetime.timedelta(seconds=4)
# Evidence of peers counts as this part of own evidence, up to a limit.
_PEER_WEIGHT = 0.7
_MAX_PEER_EVIDENCE = 7.0
# Own successes in a row that refute the word of peers; they count half after
# this time.
_MAX_SUCCESSES = 12.0
_SUCCESS_HALF_LIFE = datetime.timedelta(seconds=1)
# Expected share of failures below which an upstream is used without regard
# to it, and from which it is put aside.
_NEGLIGIBLE_SHARE = 0.1
# Evidence below which an upstream that was put aside is trusted again.
_TRUSTED_EVIDENCE = 1.5
# On average one gateway of all sends one trial in this time.
_TRIAL_INTERVAL = datetime.timedelta(milliseconds=250)
# An upstream that refused a request because it was full is full this long.
_FULL_INTERVAL = datetime.timedelta(milliseconds=100)
_FACT_DIGITS = 1
_FACT_VALUES = 2


@dataclasses.dataclass(slots=True)
class _Evidence:
    """Evidence against one start of an upstream.

    :param successes: recent successes in a row
    :param under_way: requests of this gateway
    """

    started_at: datetime.datetime | None
    value: float = 0.0
    successes: float = 0.0
    last_at: datetime.timedelta = datetime.timedelta()
    full_until: datetime.timedelta = datetime.timedelta()
    is_on_trial: bool = False
    under_way: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """What is believed of the failures of an upstream, with its grounds.

    :param share: expected share of failures
    :param own_evidence: evidence of own attempts
    :param peer_evidence: evidence that peers told of
    :param age: time since the last own attempt that ended
    """

    is_put_aside: bool
    share: float
    own_evidence: float
    peer_evidence: float
    age: datetime.timedelta


class FailureRates:
    """Shares of failures that are expected of upstreams.

    Explanation
    ===========

    Two failures within a few attempts put an upstream aside, one among many
    successes doesn't. Evidence of peers counts for less than own attempts,
    and own successes refute it, since an upstream may fail for some gateways
    only. An upstream that was put aside gets few trials until they succeed:
    all gateways together about one in a given time, each gateway one at a
    time, and none with requests that must not be repeated.

    Examples
    ========

    >>> clock = clocks.ManualClock()
    >>> rates = FailureRates(clock, fleet_facts.FactBoard(clock), 'gateway-1')
    >>> upstream = upstreams.Upstream('i-1', 'app', '10.0.0.1:80', 'dc', 6)
    >>> rates.record(upstream, has_failed=True)
    >>> rates.suspicion(upstream).is_put_aside
    False
    >>> rates.record(upstream, has_failed=True)
    >>> rates.suspicion(upstream).is_put_aside
    True

    :param gateway: name of this gateway
    :param count_gateways: returns the number of gateways in service
    """

    def __init__(
        self,
        clock: clocks.Clock,
        facts: fleet_facts.FactBoard,
        gateway: str,
        count_gateways: collections.abc.Callable[[], int] = lambda: 1,
    ) -> None:
        self._clock = clock
        self._facts = facts
        self._gateway = gateway
        self._count_gateways = count_gateways
        self._evidence: dict[str, _Evidence] = {}
        # Ids of the upstreams with own evidence against them.
        self._suspected: set[str] = set()

    def begin(self, upstream: upstreams.Upstream) -> None:
        """Record a request that is about to be sent."""
        self._evidence_of(upstream).under_way += 1

    def end(self, upstream: upstreams.Upstream) -> None:
        """Record the end of a request."""
        evidence = self._evidence_of(upstream)
        evidence.under_way = max(0, evidence.under_way - 1)

    def record(self, upstream: upstreams.Upstream, has_failed: bool) -> None:
        """Learn from an attempt."""
        evidence = self._evidence_of(upstream)
        now = self._clock.monotonic()
        fading = self._fading(evidence.last_at)
        successes = self._successes(evidence) + 1.0
        change = _FAILURE_EVIDENCE if has_failed else _SUCCESS_EVIDENCE
        value = evidence.value * fading + change
        evidence.value = min(max(0.0, value), _MAX_EVIDENCE)
        evidence.successes = min(successes, _MAX_SUCCESSES)
        if has_failed:
            evidence.successes = 0.0
        evidence.last_at = now
        if evidence.value:
            self._suspected.add(upstream.id)
            self._tell(upstream, evidence)
        elif upstream.id in self._suspected:
            self._suspected.discard(upstream.id)
            self._tell(upstream, evidence)

    def record_full(self, upstream: upstreams.Upstream) -> None:
        """Record that an upstream refused a request because it was full."""
        evidence = self._evidence_of(upstream)
        evidence.full_until = self._clock.monotonic() + _FULL_INTERVAL

    def is_full(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream was full a moment ago."""
        evidence = self._evidence.get(upstream.id)
        return (
            evidence is not None
            and evidence.full_until > self._clock.monotonic()
        )

    def suspicion(self, upstream: upstreams.Upstream) -> Suspicion:
        """Return what is believed of an upstream, with its grounds."""
        evidence = self._evidence_of(upstream)
        own = evidence.value * self._fading(evidence.last_at)
        told = self._told(upstream, self._successes(evidence))
        share = _expected_share(own + told)
        if share >= _NEGLIGIBLE_SHARE:
            evidence.is_on_trial = True
        elif own + told < _TRUSTED_EVIDENCE:
            evidence.is_on_trial = False
        return Suspicion(
            evidence.is_on_trial,
            share,
            own,
            told,
            self._clock.monotonic() - evidence.last_at,
        )

    def shares(
        self,
        candidates: collections.abc.Sequence[upstreams.Upstream],
        is_repeatable: bool,
    ) -> dict[str, float]:
        """Return the shares of failures to reckon with, if not negligible.

        They are relative to the median of the candidates: if half of them
        fail, the cause is something else, and none is better than others.

        :param is_repeatable: whether the request may serve as a trial
        """
        told = self._facts.heard_subjects(fleet_facts.FactKind.FAILURES)
        found = {
            upstream.id: self._reckoned_share(upstream, is_repeatable)
            for upstream in candidates
            if upstream.id in self._suspected or upstream.id in told
        }
        if not any(found.values()):
            return {}
        unknown = [0.0] * (len(candidates) - len(found))
        median = statistics.median_low([*found.values(), *unknown])
        return {
            upstream_id: share - median
            for upstream_id, share in found.items()
            if share > median
        }

    def retain_only(
        self, upstream_ids: collections.abc.Container[str]
    ) -> None:
        """Drop what was learned about other upstreams."""
        for upstream_id in list(self._evidence):
            if upstream_id not in upstream_ids:
                del self._evidence[upstream_id]
                self._suspected.discard(upstream_id)
        self._facts.retain_only(fleet_facts.FactKind.FAILURES, upstream_ids)

    def _reckoned_share(
        self, upstream: upstreams.Upstream, is_repeatable: bool
    ) -> float:
        suspicion = self.suspicion(upstream)
        if not suspicion.is_put_aside:
            return 0.0
        if suspicion.share < _NEGLIGIBLE_SHARE:
            # Nearly trusted, but not yet by all requests at once.
            under_way = self._evidence_of(upstream).under_way
            if is_repeatable and not under_way and self._has_turn(upstream):
                return 0.0
        return max(suspicion.share, _NEGLIGIBLE_SHARE)

    def _has_turn(self, upstream: upstreams.Upstream) -> bool:
        """Return whether this gateway may send a trial now."""
        turn = self._clock.monotonic() // _TRIAL_INTERVAL
        text = f'{self._gateway}:{upstream.id}:{turn}'.encode()
        digest = hashlib.blake2b(text, digest_size=4).digest()
        return int.from_bytes(digest) % max(1, self._count_gateways()) == 0

    def _evidence_of(self, upstream: upstreams.Upstream) -> _Evidence:
        evidence = self._evidence.get(upstream.id)
        if evidence is None or not upstreams.is_same_start(
            evidence.started_at, upstream.started_at
        ):
            evidence = _Evidence(upstream.started_at)
            self._evidence[upstream.id] = evidence
        evidence.started_at = evidence.started_at or upstream.started_at
        return evidence

    def _tell(self, upstream: upstreams.Upstream, evidence: _Evidence) -> None:
        values = evidence.value, evidence.successes
        self._facts.publish(
            fleet_facts.FactKind.FAILURES,
            upstream.id,
            tuple(round(value, _FACT_DIGITS) for value in values),
            upstream.started_at,
        )

    def _told(self, upstream: upstreams.Upstream, successes: float) -> float:
        """Return the evidence of peers that own successes do not refute."""
        told = sum(
            fact.values[0] * self._fading(fact.learned_at)
            for fact in self._facts.heard(
                fleet_facts.FactKind.FAILURES, upstream.id
            )
            if len(fact.values) >= _FACT_VALUES
            and upstreams.is_same_start(fact.started_at, upstream.started_at)
        )
        told = min(told * _PEER_WEIGHT, _MAX_PEER_EVIDENCE)
        return max(0.0, told + successes * _SUCCESS_EVIDENCE)

    def _successes(self, evidence: _Evidence) -> float:
        return evidence.successes * self._fading(
            evidence.last_at, _SUCCESS_HALF_LIFE
        )

    def _fading(
        self,
        since: datetime.timedelta,
        half_life: datetime.timedelta = _HALF_LIFE,
    ) -> float:
        age = self._clock.monotonic() - since
        return float(0.5 ** (age / half_life))


def _expected_share(evidence: float) -> float:
    odds = math.exp(evidence - _PRIOR_EVIDENCE)
    return _FAILING_SHARE * odds / (1 + odds)
