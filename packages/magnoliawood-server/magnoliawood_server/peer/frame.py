"""Encoding and decoding of length-prefixed msgpack frames."""

import dataclasses
import struct
import typing

import msgpack
import pydantic

from magnoliawood.core import errors
from magnoliawood_server.peer import control

FRAME_LIMIT_BYTES = 16 * 1024 * 1024
PROTOCOL_VERSION = 1
_PREFIX = struct.Struct('>I')
_LIST_OF_FIVE = msgpack.Packer().pack_array_header(5)
PREFIX_SIZE_BYTES = _PREFIX.size


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One message on one stream of a connection.

    :param stream: number of the stream on its connection
    :param opens: whether it is the first message of the stream
    :param message: of a type in :data:`control.ADAPTERS`, or such a message
        encoded as a :class:`control.Packed`
    """

    stream: int
    opens: bool
    message: typing.Any


def encode(frame: Frame) -> bytes:
    """Return the encoded frame, prefixed with the length of its body.

    :raises MagnoliawoodError: with ``message_too_large``
    """
    message = frame.message
    if not isinstance(message, control.Packed):
        message = control.Packed.of(message)
    head = msgpack.packb([PROTOCOL_VERSION, frame.stream, frame.opens])
    length = len(head) + len(message.data)
    if length > FRAME_LIMIT_BYTES:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MESSAGE_TOO_LARGE,
            f'a frame of {length} bytes exceeds {FRAME_LIMIT_BYTES}',
        )
    # The body is one list of five items, of which the head has three.
    return b''.join(
        (_PREFIX.pack(length), _LIST_OF_FIVE, head[1:], message.data)
    )


def body_length(prefix: bytes) -> int:
    """Return the length of a frame's body in bytes, read from its prefix.

    :raises MagnoliawoodError: with ``message_too_large``
    """
    (length,) = _PREFIX.unpack(prefix)
    if length > FRAME_LIMIT_BYTES:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MESSAGE_TOO_LARGE,
            f'a frame of {length} bytes exceeds {FRAME_LIMIT_BYTES}',
        )
    return length


def decode(body: bytes | memoryview) -> Frame:
    """Decode the body of a frame.

    :raises MagnoliawoodError: with ``malformed_request``

    Examples
    ========

    >>> data = encode(Frame(3, True, control.Challenge(b'n', ['key'])))
    >>> decode(data[PREFIX_SIZE_BYTES:])
    Frame(stream=3, opens=True, message=Challenge(nonce=b'n', key_ids=['key']))
    """
    try:
        version, stream, opens, name, fields = msgpack.unpackb(
            body, timestamp=3
        )
        if version != PROTOCOL_VERSION or not isinstance(stream, int):
            raise ValueError(
                f'protocol version {version!r} or stream number not supported'
            )
        message = control.ADAPTERS[name].validate_python(fields)
    except (
        ValueError,
        TypeError,
        KeyError,
        msgpack.UnpackException,
        pydantic.ValidationError,
    ) as error:
        raise errors.MagnoliawoodError(
            errors.ErrorCode.MALFORMED_REQUEST, f'malformed frame: {error}'
        ) from error
    return Frame(stream, bool(opens), message)
