"""Cost of real processes: processor time, memory and store calls."""

import dataclasses
import json
import os
import pathlib
import time
import typing

import curio

from magnoliawood_testing.capacity import slope as slopes
from magnoliawood_testing.cluster import caller as callers
from magnoliawood_testing.cluster import deployment as deployments

_IDLE_SECONDS = 6.0
_PROGRAMS = 24
_TURNS = 20
_TURNS_PER_LOAD = _PROGRAMS * _TURNS
_SHORT_RESPONSE_TOKENS = 2
_LONG_RESPONSE_TOKENS = 64
_STEP_SECONDS = 0.002
_KIBIBYTE = 1024
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def measure() -> list[slopes.Slope]:
    """Return the slopes measured on a small deployment."""
    with deployments.Deployment(
        engines=3, entries=3, step_seconds=_STEP_SECONDS
    ) as deployment:
        deployment.create_class('booking', 30)
        deployment.create_account('caller')
        deployment.wait_for_configuration()
        return [
            *_idle_slopes(deployment),
            *_load_slopes(deployment),
            *_memory_slopes(deployment),
        ]


def _idle_slopes(
    deployment: deployments.Deployment,
) -> list[slopes.Slope]:
    before = _Snapshot(deployment)
    time.sleep(_IDLE_SECONDS)
    after = _Snapshot(deployment)
    seconds = after.at - before.at
    entry = (after.entry_seconds - before.entry_seconds) / seconds
    sidecar = (after.sidecar_seconds - before.sidecar_seconds) / seconds
    calls = (after.store_calls - before.store_calls) / seconds
    count = len(deployment.entries)
    return [
        slopes.Slope('idle entry', entry / count * 100, '% of a core'),
        slopes.Slope(
            'idle sidecar',
            sidecar / len(deployment.sidecars) * 100,
            '% of a core',
        ),
        slopes.Slope('idle store calls', calls / count, 'calls/s/entry'),
    ]


def _load_slopes(
    deployment: deployments.Deployment,
) -> list[slopes.Slope]:
    short = _run_load(deployment, 'short', _SHORT_RESPONSE_TOKENS)
    long = _run_load(deployment, 'long', _LONG_RESPONSE_TOKENS)
    entry_token = _cost_per_token(short, long, 'entry_seconds')
    sidecar_token = _cost_per_token(short, long, 'sidecar_seconds')
    entry_turn = short.entry_seconds - short.tokens * entry_token
    sidecar_turn = short.sidecar_seconds - short.tokens * sidecar_token
    return [
        slopes.Slope('entry token', entry_token * 1e6, 'us/token'),
        slopes.Slope(
            'entry turn', entry_turn / _TURNS_PER_LOAD * 1e6, 'us/turn'
        ),
        slopes.Slope('sidecar token', sidecar_token * 1e6, 'us/token'),
        slopes.Slope(
            'sidecar turn', sidecar_turn / _TURNS_PER_LOAD * 1e6, 'us/turn'
        ),
        slopes.Slope(
            'store calls under load',
            long.store_calls / _TURNS_PER_LOAD,
            'calls/turn',
        ),
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadCost:
    """Cost of one load, including the idle cost of the processes."""

    tokens: int
    entry_seconds: float
    sidecar_seconds: float
    store_calls: int


def _run_load(
    deployment: deployments.Deployment, name: str, max_tokens: int
) -> _LoadCost:
    before = _Snapshot(deployment)
    tokens = curio.run(_run_programs, deployment, name, max_tokens)
    after = _Snapshot(deployment)
    return _LoadCost(
        tokens,
        after.entry_seconds - before.entry_seconds,
        after.sidecar_seconds - before.sidecar_seconds,
        after.store_calls - before.store_calls,
    )


def _cost_per_token(short: _LoadCost, long: _LoadCost, field: str) -> float:
    """Return the cost per token; both loads have the same number of turns."""
    cost = getattr(long, field) - getattr(short, field)
    return cost / (long.tokens - short.tokens)


def _memory_slopes(deployment: deployments.Deployment) -> list[slopes.Slope]:
    return [
        slopes.Slope(
            f'memory of {role}',
            max(_resident_bytes(node) for node in nodes.values())
            / _KIBIBYTE**2,
            'MB resident',
        )
        for role, nodes in (
            ('an entry', deployment.entries),
            ('a sidecar', deployment.sidecars),
        )
    ]


async def _run_programs(
    deployment: deployments.Deployment, name: str, max_tokens: int
) -> int:
    addresses = [node.http for node in deployment.entries.values()]
    async with curio.TaskGroup() as group:
        for number in range(_PROGRAMS):
            program = f'capacity-{name}-{number}'
            await group.spawn(_run_program, addresses, program, max_tokens)
    return sum(group.results)


async def _run_program(
    addresses: list[str], name: str, max_tokens: int
) -> int:
    caller = callers.Caller(addresses, 'token-of-caller')
    await caller.open(name, 'booking')
    tokens = 0
    for sequence in range(1, _TURNS + 1):
        body = _turn_body(f'{name} {sequence}', max_tokens)
        text = await caller.call_text(name, sequence, body)
        tokens += _tokens_of(text)
    return tokens


def _tokens_of(text: str) -> int:
    """Return the token count in the last event of a stream."""
    (line,) = text.strip().splitlines()[-1:]
    return json.loads(line.removeprefix('data: '))['tokens']


def _turn_body(text: str, max_tokens: int) -> dict[str, typing.Any]:
    return {
        'kind': 'model',
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': max_tokens,
        'stream': True,
    }


class _Snapshot:
    """Processor time and store calls of a deployment at one point in time."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.at = time.monotonic()
        self.entry_seconds = sum(
            map(_processor_seconds, deployment.entries.values())
        )
        self.sidecar_seconds = sum(
            map(_processor_seconds, deployment.sidecars.values())
        )
        _, counts = deployments.call(
            deployment.platform.http, 'GET', '/control/calls'
        )
        self.store_calls = sum(counts.values())


def _processor_seconds(node: deployments.Node) -> float:
    text = pathlib.Path(f'/proc/{node.process.pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def _resident_bytes(node: deployments.Node) -> int:
    text = pathlib.Path(f'/proc/{node.process.pid}/statm').read_text()
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')
