"""Learns the speed and the failures of upstreams from attempts."""

import collections.abc
import dataclasses
import datetime
import logging

import curio

from magnoliawood.core import clock as clocks
from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import failure_rates
from magnoliawood.fleet import placement as placements
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import speeds as upstream_speeds
from magnoliawood.fleet import work_times
from magnoliawood.routes import configuration as configurations
from magnoliawood.telemetry import registry as registries
from magnoliawood_server.gateway import attempts as attempt_records
from magnoliawood_server.gateway import cluster_view as cluster_views
from magnoliawood_server.gateway import exchange as exchanges
from magnoliawood_server.gateway import job as jobs

# Time between two checks for overdue responses.
OVERDUE_INTERVAL = datetime.timedelta(milliseconds=250)
# What a gateway sees so soon after it has started again is not learned:
# callers return all at once, and its own host is late.
WARM_UP = datetime.timedelta(seconds=5)
# An attempt without any response counts as failed after this many times its
# expected duration, and not before the least time.
_OVERDUE_RATIO = 8.0
_MIN_OVERDUE = datetime.timedelta(milliseconds=500)
# The same if the expected duration is not known yet.
_UNKNOWN_OVERDUE = datetime.timedelta(seconds=2)
# A longer time between two checks shows that this process was frozen.
_MAX_PAUSE = datetime.timedelta(seconds=1)
# An upstream with fewer requests than this part of its slots isn't full: a
# refusal is a failure. Long prompts may fill an engine with few requests.
_IDLE_PART = 0.25
_SERVER_ERRORS = range(500, 600)
_SUCCESSES = range(200, 300)
_MILLISECOND = datetime.timedelta(milliseconds=1)

_log = logging.getLogger(__name__)


@dataclasses.dataclass(slots=True)
class _UnderWay:
    """An attempt in progress.

    :param overdue_at: time from which it counts as failed without a response
    :param is_counted: whether it has been counted as failed
    """

    job: jobs.Job
    upstream: directories.Upstream
    uncached_tokens: int
    overdue_at: datetime.timedelta
    is_counted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Mark:
    """What was last logged about an upstream."""

    is_slow: bool = False
    is_put_aside: bool = False


