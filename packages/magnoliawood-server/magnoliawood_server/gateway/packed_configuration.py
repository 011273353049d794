"""Compressed form in which gateways send each other a configuration."""

import json
import typing
import zlib

# Routes differ in few bytes; the fastest level makes them a tenth as long.
_LEVEL = 1
# An object of the store is far smaller; more is no configuration.
MAX_TEXT_BYTES = 16 * 1024 * 1024


def pack(spec: object) -> bytes:
    """Return a configuration as JSON that is compressed.

    Examples
    ========

    >>> unpack(pack({'version': 7}))
    {'version': 7}
    """
    return zlib.compress(json.dumps(spec).encode(), _LEVEL)


def unpack(packed: bytes) -> typing.Any:
    """Return the configuration that was packed.

    :raises ValueError: if it is malformed or too long
    """
    return parse(unpack_text(packed))


def unpack_text(packed: bytes) -> bytes:
    """Return the JSON of a configuration; it is empty if nothing was packed.

    :raises ValueError: if it is malformed or too long
    """
    if not packed:
        return b''
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(packed, MAX_TEXT_BYTES)
    except zlib.error as error:
        raise ValueError(f'malformed packed configuration: {error}') from error
    if not decompressor.eof:
        raise ValueError('packed configuration is too long or incomplete')
    return text


def parse(text: bytes) -> typing.Any:
    """Return the configuration in JSON.

    :raises ValueError: if it is malformed
    """
    try:
        return json.loads(text)
    except RecursionError as error:
        raise ValueError('configuration is nested too deeply') from error
