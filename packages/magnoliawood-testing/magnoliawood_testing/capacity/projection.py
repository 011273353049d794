"""Projection of measured slopes to the target scale."""

import dataclasses

from magnoliawood_testing.capacity import slope as slopes

# Size and load of the target scale.
ENTRIES = 340
SIDECARS = 3_300
PROGRAMS = 100_000
REQUESTS_PER_SECOND = 4_600
TOKENS_PER_SECOND = 1_900_000
ACCOUNTS = 16_000
SHARDS = 4_096
CHANGES_PER_DAY = 12_000
HOSTS_CHANGED_PER_DAY = 721
# Limits that the figures are compared with. The ``CONTROL`` limits apply to
# each process, the rates of store calls and writes to the whole system.
STORE_CALLS_PER_SECOND = 2_000
STORE_WRITES_PER_SECOND = 300
CONTROL_CORE_PERCENT = 3.2
CONTROL_MEMORY_MB = 64
CONTROL_BYTES_PER_SECOND = 4_000
STORE_VALUE_LIMIT_MB = 1
_SECONDS_PER_DAY = 86_400
_TURNS_PER_PROGRAM = 95
# Messages of an entry to each peer or sidecar, and its ownership checks.
_PROBES_PER_SECOND = 2.5
_HELLOS_PER_SECOND = 2.0
_HEARTBEATS_PER_SECOND = 2.0
_RECONCILES_PER_SECOND = 5.0
_CHARACTERS_PER_TOKEN = 4
_MEBIBYTE = 1024**2


@dataclasses.dataclass(frozen=True, slots=True)
class ProjectedFigure:
    """One projected figure and the limit that it is compared with.

    :param formula: slopes and sizes from which the value is computed
    :param limit: upper limit at the target scale, 0 where none is stated
    """

    name: str
    value: float
    unit: str
    formula: str
    limit: float = 0.0

    @property
    def verdict(self) -> str:
        """Result of the comparison of the value with the limit."""
        if not self.limit:
            return 'no limit stated'
        if self.value <= self.limit:
            return 'holds'
        return f'misses {self.value / self.limit:.3g} times over'


def project(measured: list[slopes.Slope]) -> list[ProjectedFigure]:
    """Return the projected figures of the design at the target scale."""
    slope_values = {slope.name: slope.value for slope in measured}
    return [
        *_memory_figures(slope_values),
        *_processor_figures(slope_values),
        *_network_figures(slope_values),
        *_store_figures(slope_values),
    ]


def _memory_figures(slope_values: dict[str, float]) -> list[ProjectedFigure]:
    programs = PROGRAMS / ENTRIES
    state = programs * (
        slope_values['program'] + _TURNS_PER_PROGRAM * slope_values['turn']
    )
    accounts = ACCOUNTS * slope_values['account memory']
    total = slope_values['memory of an entry'] + (state + accounts) / _MEBIBYTE
    return [
        ProjectedFigure(
            'entry: programs',
            state / _MEBIBYTE,
            'MB',
            f'{programs:.0f} programs x {_TURNS_PER_PROGRAM} turns of 200 '
            'characters',
        ),
        ProjectedFigure(
            'entry: accounts',
            accounts / _MEBIBYTE,
            'MB',
            f'{ACCOUNTS} accounts x account memory',
        ),
        ProjectedFigure(
            'entry: memory',
            total,
            'MB',
            'memory of an entry + programs + accounts',
            CONTROL_MEMORY_MB,
        ),
        ProjectedFigure(
            'sidecar: memory',
            slope_values['memory of a sidecar'],
            'MB',
            'memory of a sidecar',
            CONTROL_MEMORY_MB,
        ),
    ]


