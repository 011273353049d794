"""Bodies of turns that a replica has on disk, in place of its memory."""

import collections
import collections.abc
import typing

from magnoliawood.turns import records

# A shorter body stays in memory: where it lies takes about as much.
_MIN_BODY_BYTES = 1024
# Limit on the bodies in memory, where nothing else is set.
DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024


class Bodies:
    """Where bodies lie on disk, and which of them are in memory as well.

    :param read: reads a stored turn from where it lies
    :param limit_bytes: limit on the bodies in memory that are on disk, too

    Examples
    ========

    >>> turn = records.TurnRecord('t1', '', b'x' * 2000, b'', 60.0)
    >>> bodies = Bodies(lambda place: turn, limit_bytes=1000)
    >>> bodies.locate(turn, place=7)
    ['t1']
    >>> bodies.read(bodies.stub(turn)) == turn
    True
    """

    def __init__(
        self,
        read: collections.abc.Callable[[typing.Any], records.TurnRecord],
        limit_bytes: int = DEFAULT_LIMIT_BYTES,
    ) -> None:
        self._read = read
        self._limit_bytes = limit_bytes
        self._places: dict[str, typing.Any] = {}
        # Lengths of the bodies that are in memory as well, the oldest first.
        self._in_memory: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._bytes = 0
        # Lengths of the bodies that left the memory.
        self._left: dict[str, int] = {}
        self._left_bytes = 0

    @property
    def bytes_on_disk_only(self) -> int:
        """Length of the bodies that are not in memory."""
        return self._left_bytes

    @property
    def bytes_in_memory(self) -> int:
        """Length of the bodies in memory that are on disk, too."""
        return self._bytes

    def locate(self, turn: records.TurnRecord, place: typing.Any) -> list[str]:
        """Record where a stored turn lies.

        :returns: ids of the turns whose bodies leave the memory
        """
        size = sum(map(len, turn.parts))
        if size < _MIN_BODY_BYTES:
            return []
        self._places[turn.turn_id] = place
        self._bytes += size - self._in_memory.pop(turn.turn_id, 0)
        self._in_memory[turn.turn_id] = size
        leaving = []
        while self._bytes > self._limit_bytes:
            turn_id, length = self._in_memory.popitem(last=False)
            self._bytes -= length
            self._left[turn_id] = length
            self._left_bytes += length
            leaving.append(turn_id)
        return leaving

    def move(self, turn_id: str, place: typing.Any) -> None:
        """Record that a body lies at another place now."""
        if turn_id in self._places:
            self._places[turn_id] = place

    def is_on_disk_only(self, turn_id: str) -> bool:
        """Whether the body of a turn is not in memory."""
        return turn_id in self._left

    def stub(self, turn: records.TurnRecord) -> records.TurnRecord:
        """Return a turn without its body."""
        return records.TurnRecord(
            turn.turn_id,
            turn.previous_id,
            b'',
            b'',
            turn.expires_at,
            turn.account,
        )

    def read(self, stub: records.TurnRecord) -> records.TurnRecord:
        """Return a turn with its body, read from the disk.

        :raises OSError: if it can't be read
        """
        stored = self._read(self._places[stub.turn_id])
        return records.TurnRecord(
            stub.turn_id,
            stub.previous_id,
            stored.input_bytes,
            stored.output_bytes,
            stub.expires_at,
            stub.account,
        )

    def forget(self, turn_ids: collections.abc.Iterable[str]) -> None:
        """Forget turns that are not stored any more."""
        for turn_id in turn_ids:
            self._places.pop(turn_id, None)
            self._bytes -= self._in_memory.pop(turn_id, 0)
            self._left_bytes -= self._left.pop(turn_id, 0)