class UpstreamLearning:
    """Observes attempts and logs what is believed of upstreams.

    :param prompts: prompt parts that each upstream may have cached
    :param warm_up: time after the start for which nothing is learned
    """

    def __init__(
        self,
        cluster_view: cluster_views.ClusterView,
        prompts: prompt_cache.PromptCaches,
        speeds: upstream_speeds.UpstreamSpeeds,
        failures: failure_rates.FailureRates,
        placement: placements.Placement,
        clock: clocks.Clock,
        registry: registries.Registry,
        warm_up: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        self._learns_from = clock.monotonic() + warm_up
        self._cluster_view = cluster_view
        self._prompts = prompts
        self._speeds = speeds
        self._failures = failures
        self._placement = placement
        self._clock = clock
        self._registry = registry
        # By the identity of the job.
        self._under_way: dict[int, _UnderWay] = {}
        self._marks: dict[str, _Mark] = {}
        self._checked_at = clock.monotonic()

    def begin(self, job: jobs.Job, upstream: directories.Upstream) -> None:
        """Record an attempt that is about to be sent."""
        self._failures.begin(upstream)
        if job.demand.has_affinity:
            self._count_place(job, upstream)
        uncached_tokens = self._prompts.missing_tokens(
            upstream.id, job.metadata.parts
        )
        overdue_at = self._clock.monotonic() + self._overdue_time(
            job, upstream, uncached_tokens
        )
        self._under_way[id(job)] = _UnderWay(
            job, upstream, uncached_tokens, overdue_at
        )

    def end(self, attempt: attempt_records.Attempt) -> None:
        """Learn from an attempt that has ended."""
        under_way = self._under_way.pop(id(attempt.job))
        self._failures.end(attempt.upstream)
        if not self._is_warm:
            return
        if attempt.result is not None and (
            attempt.result.ending is exchanges.Ending.REFUSED
        ):
            self._record_refusal(attempt)
        else:
            has_failed = _has_failed(attempt, under_way.overdue_at)
            is_known = has_failed and under_way.is_counted
            if has_failed is not None and not is_known:
                self._failures.record(attempt.upstream, has_failed)
        work = self._work(attempt, under_way.uncached_tokens)
        if work is not None:
            self._speeds.record(attempt.upstream, work)
        self._log_changes(attempt.upstream)

    @property
    def _is_warm(self) -> bool:
        return self._clock.monotonic() >= self._learns_from

    async def run(self) -> None:
        """Check for overdue responses at intervals until cancelled."""
        while True:
            await curio.sleep(OVERDUE_INTERVAL.total_seconds())
            self.check_overdue()

    def check_overdue(self) -> None:
        """Count attempts that are overdue without a response as failed."""
        now = self._clock.monotonic()
        pause = now - self._checked_at
        self._checked_at = now
        if pause > _MAX_PAUSE:
            # This process was frozen, so the time says nothing.
            for under_way in self._under_way.values():
                under_way.overdue_at += pause
        if not self._is_warm:
            return
        for under_way in self._under_way.values():
            if under_way.is_counted or under_way.overdue_at > now:
                continue
            if under_way.job.first_event_at is None:
                under_way.is_counted = True
                self._failures.record(under_way.upstream, True)
                self._log_changes(under_way.upstream)

    def clean_up(
        self, known: collections.abc.Collection[directories.Upstream]
    ) -> None:
        """Forget other upstreams, place keys by sizes, and log changes."""
        ids = {upstream.id for upstream in known}
        self._speeds.retain_only(ids)
        self._failures.retain_only(ids)
        if self._is_warm:
            slowness = self._speeds.lasting_slowness
            self._placement.update(
                placements.sizes_by_service(known, slowness)
            )
        for upstream_id in self._marks.keys() - ids:
            del self._marks[upstream_id]
        marked = [item for item in known if item.id in self._marks]
        for upstream in marked:
            self._log_changes(upstream)
        marks = self._marks.values()
        self._registry.set_gauge(
            'slow_upstreams', sum(mark.is_slow for mark in marks)
        )
        self._registry.set_gauge(
            'failing_upstreams', sum(mark.is_put_aside for mark in marks)
        )

    def _record_refusal(self, attempt: attempt_records.Attempt) -> None:
        """Record that an upstream was full, or that it failed if idle."""
        upstream = attempt.upstream
        limits = self._cluster_view.directory.rate_limits
        if attempt.requests_there >= _IDLE_PART * upstream.slots:
            self._failures.record_full(upstream)
        elif limits.rate(upstream) is None:
            self._failures.record(upstream, True)

    def _count_place(
        self, job: jobs.Job, upstream: directories.Upstream
    ) -> None:
        """Count whether a key went to an upstream that it prefers."""
        preferred = self._placement.preferred(upstream.service, job.demand.key)
        place = 'other'
        if upstream.id in preferred:
            place = ('first', 'second')[preferred.index(upstream.id)]
        self._registry.count('affinity_requests_total', place=place)

    def _overdue_time(
        self,
        job: jobs.Job,
        upstream: directories.Upstream,
        uncached_tokens: int,
    ) -> datetime.timedelta:
        times = self._speeds.times(upstream.service)
        work: work_times.Turn | work_times.ServiceCall
        zero = datetime.timedelta()
        if _is_turn(job):
            tokens = job.metadata.output_tokens
            work = work_times.Turn(
                uncached_tokens, tokens, upstream.slots, zero, zero
            )
        else:
            work = work_times.ServiceCall(job.route.name, 0, zero)
        expected_ms = times.expected_ms(work)
        if expected_ms is None:
            return _UNKNOWN_OVERDUE
        return max(_MIN_OVERDUE, _OVERDUE_RATIO * expected_ms * _MILLISECOND)

    def _work(
        self, attempt: attempt_records.Attempt, uncached_tokens: int
    ) -> work_times.Turn | work_times.ServiceCall | None:
        """Return the work of an attempt that ended well."""
        result = attempt.result
        if result is None or result.ending is not exchanges.Ending.DELIVERED:
            return None
        duration = attempt.ended_at - attempt.started_at
        if not _is_turn(attempt.job):
            if result.status is None or result.status not in _SUCCESSES:
                return None
            return work_times.ServiceCall(
                attempt.job.route.name, attempt.requests_there, duration
            )
        if attempt.first_event_at is None or not attempt.events:
            return None
        return work_times.Turn(
            uncached_tokens,
            attempt.events * self._tokens_per_event(attempt.job.service),
            attempt.requests_there,
            attempt.first_event_at - attempt.started_at,
            duration,
        )

    def _tokens_per_event(self, service_name: str) -> int:
        table = self._cluster_view.table
        service = table.service(service_name) if table else None
        if service is None or service.engine is None:
            return 1
        return service.engine.tokens_per_event

    def _log_changes(self, upstream: directories.Upstream) -> None:
        """Log and count what is believed anew of an upstream."""
        belief = self._speeds.belief(upstream)
        suspicion = self._failures.suspicion(upstream)
        mark = _Mark(belief.is_slow, suspicion.is_put_aside)
        previous = self._marks.get(upstream.id, _Mark())
        if mark == _Mark():
            self._marks.pop(upstream.id, None)
        else:
            self._marks[upstream.id] = mark
        if mark.is_slow != previous.is_slow:
            self._log_speed(upstream, belief)
        if mark.is_put_aside != previous.is_put_aside:
            self._log_failures(upstream, suspicion)

    def _log_speed(
        self, upstream: directories.Upstream, belief: upstream_speeds.Belief
    ) -> None:
        if belief.is_slow:
            self._registry.count('slow_upstreams_total')
        _log.warning(
            'upstream is slow' if belief.is_slow else 'upstream is fast again',
            extra={
                'upstream': upstream.id,
                'service': upstream.service,
                'slowness': round(belief.slowness, 2),
                'recent_slowness': round(belief.recent_slowness, 2),
                'spread': round(belief.spread, 2),
                'attempts': round(belief.attempts),
                'peers': belief.peers,
                'age_ms': _milliseconds(belief.age),
            },
        )

    def _log_failures(
        self,
        upstream: directories.Upstream,
        suspicion: failure_rates.Suspicion,
    ) -> None:
        if suspicion.is_put_aside:
            self._registry.count('failing_upstreams_total')
            message = 'upstream is put aside since it fails'
        else:
            message = 'upstream is trusted again'
        _log.warning(
            message,
            extra={
                'upstream': upstream.id,
                'service': upstream.service,
                'expected_share': round(suspicion.share, 2),
                'own_evidence': round(suspicion.own_evidence, 1),
                'peer_evidence': round(suspicion.peer_evidence, 1),
                'age_ms': _milliseconds(suspicion.age),
            },
        )


def _is_turn(job: jobs.Job) -> bool:
    return job.route.kind is configurations.RequestKind.STREAMING


def _has_failed(
    attempt: attempt_records.Attempt, overdue_at: datetime.timedelta
) -> bool | None:
    """Return whether an upstream failed; ``None`` if that is not known."""
    result = attempt.result
    if result is None:
        # The caller left or the deadline passed.
        is_overdue = attempt.ended_at >= overdue_at
        return True if is_overdue and not attempt.events else None
    if result.ending is exchanges.Ending.DELIVERED:
        return result.status in _SERVER_ERRORS
    if result.ending in (
        exchanges.Ending.UNREACHABLE,
        exchanges.Ending.FAILED,
    ):
        return True
    return None


def _milliseconds(age: datetime.timedelta | None) -> int | None:
    return None if age is None else age // _MILLISECOND
