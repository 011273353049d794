"""How many programs the engines can finish in a second."""

import dataclasses
import random

from magnoliawood_testing.load import plan as plans
from magnoliawood_testing.load import workload as workloads
from magnoliawood_testing.standins import prefix_cache

_SAMPLES = 400
_MEAN_ANSWER_TOKENS = 19.5
_ROLE_WORDS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Parameters of the engine stand-ins.

    :param step_seconds: one decoding step, unscaled
    :param batch_size: sequences that decode together
    :param prefill_blocks: uncached blocks taken in by one step
    :param cache_blocks: blocks that fit in the cache of one engine
    """

    engines: int = 6
    step_seconds: float = 0.048
    batch_size: int = 4
    prefill_blocks: int = 2
    cache_blocks: int = 400


def programs_per_second(
    workload: workloads.Workload, engine: EngineModel
) -> float:
    """Return the rate at which the busiest resource is full.

    Explanation
    ===========

    A turn holds a place in the batch for its prefill and its decoding; the
    prefill of all sequences shares one rate. Each block is counted once,
    as if a cache of any size kept it. Rates are in unscaled seconds.
    """
    slot_steps = 0.0
    prefill_steps = 0.0
    for load_class in workload.classes:
        slots, prefill = _mean_steps(load_class, engine)
        slot_steps += load_class.share * slots / engine.batch_size
        prefill_steps += load_class.share * prefill
    steps = max(slot_steps, prefill_steps)
    return engine.engines / (steps * engine.step_seconds)


def _mean_steps(
    load_class: workloads.LoadClass, engine: EngineModel
) -> tuple[float, float]:
    source = random.Random(load_class.name)
    samples = [load_class.make_steps(source, '') for _ in range(_SAMPLES)]
    found = [_steps(plans.turns_of(sample), engine) for sample in samples]
    return (
        sum(slots for slots, _ in found) / _SAMPLES,
        sum(prefill for _, prefill in found) / _SAMPLES,
    )


def _steps(
    turns: list[plans.Turn], engine: EngineModel
) -> tuple[float, float]:
    words = sum(
        turn.words + min(turn.max_tokens, _MEAN_ANSWER_TOKENS) + _ROLE_WORDS
        for turn in turns
    )
    prefill = words / prefix_cache.BLOCK_WORDS / engine.prefill_blocks
    decode = sum(min(turn.max_tokens, _MEAN_ANSWER_TOKENS) for turn in turns)
    return prefill + decode, prefill
