"""Seeded programs of the two users' kinds."""

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
    """A class of work in a workload.

    :param target_seconds: target, in seconds of the unscaled engine
    :param share: part of all arrivals
    :param is_urgent: whether its callers wait for every second
    :param burst_factor: arrivals in the middle third as a multiple
    """

    name: str
    target_seconds: float
    share: float
    make_steps: MakeSteps
    is_urgent: bool = False
    burst_factor: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Classes and services of one user."""

    name: str
    classes: tuple[LoadClass, ...]
    services: tuple[str, ...]

    def find(self, name: str) -> LoadClass:
        """Return a class by name."""
        return next(item for item in self.classes if item.name == name)

    def plans(
        self, seed: int, programs_per_second: float, seconds: float
    ) -> list[plans.ProgramPlan]:
        """Return the programs of a run in the order of their arrival.

        Explanation
        ===========

        Arrivals are Poisson for each class. Each class has a random
        source of its own, so that a change of one leaves the others.

        :param programs_per_second: mean rate in unscaled seconds
        :param seconds: time in which programs arrive, unscaled
        """
        found = [
            program
            for load_class in self.classes
            for program in _class_plans(
                load_class,
                random.Random(f'{seed}/{self.name}/{load_class.name}'),
                programs_per_second * load_class.share,
                seconds,
            )
        ]
        return sorted(found, key=lambda program: program.starts_at)


def _class_plans(
    load_class: LoadClass,
    source: random.Random,
    rate: float,
    seconds: float,
) -> list[plans.ProgramPlan]:
    found = []
    # The mean over the three thirds stays the class's share.
    calm = 3.0 / (2.0 + load_class.burst_factor)
    at = 0.0
    while True:
        is_burst = seconds / 3 <= at < seconds * 2 / 3
        factor = calm * (load_class.burst_factor if is_burst else 1.0)
        at += source.expovariate(rate * factor)
        if at >= seconds:
            return found
        name = f'{load_class.name}-{len(found)}'
        system = ' '.join([load_class.name] * _SYSTEM_WORDS)
        steps = load_class.make_steps(source, system)
        found.append(plans.ProgramPlan(name, load_class.name, at, steps))


def _turn(
    source: random.Random, words: int, tokens: int, system: str = ''
) -> plans.Turn:
    return plans.Turn(
        source.randint(words // 2, words * 3 // 2), tokens, system
    )


def _booking(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    """A chain: slump, mix, spacing and gate times, then the booking."""
    steps: list[plans.Step] = [_turn(source, 60, 24, system)]
    for _ in range(source.randint(2, 4)):
        steps += [
            plans.ServiceCall('plants', 'look-up', True),
            plans.Pause(source.uniform(1.0, 5.0)),
            _turn(source, 60, 24),
        ]
    steps += [plans.ServiceCall('pours', 'book', False), _turn(source, 30, 8)]
    return tuple(steps)


def _alert(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        _turn(source, 12, 8, system),
        plans.ServiceCall('dispatch', 'alert', False),
    )


def _status(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        plans.ServiceCall('plants', 'status', True),
        _turn(source, 12, 8, system),
    )


def _conversation(
    source: random.Random, system: str, turns: int
) -> tuple[plans.Step, ...]:
    steps: list[plans.Step] = [_turn(source, 120, 24, system)]
    for _ in range(source.randint(turns - 2, turns + 2)):
        steps += [
            plans.Pause(source.uniform(1.0, 6.0)),
            _turn(source, 80, 24),
        ]
    return tuple(steps)


def _reschedule(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        *_conversation(source, system, 8),
        plans.ServiceCall('pours', 'move', False),
    )


def _concierge(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    return _conversation(source, system, 10)


def _planner(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    """A room run: sub-agents look at route and menu, then the trip."""
    children = tuple(
        (_turn(source, 60, 16), plans.Pause(1.0), _turn(source, 30, 16))
        for _ in range(source.randint(1, 3))
    )
    return (
        _turn(source, 60, 24, system),
        plans.SubAgents(children),
        _turn(source, 60, 24),
        plans.ServiceCall('trips', 'start', False),
    )


def _door(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        _turn(source, 12, 8, system),
        plans.ServiceCall('doors', 'open', False),
    )


def _lift(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        _turn(source, 12, 8, system),
        plans.ServiceCall('lifts', 'book', False),
        _turn(source, 12, 8),
    )


def _ping(source: random.Random, system: str) -> tuple[plans.Step, ...]:
    return (
        plans.ServiceCall('fleet', 'ping', True),
        _turn(source, 12, 8, system),
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
