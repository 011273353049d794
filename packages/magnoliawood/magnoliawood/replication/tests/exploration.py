"""Breadth-first exploration of all orders of steps of a small system."""

import collections.abc
import dataclasses
import typing


class State(typing.Protocol):
    """A state of the system; hashable."""

    def steps(
        self,
    ) -> collections.abc.Iterator[tuple[str, typing.Any]]:
        """Yield each possible step with the state that it leads to."""
        ...

    def violation(self) -> str:
        """Return which promise is broken; empty if none is."""
        ...


@dataclasses.dataclass(frozen=True)
class Exploration:
    """Outcome of an exploration.

    :param states: number of distinct states that were checked
    :param violation: broken promise and the steps to it; empty if none is
    """

    states: int
    violation: str = ''


def explore(initial: State, depth: int) -> Exploration:
    """Check all states that so many steps lead to, until one is broken."""
    reached: dict[State, str] = {initial: ''}
    frontier = [initial]
    for _ in range(depth):
        following = []
        for state in frontier:
            for step, result in state.steps():
                if result in reached:
                    continue
                reached[result] = f'{reached[state]} {step};'
                broken = result.violation()
                if broken:
                    return Exploration(
                        len(reached), f'{broken} after{reached[result]}'
                    )
                following.append(result)
        frontier = following
    return Exploration(len(reached))
