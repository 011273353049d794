"""Which upstream a call goes to."""

import dataclasses
import hashlib
import typing

from magnoliawood.programs import identity


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamView:
    """What an entry knows of one upstream.

    :param name: name of the host
    :param data_centre: where it stands
    :param waiting: calls waiting or running there, own orders included
    :param expected_wait_seconds: estimate of the wait in its queue
    """

    name: str
    data_centre: str
    waiting: int
    expected_wait_seconds: float


class Router(typing.Protocol):
    """Chooses an upstream for a call."""

    def choose(
        self,
        program: identity.ProgramKey,
        candidates: list[UpstreamView],
        last: str,
    ) -> UpstreamView:
        """Return one of ``candidates``, which is never empty.

        :param last: upstream of the program's previous turn, or empty
        """
        ...


class LeastLoaded:
    """Baseline: the upstream with the fewest calls."""

    def choose(
        self,
        program: identity.ProgramKey,
        candidates: list[UpstreamView],
        last: str,
    ) -> UpstreamView:
        """Return the candidate with the fewest calls."""
        return min(candidates, key=lambda view: (view.waiting, view.name))


class HashAffinity:
    """Baseline: a program stays where its hash puts it."""

    def choose(
        self,
        program: identity.ProgramKey,
        candidates: list[UpstreamView],
        last: str,
    ) -> UpstreamView:
        """Return the candidate with the highest hash."""
        return max(
            candidates, key=lambda view: _score(str(program), view.name)
        )


class StayOrLeastLoaded:
    """Stay with the last upstream unless it is clearly busier."""

    _SLACK_CALLS = 4

    def choose(
        self,
        program: identity.ProgramKey,
        candidates: list[UpstreamView],
        last: str,
    ) -> UpstreamView:
        """Return the last upstream or the least loaded one."""
        best = min(candidates, key=lambda view: (view.waiting, view.name))
        stay = next((v for v in candidates if v.name == last), None)
        if stay and stay.waiting <= best.waiting + self._SLACK_CALLS:
            return stay
        return best


def _score(program: str, upstream: str) -> bytes:
    return hashlib.blake2b(f'{program}\0{upstream}'.encode()).digest()
