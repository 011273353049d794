"""Slopes of real processes: processor time, memory and store calls."""

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
_TURNS = 8
_STEP_SECONDS = 0.002
_KIBIBYTE = 1024
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')


def measure() -> list[slopes.Slope]:
    """Return the slopes seen on a small deployment."""
    with deployments.Deployment(
        engines=3, entries=3, step_seconds=_STEP_SECONDS
    ) as deployment:
        deployment.create_class('booking', 30)
        deployment.create_account('caller')
        deployment.wait_for_configuration()
        return [
            *_idle_slopes(deployment),
            *_load_slopes(deployment),
            *_memory(deployment),
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
    before = _Snapshot(deployment)
    tokens = curio.run(_load, deployment)
    after = _Snapshot(deployment)
    turns = _PROGRAMS * _TURNS
    entry = after.entry_seconds - before.entry_seconds
    sidecar = after.sidecar_seconds - before.sidecar_seconds
    calls = after.store_calls - before.store_calls
    return [
        slopes.Slope('entry path', entry / tokens * 1e6, 'us/token'),
        slopes.Slope('sidecar path', sidecar / tokens * 1e6, 'us/token'),
        slopes.Slope('tokens a turn', tokens / turns, 'tokens/turn'),
        slopes.Slope('store calls under load', calls / turns, 'calls/turn'),
    ]


def _memory(deployment: deployments.Deployment) -> list[slopes.Slope]:
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


async def _load(deployment: deployments.Deployment) -> int:
    addresses = [node.http for node in deployment.entries.values()]
    async with curio.TaskGroup() as group:
        for number in range(_PROGRAMS):
            await group.spawn(_run_program, addresses, number)
    return sum(group.results)


async def _run_program(addresses: list[str], number: int) -> int:
    caller = callers.Caller(addresses, 'token-of-caller')
    name = f'capacity-{number}'
    await caller.open(name, 'booking')
    tokens = 0
    for sequence in range(1, _TURNS + 1):
        body = _turn_body(f'{number} {sequence}')
        text = await caller.call_text(name, sequence, body)
        tokens += _tokens_of(text)
    return tokens


def _tokens_of(text: str) -> int:
    """Return the tokens that the last event of a stream reports."""
    (line,) = text.strip().splitlines()[-1:]
    return json.loads(line.removeprefix('data: '))['tokens']


def _turn_body(text: str) -> dict[str, typing.Any]:
    return {
        'kind': 'model',
        'model': 'model-a',
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': 64,
        'stream': True,
    }


class _Snapshot:
    """Processor time and store calls of a deployment at one moment."""

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
