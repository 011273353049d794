"""Cache of the turns that a gateway has read or stored."""

import collections

from magnoliawood.turns import records

# Limit on the size of the cache.
_CACHE_BYTES = 16 * 1024 * 1024
# Memory of a cached turn beside its body and names.
_TURN_BYTES = 512


class TurnCache:
    """Least recently used cache of turns by id.

    :param limit_bytes: size limit, if it is lower than the usual one
    """

    def __init__(self, limit_bytes: int | None) -> None:
        self._limit_bytes = _CACHE_BYTES
        if limit_bytes is not None:
            self._limit_bytes = min(limit_bytes, _CACHE_BYTES)
        self._turns: collections.OrderedDict[str, records.TurnRecord] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def add(self, turn: records.TurnRecord) -> None:
        """Add a turn; the least recently used ones leave."""
        if turn.turn_id in self._turns:
            return
        self._turns[turn.turn_id] = turn
        self._bytes += _cached_size(turn)
        while self._bytes > self._limit_bytes:
            _, evicted = self._turns.popitem(last=False)
            self._bytes -= _cached_size(evicted)

    def chain(self, turn_id: str) -> list[records.TurnRecord]:
        """Return a turn and those before it, as far as they are cached."""
        chain_turns: dict[str, records.TurnRecord] = {}
        while turn_id not in chain_turns and (
            turn := self._turns.get(turn_id)
        ):
            self._turns.move_to_end(turn_id)
            chain_turns[turn_id] = turn
            turn_id = turn.previous_id
        return list(chain_turns.values())


def body_size(turn: records.TurnRecord) -> int:
    """Return the length of the body of a turn."""
    return len(turn.input_bytes) + len(turn.output_bytes)


def _cached_size(turn: records.TurnRecord) -> int:
    """Return the memory of a cached turn, with its names."""
    return (
        body_size(turn)
        + len(turn.turn_id)
        + len(turn.previous_id)
        + _TURN_BYTES
    )