def _processor_figures(
    slope_values: dict[str, float],
) -> list[ProjectedFigure]:
    membership_changes = HOSTS_CHANGED_PER_DAY / _SECONDS_PER_DAY
    ownership = (
        membership_changes * SHARDS * ENTRIES * slope_values['preferred owner']
        + _RECONCILES_PER_SECOND * ENTRIES * slope_values['kept owners']
    ) / 1e6
    tokens = TOKENS_PER_SECOND / ENTRIES
    parse = (
        CHANGES_PER_DAY
        / _SECONDS_PER_DAY
        * ACCOUNTS
        * slope_values['account parse']
        / 1e6
    )
    return [
        ProjectedFigure(
            'entry: idle',
            slope_values['idle entry'],
            '% of a core',
            'idle entry, 3 entries and 4 sidecars',
            CONTROL_CORE_PERCENT,
        ),
        ProjectedFigure(
            'entry: ownership',
            ownership * 100,
            '% of a core',
            f'{HOSTS_CHANGED_PER_DAY} changes a day x {SHARDS} shards x '
            f'{ENTRIES} entries x preferred owner + {ENTRIES} entries x kept '
            f'owners x {_RECONCILES_PER_SECOND:g}/s',
            CONTROL_CORE_PERCENT,
        ),
        ProjectedFigure(
            'entry: configuration',
            parse * 100,
            '% of a core',
            f'{CHANGES_PER_DAY} changes a day x {ACCOUNTS} accounts x '
            'account parse',
            CONTROL_CORE_PERCENT,
        ),
        ProjectedFigure(
            'entry: responses',
            (
                tokens * slope_values['entry token']
                + REQUESTS_PER_SECOND / ENTRIES * slope_values['entry turn']
            )
            / 1e4,
            '% of a core',
            f'{tokens:.0f} tokens/s x entry token + '
            f'{REQUESTS_PER_SECOND / ENTRIES:.1f} turns/s x entry turn',
        ),
        ProjectedFigure(
            'sidecar: idle',
            slope_values['idle sidecar'],
            '% of a core',
            'idle sidecar',
            CONTROL_CORE_PERCENT,
        ),
        ProjectedFigure(
            'sidecar: responses',
            (
                TOKENS_PER_SECOND / SIDECARS * slope_values['sidecar token']
                + REQUESTS_PER_SECOND / SIDECARS * slope_values['sidecar turn']
            )
            / 1e4,
            '% of a core',
            f'{TOKENS_PER_SECOND / SIDECARS:.0f} tokens/s x sidecar token + '
            f'{REQUESTS_PER_SECOND / SIDECARS:.1f} turns/s x sidecar turn',
        ),
    ]


def _network_figures(slope_values: dict[str, float]) -> list[ProjectedFigure]:
    probes = (ENTRIES - 1) * _PROBES_PER_SECOND * slope_values['probe']
    hellos = SIDECARS * _HELLOS_PER_SECOND * slope_values['hello']
    links = ENTRIES - 1 + SIDECARS
    heartbeats = links * _HEARTBEATS_PER_SECOND * 2 * slope_values['heartbeat']
    changes = CHANGES_PER_DAY / _SECONDS_PER_DAY
    configuration = changes * ACCOUNTS * slope_values['account bytes']
    return [
        ProjectedFigure(
            'entry: probes',
            probes,
            'B/s',
            f'{ENTRIES - 1} peers x {_PROBES_PER_SECOND:g}/s x probe',
            CONTROL_BYTES_PER_SECOND,
        ),
        ProjectedFigure(
            'entry: sidecar polls',
            hellos,
            'B/s',
            f'{SIDECARS} sidecars x {_HELLOS_PER_SECOND:g}/s x hello',
            CONTROL_BYTES_PER_SECOND,
        ),
        ProjectedFigure(
            'entry: heartbeats',
            heartbeats,
            'B/s',
            f'{links} connections x 2 ways x '
            f'{_HEARTBEATS_PER_SECOND:g}/s x heartbeat',
            CONTROL_BYTES_PER_SECOND,
        ),
        ProjectedFigure(
            'entry: configuration',
            configuration,
            'B/s',
            f'{changes:.3f} changes/s x {ACCOUNTS} accounts x account bytes',
            CONTROL_BYTES_PER_SECOND,
        ),
    ]


def _store_figures(slope_values: dict[str, float]) -> list[ProjectedFigure]:
    journal_bytes_per_turn = slope_values['journal bytes']
    turns = REQUESTS_PER_SECOND
    response_bytes = TOKENS_PER_SECOND * _CHARACTERS_PER_TOKEN
    map_bytes = SHARDS * slope_values['shard map bytes']
    return [
        ProjectedFigure(
            'store: calls of idle entries',
            ENTRIES * slope_values['idle store calls'],
            'calls/s',
            f'{ENTRIES} entries x idle store calls',
            STORE_CALLS_PER_SECOND,
        ),
        ProjectedFigure(
            'store: journal bytes',
            (turns * journal_bytes_per_turn + response_bytes) / _MEBIBYTE,
            'MB/s',
            f'{turns} turns/s x journal bytes + {TOKENS_PER_SECOND} '
            f'tokens/s x {_CHARACTERS_PER_TOKEN} B',
        ),
        ProjectedFigure(
            'store: journal interval for all entries',
            ENTRIES / STORE_WRITES_PER_SECOND,
            's',
            f'{ENTRIES} owners within {STORE_WRITES_PER_SECOND} writes/s',
        ),
        ProjectedFigure(
            'store: shard map',
            map_bytes / _MEBIBYTE,
            'MB',
            f'{SHARDS} shards x shard map bytes',
            STORE_VALUE_LIMIT_MB,
        ),
    ]
