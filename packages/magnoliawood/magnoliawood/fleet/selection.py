"""Selection of the upstream with the least expected latency cost."""

import collections.abc
import dataclasses
import hashlib
import random

from magnoliawood.fleet import directory as directories
from magnoliawood.fleet import engine_memory
from magnoliawood.fleet import failure_rates
from magnoliawood.fleet import load as loads
from magnoliawood.fleet import placement as placements
from magnoliawood.fleet import prompt_cache
from magnoliawood.fleet import speeds as upstream_speeds
from magnoliawood.fleet import work_times

# A request slows the other requests as much as they slow it.
_MUTUAL_SLOWDOWN_FACTOR = 2.0
# Cost of sending to another data centre, for latency and traffic, in ms.
_CROSS_DATA_CENTRE_MS = 3.0
# Larger than the usual sum of the other costs, so that an upstream that failed
# recently ranks last.
_AVOIDANCE_PENALTY_MS = 10_000.0
# What a failed attempt costs a caller: the time until it is repeated, or the
# whole response if it must not be.
_REPEATABLE_FAILURE_MS = 1000.0
_UNREPEATABLE_FAILURE_MS = 4000.0
# Part of the time of a call, or of processing a shared part of a prompt, that
# the first and the second upstream that a key prefers are worth: one that has
# served the key saves up to half, and one with free slots makes nobody wait.
_GAIN_PARTS = (0.75, 0.375)
# Up to this many candidates are all examined; of more, only a sample and
# those that may have what the request needs.
_MAX_EXAMINED = 64
_SAMPLE_SIZE = 8
# What a refusal by a full upstream costs: an attempt and a part of the
# attempts that a request has.
_FULL_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestDemand:
    """Work that a request causes at an upstream.

    :param parts: parts of the prompt in order; empty if there is no prompt
    :param output_tokens: expected number of tokens of the response
    :param key: affinity key; requests with equal keys prefer the same
        upstream
    :param is_repeatable: whether it may run more than once
    :param has_affinity: whether an upstream that has served the key recently
        works faster
    """

    parts: tuple[prompt_cache.PromptPart, ...] = ()
    output_tokens: int = 0
    key: str = ''
    is_repeatable: bool = False
    has_affinity: bool = False


