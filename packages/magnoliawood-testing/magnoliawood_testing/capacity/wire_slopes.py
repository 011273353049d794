"""Cost of messages between entries and sidecars."""

import typing

from magnoliawood_server.peer import control
from magnoliawood_server.peer import frame as frames
from magnoliawood_server.peer import messages
from magnoliawood_testing.capacity import slope as slopes

_DELTA = messages.Delta('a1b2c3 ', 17)


def measure() -> list[slopes.Slope]:
    """Return the sizes of frames and the time to encode and decode them."""
    probe = messages.ProbeReply('entry-123', '0123456789ab', False, 99, 99)
    hello = messages.HelloReply(
        'engine-1234-sidecar',
        '0123456789ab',
        'dc-12',
        'engine',
        ['model-a'],
        12,
        False,
    )
    data = frames.encode(frames.Frame(3, False, _DELTA))
    body = data[frames.PREFIX_SIZE_BYTES :]
    encode = slopes.seconds_for_each(
        lambda: frames.encode(frames.Frame(3, False, _DELTA)), repeats=2000
    )
    decode = slopes.seconds_for_each(lambda: frames.decode(body), repeats=2000)
    return [
        slopes.Slope('heartbeat', _size(control.Ping()), 'B/heartbeat'),
        slopes.Slope(
            'probe',
            _size(messages.Probe('entry-123')) + _size(probe),
            'B/probe with its reply',
        ),
        slopes.Slope(
            'hello',
            _size(messages.Hello('entry-123')) + _size(hello),
            'B/hello with its reply',
        ),
        slopes.Slope('delta', len(data), 'B/delta'),
        slopes.Slope('delta encode', encode * 1e6, 'us/delta'),
        slopes.Slope('delta decode', decode * 1e6, 'us/delta'),
    ]


def _size(message: typing.Any) -> int:
    return len(frames.encode(frames.Frame(12345, True, message)))
