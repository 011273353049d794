"""Measures how the load of one caller affects the latency of another.

Run ``python -m magnoliawood_testing.load.caller_shares --seeds 1,2,3``. Each
seed runs twice: with the calm caller alone, and together with a busy caller
that opens ten times as many programs.
"""

import argparse
import dataclasses
import datetime
import random
import statistics
import time

import curio

from magnoliawood_testing import cluster

CALM = 'calm'
BUSY = 'busy'
BUSY_FACTOR = 10
PROGRAMS_PER_SECOND = 1.0
TURNS = 3
MAX_TOKENS = 40
PERCENTILE = 95


@dataclasses.dataclass(slots=True)
class Tally:
    """Latencies and failures of the programs of one caller.

    :param latencies: seconds from the planned start to the last response
    :param unfinished: number of programs that failed or timed out
    """

    latencies: list[float] = dataclasses.field(default_factory=list)
    unfinished: int = 0

    @property
    def p95(self) -> float:
        """95th percentile of the latencies, in seconds."""
        return statistics.quantiles(self.latencies, n=100)[PERCENTILE - 1]


async def _run_program(
    addresses: list[str], caller: str, name: str, delay: float, tally: Tally
) -> None:
    await curio.sleep(delay)
    started = time.monotonic()
    client = cluster.Caller(addresses, f'token-of-{caller}')
    try:
        await client.open(name, 'booking')
        for sequence in range(1, TURNS + 1):
            await client.turn(name, sequence, f'{name} {sequence}', MAX_TOKENS)
    except (RuntimeError, curio.TaskTimeout):
        tally.unfinished += 1
        return
    tally.latencies.append(time.monotonic() - started)


def _arrival_times(
    rng: random.Random, rate: float, seconds: float
) -> list[float]:
    times: list[float] = []
    now = rng.expovariate(rate)
    while now < seconds:
        times.append(now)
        now += rng.expovariate(rate)
    return times


async def _run_callers(
    addresses: list[str], seed: int, seconds: float, with_busy: bool
) -> dict[str, Tally]:
    tallies = {CALM: Tally(), BUSY: Tally()}
    rates = {CALM: PROGRAMS_PER_SECOND}
    if with_busy:
        rates[BUSY] = PROGRAMS_PER_SECOND * BUSY_FACTOR
    async with curio.TaskGroup() as group:
        for caller, rate in rates.items():
            rng = random.Random(f'{seed} {caller}')
            for number, delay in enumerate(_arrival_times(rng, rate, seconds)):
                name = f'{caller}-{seed}-{with_busy}-{number}'
                await group.spawn(
                    _run_program,
                    addresses,
                    caller,
                    name,
                    delay,
                    tallies[caller],
                )
    return tallies


def _run_deployment(
    seed: int, seconds: float, with_busy: bool
) -> dict[str, Tally]:
    settings: dict[str, object] = {'concurrency': 4, 'queue_limit': 32}
    with cluster.Deployment(
        step_seconds=0.01, sidecar_settings=settings
    ) as deployment:
        deployment.create_class('booking', 30)
        deployment.create_account(CALM)
        deployment.create_account(BUSY)
        deployment.wait_for_configuration()
        addresses = [node.http for node in deployment.entries.values()]
        return curio.run(_run_callers, addresses, seed, seconds, with_busy)


def main() -> None:
    """Print the latencies for each seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', default='1,2,3')
    parser.add_argument('--seconds', type=float, default=12.0)
    options = parser.parse_args()
    print(f'{datetime.datetime.now(datetime.UTC):%Y-%m-%d} {options.seconds=}')
    for seed in map(int, options.seeds.split(',')):
        calm_alone = _run_deployment(seed, options.seconds, False)[CALM]
        with_busy_caller = _run_deployment(seed, options.seconds, True)
        calm_with_busy, busy = with_busy_caller[CALM], with_busy_caller[BUSY]
        print(
            f'seed {seed}: calm alone p95 {calm_alone.p95:.3f} s '
            f'({len(calm_alone.latencies)} programs, '
            f'{calm_alone.unfinished} unfinished); '
            f'with {BUSY_FACTOR}x busy caller p95 {calm_with_busy.p95:.3f} s '
            f'({len(calm_with_busy.latencies)}, {calm_with_busy.unfinished}); '
            f'busy p95 {busy.p95:.3f} s '
            f'({len(busy.latencies)}, {busy.unfinished})',
            flush=True,
        )


if __name__ == '__main__':
    main()
