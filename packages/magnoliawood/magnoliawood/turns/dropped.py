"""What a replica remembers of the turns that it dropped last."""

import collections
import collections.abc
import itertools

from magnoliawood.turns import records

# Number of dropped turns whose expiry is remembered.
LIMIT = 4096


class DroppedTurns:
    """Expiry of the turns that were dropped last, by id.

    Explanation
    ===========

    A turn that was dropped too early and one that the disk never had are
    missing alike; only this tells them apart.

    Examples
    ========

    >>> dropped = DroppedTurns()
    >>> dropped.add([records.TurnRecord('t1', '', b'in', b'out', 60.0)])
    >>> dropped.expiry('t1'), dropped.expiry('t2')
    (60.0, None)
    >>> dropped.last_ids(8)
    ['t1']
    """

    def __init__(self) -> None:
        self._expiries: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, turns: collections.abc.Iterable[records.TurnRecord]) -> None:
        """Remember turns that are dropped now."""
        for turn in turns:
            self._expiries[turn.turn_id] = turn.expires_at
            self._expiries.move_to_end(turn.turn_id)
        while len(self._expiries) > LIMIT:
            self._expiries.popitem(last=False)

    def expiry(self, turn_id: str) -> float | None:
        """Return until when a dropped turn was to be kept, if known."""
        return self._expiries.get(turn_id)

    def last_ids(self, count: int) -> list[str]:
        """Return the ids of the turns that were dropped last."""
        return list(itertools.islice(reversed(self._expiries), count))