class Selector:
    """Chooses the upstream with the least expected cost.

    Explanation
    ===========

    The cost is the sum of the wait for a slot, the time to process the
    prompt tokens that the upstream has not cached, the time of the work
    itself, and the mutual slowdown of the requests at an engine. All are
    longer at an upstream that is slower than others, and failures that are
    expected of it cost in proportion. Ties are broken by rendezvous hashing
    of the first part of the prompt, so that all gateways send a new shared
    part to the same upstream.

    :param load_tracker: requests at each upstream, and recent failures
    :param prompts: prompt parts that each upstream may have cached
    :param data_centre: data centre of this process
    :param speeds: how fast upstreams work
    :param failures: shares of failures that are expected of upstreams
    :param placement: upstreams that keys prefer
    """

    def __init__(
        self,
        load_tracker: loads.LoadTracker,
        prompts: prompt_cache.PromptCaches,
        data_centre: str,
        speeds: upstream_speeds.Speeds = upstream_speeds.UNKNOWN,
        failures: failure_rates.FailureRates | None = None,
        placement: placements.Placement | None = None,
    ) -> None:
        self._load_tracker = load_tracker
        self._speeds = speeds
        self._failures = failures
        self._placement = placement or placements.Placement()
        self._random = random.Random()
        self._data_centre = data_centre
        self._prompts = prompts

    def choose(
        self,
        candidates: collections.abc.Iterable[directories.Upstream],
        demand: RequestDemand,
        prices: collections.abc.Mapping[str, float] | None = None,
    ) -> directories.Upstream | None:
        """Return the candidate with the least cost, or ``None`` if empty.

        :param prices: costs in ms that are added, by upstream
        """
        listed = list(candidates)
        if not listed:
            return None
        gains = self._gains(listed, demand)
        if len(listed) > _MAX_EXAMINED:
            listed = self._sample(listed, demand, gains.keys())
        prices = prices or {}
        failures = self._failure_costs(listed, demand)
        tokens = engine_memory.sum_tokens(demand.parts)
        costs = [
            self._cost(upstream, demand, tokens)
            + prices.get(upstream.id, 0.0)
            + failures.get(upstream.id, 0.0)
            - gains.get(upstream.id, 0.0)
            for upstream in listed
        ]
        least = min(costs)
        best = (
            upstream
            for upstream, cost in zip(listed, costs, strict=True)
            if cost == least
        )
        return min(best, key=lambda upstream: _rendezvous(upstream.id, demand))

    def _sample(
        self,
        candidates: list[directories.Upstream],
        demand: RequestDemand,
        preferred: collections.abc.Set[str],
    ) -> list[directories.Upstream]:
        """Return candidates that may be best: a random few and known ones."""
        known = self._prompts.holders(demand.parts) | preferred
        sample = self._random.sample(candidates, _SAMPLE_SIZE)
        if known:
            sample += [item for item in candidates if item.id in known]
        return sample

    def _gains(
        self,
        candidates: list[directories.Upstream],
        demand: RequestDemand,
    ) -> dict[str, float]:
        """Return what upstreams that the key prefers gain, in ms by id.

        A request stays at its first or second upstream unless another one is
        sooner done by more than its gain. A shared part of a prompt has a
        preferred upstream until one has cached it.
        """
        service = candidates[0].service
        times = self._speeds.times(service)
        if demand.parts:
            first = demand.parts[0]
            holders = self._prompts.holders((first,))
            if any(upstream.id in holders for upstream in candidates):
                return {}
            name = first.id
            gain_ms = first.tokens * times.prefill_ms_per_token
        elif demand.has_affinity:
            name = demand.key
            gain_ms = times.call_ms
        else:
            return {}
        preferred = self._placement.preferred(service, name)
        return {
            upstream_id: gain_ms * part
            for upstream_id, part in zip(preferred, _GAIN_PARTS, strict=False)
        }

    def _failure_costs(
        self,
        candidates: list[directories.Upstream],
        demand: RequestDemand,
    ) -> dict[str, float]:
        """Return the expected costs of failures in ms, by upstream."""
        if self._failures is None:
            return {}
        failure_ms = _UNREPEATABLE_FAILURE_MS
        if demand.is_repeatable:
            failure_ms = _REPEATABLE_FAILURE_MS
        shares = self._failures.shares(candidates, demand.is_repeatable)
        return {
            upstream_id: share * failure_ms
            for upstream_id, share in shares.items()
        }

    def _cost(
        self,
        upstream: directories.Upstream,
        demand: RequestDemand,
        prompt_tokens: int,
    ) -> float:
        requests = self._load_tracker.requests(upstream.id)
        cost = 0.0
        if upstream.data_centre != self._data_centre:
            cost += _CROSS_DATA_CENTRE_MS
        if self._failures is not None and self._failures.is_full(upstream):
            cost += _FULL_MS
        if self._load_tracker.is_avoided(upstream.id):
            cost += _AVOIDANCE_PENALTY_MS
        times = self._speeds.times(upstream.service)
        busy_ms = times.turn_ms if demand.parts else times.call_ms
        queued = max(0, requests - upstream.slots + 1)
        wait_ms = queued * busy_ms / max(1, upstream.slots)
        if demand.parts:
            uncached_tokens = self._prompts.missing_tokens(
                upstream.id, demand.parts, prompt_tokens
            )
            running = min(requests, upstream.slots)
            work_ms = _turn_ms(demand, uncached_tokens, running, times)
        else:
            work_ms = busy_ms * (1 + requests / max(1, upstream.slots))
        slowness = self._speeds.slowness(upstream, requests)
        return cost + slowness * (wait_ms + work_ms)


def _turn_ms(
    demand: RequestDemand,
    uncached_tokens: int,
    running: int,
    times: work_times.ServiceTimes,
) -> float:
    """Return the time of a turn and the delay it causes to others.

    :param running: requests that run at the engine
    """
    # While an engine processes a prompt, all requests running on it wait.
    prefill_ms = uncached_tokens * times.prefill_ms_per_token
    slowdown_ms = running * times.slowdown_ms_per_token
    token_ms = times.token_ms(0) + slowdown_ms * _MUTUAL_SLOWDOWN_FACTOR
    return prefill_ms * (1 + running) + demand.output_tokens * token_ms


def _rendezvous(upstream_id: str, demand: RequestDemand) -> bytes:
    name = demand.parts[0].id if demand.parts else demand.key
    text = f'{upstream_id}:{name}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
