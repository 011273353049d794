"""Pieces of a long turn, each of which is stored and read by itself."""

import secrets

from magnoliawood.turns import records

# Limit on the body of a piece. The messages that store or read one stay
# small, whatever the length of the turn.
PIECE_BYTES = 192 * 1024
_NONCE_BYTES = 6
# No id that a caller names contains a line feed.
_SEPARATOR = '\n'


def split(
    turn_id: str,
    previous_id: str,
    input_bytes: bytes | bytearray,
    output_bytes: bytes | bytearray,
    expires_at: float,
    account: str = '',
) -> list[records.TurnRecord]:
    """Return the records of a turn, in the order in which they are stored.

    Explanation
    ===========

    A record continues the one before it, like any turn, so the bodies of the
    chain are the body of the turn. Only the last has the id of the turn: the
    turn is not stored before its last piece is. The ids of the others are
    new each time, so the pieces of two attempts never mix.

    Examples
    ========

    >>> [record] = split('t2', 't1', b'in', b'out', 60.0)
    >>> record.turn_id, record.previous_id, record.body
    ('t2', 't1', b'inout')
    >>> long = b'x' * PIECE_BYTES
    >>> first, second = split('t2', 't1', long, b'out', 60.0)
    >>> first.previous_id, second.turn_id, second.body
    ('t1', 't2', b'out')
    >>> second.previous_id == first.turn_id
    True

    :param expires_at: Unix time in seconds until which it is kept
    """
    if len(input_bytes) + len(output_bytes) <= PIECE_BYTES:
        return [
            records.TurnRecord(
                turn_id,
                previous_id,
                bytes(input_bytes),
                bytes(output_bytes),
                expires_at,
                account,
            )
        ]
    slices = [*_slices(input_bytes), *_slices(output_bytes)]
    nonce = secrets.token_hex(_NONCE_BYTES)
    pieces = []
    for number, data in enumerate(slices, start=1):
        piece_id = f'{turn_id}{_SEPARATOR}{nonce}{_SEPARATOR}{number}'
        if number == len(slices):
            piece_id = turn_id
        pieces.append(
            records.TurnRecord(
                piece_id, previous_id, data, b'', expires_at, account
            )
        )
        previous_id = piece_id
    return pieces


def _slices(data: bytes | bytearray) -> list[bytes]:
    view = memoryview(data)
    return [
        bytes(view[start : start + PIECE_BYTES])
        for start in range(0, len(view), PIECE_BYTES)
    ]
