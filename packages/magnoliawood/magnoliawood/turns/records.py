"""Records of turns, charges against budgets, and origins of streams."""

import collections.abc
import dataclasses
import typing

import msgpack

_TURN = 'turn'
_CHARGE = 'charge'
_STREAM = 'stream'
_PAGE_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TurnRecord:
    """A turn with a complete response; immutable.

    :param turn_id: identity of the request that made the turn
    :param previous_id: turn that it continues; empty for the first turn
    :param input_bytes: input sent by the caller
    :param output_bytes: data of each event, followed by a line feed
    :param expires_at: Unix time in seconds until which it is kept
    :param account: name of the client account that made it, if any
    """

    turn_id: str
    previous_id: str
    input_bytes: bytes
    output_bytes: bytes
    expires_at: float
    account: str = ''

    @property
    def parts(self) -> tuple[bytes, bytes]:
        """Parts of the body, not joined."""
        return self.input_bytes, self.output_bytes

    @property
    def body(self) -> bytes:
        """Text that the turn adds to the prompts of the turns after it."""
        return self.input_bytes + self.output_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ChargeRecord:
    """Tokens charged to a program for one attempt at a turn.

    :param attempt_id: identity of the attempt, never reused
    :param tokens: tokens generated; while the attempt runs, the upper bound
    :param is_settled: whether the attempt has ended
    :param expires_at: Unix time in seconds until which it is kept
    """

    program_id: str
    attempt_id: str
    tokens: int
    is_settled: bool
    expires_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRecord:
    """Origin of a stream: the upstream that made its first event.

    :param stream_id: identity of the request that began the stream
    :param version: version of the upstream's software
    :param attempt: number of the origin; a later one replaces those before,
        whose upstreams made no event that the caller got
    :param expires_at: Unix time in seconds until which it is kept
    """

    stream_id: str
    service: str
    version: str
    attempt: int
    expires_at: float


Record = TurnRecord | ChargeRecord | StreamRecord


def encode(record: Record) -> bytes:
    """Return the stored form of a record.

    Examples
    ========

    >>> charge = ChargeRecord('p', 'a', 80, False, 60.0)
    >>> decode(encode(charge)) == charge
    True
    """
    kind = _KINDS[type(record)]
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


def pages(
    unsent_records: collections.abc.Iterable[Record],
) -> collections.abc.Iterator[list[bytes]]:
    """Encode records and yield them in pages.

    A page has at most ``_PAGE_BYTES``, or one record.
    """
    page: list[bytes] = []
    total = 0
    for entry in map(encode, unsent_records):
        if page and total + len(entry) > _PAGE_BYTES:
            yield page
            page, total = [], 0
        page.append(entry)
        total += len(entry)
    if page:
        yield page


_TYPES: dict[str, collections.abc.Callable[..., Record]] = {
    _TURN: TurnRecord,
    _CHARGE: ChargeRecord,
    _STREAM: StreamRecord,
}
_KINDS: dict[typing.Any, str] = {
    record_type: kind for kind, record_type in _TYPES.items()
}
_FIELDS: dict[str, tuple[str, ...]] = {
    kind: tuple(
        field.name
        for field in dataclasses.fields(typing.cast(typing.Any, record_type))
    )
    for kind, record_type in _TYPES.items()
}
