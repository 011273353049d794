"""Seeded workloads that model the programs of the two users."""

import collections.abc
import dataclasses
import random

from magnoliawood_testing.load import plan as plans

_SYSTEM_WORDS = 96

MakeSteps = collections.abc.Callable[
    [random.Random, str], tuple[plans.Step, ...]
]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadClass:
    """A work class of a workload.

    :param target_seconds: target latency in unscaled seconds
    :param share: fraction of all arrivals
    :param is_urgent: whether the class is latency-sensitive
    :param burst_factor: arrival rate in the middle third of the run as a
        multiple of the rate in the other two thirds
    """

    name: str
    target_seconds: float
    share: float
    make_steps: MakeSteps
    is_urgent: bool = False
    burst_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Work classes and services of one user."""

    name: str
    classes: tuple[LoadClass, ...]
    services: tuple[str, ...]

    def find(self, name: str) -> LoadClass:
        """Return the work class with the given name."""
        return next(item for item in self.classes if item.name == name)

    def plans(
        self, seed: int, programs_per_second: float, seconds: float
    ) -> list[plans.ProgramPlan]:
        """Return the programs of a run in order of arrival.

        Explanation
        ===========

        Each class has Poisson arrivals and its own random generator, so
        that a change to one class does not affect the programs of the
        others.

        :param programs_per_second: mean arrival rate per unscaled second
        :param seconds: length of the arrival period in unscaled seconds
        """
        programs = [
            program
            for load_class in self.classes
            for program in _class_plans(
                load_class,
                random.Random(f'{seed}/{self.name}/{load_class.name}'),
                programs_per_second * load_class.share,
                seconds,
            )
        ]
        return sorted(programs, key=lambda program: program.starts_at)


def _class_plans(
    load_class: LoadClass,
    rng: random.Random,
    rate: float,
    seconds: float,
) -> list[plans.ProgramPlan]:
    programs = []
    # Keeps the mean rate over the three thirds at the share of the class.
    base_factor = 3.0 / (2.0 + load_class.burst_factor)
    at = 0.0
    while True:
        is_burst = seconds / 3 <= at < seconds * 2 / 3
        factor = base_factor * (load_class.burst_factor if is_burst else 1.0)
        at += rng.expovariate(rate * factor)
        if at >= seconds:
            return programs
        name = f'{load_class.name}-{len(programs)}'
        system = ' '.join([load_class.name] * _SYSTEM_WORDS)
        steps = load_class.make_steps(rng, system)
        programs.append(plans.ProgramPlan(name, load_class.name, at, steps))


def _turn(
    rng: random.Random, words: int, tokens: int, system: str = ''
) -> plans.Turn:
    return plans.Turn(rng.randint(words // 2, words * 3 // 2), tokens, system)


def _booking(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    """Book a pour after looking up slump, mix, spacing and gate times."""
    steps: list[plans.Step] = [_turn(rng, 60, 24, system)]
    for _ in range(rng.randint(2, 4)):
        steps += [
            plans.ServiceCall('plants', 'look-up', True),
            plans.Pause(rng.uniform(1.0, 5.0)),
            _turn(rng, 60, 24),
        ]
    steps += [plans.ServiceCall('pours', 'book', False), _turn(rng, 30, 8)]
    return tuple(steps)


def _alert(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        _turn(rng, 12, 8, system),
        plans.ServiceCall('dispatch', 'alert', False),
    )


def _status(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        plans.ServiceCall('plants', 'status', True),
        _turn(rng, 12, 8, system),
    )


def _conversation(
    rng: random.Random, system: str, turns: int
) -> tuple[plans.Step, ...]:
    steps: list[plans.Step] = [_turn(rng, 120, 24, system)]
    for _ in range(rng.randint(turns - 2, turns + 2)):
        steps += [
            plans.Pause(rng.uniform(1.0, 6.0)),
            _turn(rng, 80, 24),
        ]
    return tuple(steps)


def _reschedule(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        *_conversation(rng, system, 8),
        plans.ServiceCall('pours', 'move', False),
    )


def _concierge(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    return _conversation(rng, system, 10)


def _planner(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    """Start a trip to a room after sub-agents checked route and menu."""
    children = tuple(
        (_turn(rng, 60, 16), plans.Pause(1.0), _turn(rng, 30, 16))
        for _ in range(rng.randint(1, 3))
    )
    return (
        _turn(rng, 60, 24, system),
        plans.SubAgents(children),
        _turn(rng, 60, 24),
        plans.ServiceCall('trips', 'start', False),
    )


def _door(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        _turn(rng, 12, 8, system),
        plans.ServiceCall('doors', 'open', False),
    )


def _lift(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        _turn(rng, 12, 8, system),
        plans.ServiceCall('lifts', 'book', False),
        _turn(rng, 12, 8),
    )


def _ping(rng: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        plans.ServiceCall('fleet', 'ping', True),
        _turn(rng, 12, 8, system),
    )


RED_CLAY = Workload(
    'red-clay',
    (
        LoadClass('booking', 45.0, 0.35, _booking),
        LoadClass('alert', 3.0, 0.2, _alert, is_urgent=True),
        LoadClass('status', 8.0, 0.25, _status),
        LoadClass('reschedule', 90.0, 0.2, _reschedule, burst_factor=2.5),
    ),
    ('pours', 'plants', 'dispatch'),
)

KESSICK = Workload(
    'kessick',
    (
        LoadClass('concierge', 100.0, 0.25, _concierge),
        LoadClass('planner', 25.0, 0.2, _planner),
        LoadClass('door', 3.0, 0.2, _door, is_urgent=True),
        LoadClass('lift', 5.0, 0.15, _lift, is_urgent=True),
        LoadClass('ping', 8.0, 0.2, _ping),
    ),
    ('trips', 'doors', 'lifts', 'fleet'),
)

WORKLOADS = {item.name: item for item in (RED_CLAY, KESSICK)}
