"""Records of turns and of charges against a program's budget."""

import collections.abc
import dataclasses
import typing

import msgpack

_TURN = 'turn'
_CHARGE = 'charge'


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRecord:
    """A turn that was answered whole; it never changes.

    :param turn_id: identity of the request that made the turn
    :param previous_id: turn that it continues from; empty at a start
    :param input_bytes: what the caller sent
    :param output_bytes: data of each event followed by a line feed
    :param expires_at: Unix time in seconds until which it is kept
    """

    turn_id: str
    previous_id: str
    input_bytes: bytes
    output_bytes: bytes
    expires_at: float

    @property
    def body(self) -> bytes:
        """What the turn adds to the prompt of those that follow."""
        return self.input_bytes + self.output_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChargeRecord:
    """Tokens charged to a program for one attempt at a turn.

    :param attempt_id: identity of the attempt, never used twice
    :param tokens: the most that it may generate, or what it did generate
    :param is_settled: whether the attempt has ended
    :param expires_at: Unix time in seconds until which it is kept
    """

    program_id: str
    attempt_id: str
    tokens: int
    is_settled: bool
    expires_at: float


Record = TurnRecord | ChargeRecord


def encode(record: Record) -> bytes:
    """Return the stored form of a record.

    Examples
    ========

    >>> charge = ChargeRecord('p', 'a', 80, False, 60.0)
    >>> decode(encode(charge)) == charge
    True
    """
    kind = _TURN if isinstance(record, TurnRecord) else _CHARGE
    fields = [getattr(record, field) for field in _FIELDS[kind]]
    return msgpack.packb([kind, *fields])


def decode(data: bytes) -> Record:
    """Parse the stored form of a record.

    :raises ValueError: if it is malformed
    """
    kind, *fields = msgpack.unpackb(data)
    if kind not in _TYPES:
        raise ValueError(f'unknown kind of record {kind!r}')
    return _TYPES[kind](*fields)


_TYPES: dict[str, collections.abc.Callable[..., Record]] = {
    _TURN: TurnRecord,
    _CHARGE: ChargeRecord,
}
_FIELDS: dict[str, tuple[str, ...]] = {
    kind: tuple(
        field.name
        for field in dataclasses.fields(typing.cast(typing.Any, record_type))
    )
    for kind, record_type in _TYPES.items()
}
