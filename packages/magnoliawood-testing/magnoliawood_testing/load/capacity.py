"""Computes how many programs the engines can finish per second."""

import dataclasses
import random

from magnoliawood_testing.load import plan as plans
from magnoliawood_testing.load import workload as workloads
from magnoliawood_testing.standins import prefix_cache

_SAMPLE_COUNT = 400
# Mean of the unlimited lengths that ``reference.answer_length`` returns.
_MEAN_RESPONSE_TOKENS = 19.5
# Words that the role of a message adds to the prompt.
_ROLE_WORDS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class EngineModel:
    """Parameters of the engine stand-ins.

    :param engines: number of engines
    :param step_seconds: length of a decoding step in unscaled seconds
    :param batch_size: number of sequences that are decoded together
    :param prefill_blocks: uncached blocks that one step can prefill
    :param cache_blocks: cache size of one engine in blocks
    """

    engines: int = 6
    step_seconds: float = 0.048
    batch_size: int = 4
    prefill_blocks: int = 2
    cache_blocks: int = 400


def programs_per_second(
    workload: workloads.Workload, engine: EngineModel
) -> float:
    """Return the arrival rate that saturates the bottleneck resource.

    Explanation
    ===========

    A turn occupies a batch slot during prefill and decoding, and all
    sequences share one prefill rate. Each block is prefilled once, as with
    a cache of unlimited size. Rates are per unscaled second.
    """
    slot_steps = 0.0
    prefill_steps = 0.0
    for load_class in workload.classes:
        slot_count, prefill = _mean_step_counts(load_class, engine)
        slot_steps += load_class.share * slot_count / engine.batch_size
        prefill_steps += load_class.share * prefill
    steps = max(slot_steps, prefill_steps)
    return engine.engines / (steps * engine.step_seconds)


def _mean_step_counts(
    load_class: workloads.LoadClass, engine: EngineModel
) -> tuple[float, float]:
    rng = random.Random(load_class.name)
    samples = [load_class.make_steps(rng, '') for _ in range(_SAMPLE_COUNT)]
    step_counts = [
        _step_counts(plans.turns_of(sample), engine) for sample in samples
    ]
    return (
        sum(slot_count for slot_count, _ in step_counts) / _SAMPLE_COUNT,
        sum(prefill for _, prefill in step_counts) / _SAMPLE_COUNT,
    )


def _step_counts(
    turns: list[plans.Turn], engine: EngineModel
) -> tuple[float, float]:
    words = sum(
        turn.words + min(turn.max_tokens, _MEAN_RESPONSE_TOKENS) + _ROLE_WORDS
        for turn in turns
    )
    prefill = words / prefix_cache.BLOCK_WORDS / engine.prefill_blocks
    decode = sum(min(turn.max_tokens, _MEAN_RESPONSE_TOKENS) for turn in turns)
    return prefill + decode, prefill
