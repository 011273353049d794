"""Splits a stream of server-sent events and keeps their exact bytes."""

import dataclasses

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """Server-sent event.

    :param raw: bytes of the event, including the separator
    :param id: value of the ``id`` field, if it is a number
    :param data: values of the ``data`` fields, joined by line feeds
    """

    raw: bytes
    id: int | None
    data: bytes

    @classmethod
    def parse(cls, raw: bytes) -> 'StreamEvent':
        """Parse the bytes of one event.

        Examples
        ========

        >>> event = StreamEvent.parse(b'id: 3\\ndata: yes\\n\\n')
        >>> event.id, event.data
        (3, b'yes')
        """
        number = None
        data = []
        for line in raw.splitlines():
            if line.startswith(_DATA_FIELD):
                data.append(_value(line, _DATA_FIELD))
            elif line.startswith(_ID_FIELD):
                text = _value(line, _ID_FIELD)
                number = int(text) if text.isdigit() else None
        return cls(raw, number, b'\n'.join(data))


def _value(line: bytes, field: bytes) -> bytes:
    return line[len(field) :].removeprefix(b' ')


class EventSplitter:
    """Buffers bytes until events are complete.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\\ndata: a')
    []
    >>> [event.id for event in splitter.feed(b'\\n\\nid: 2')]
    [1]
    >>> splitter.remainder
    b'id: 2'
    """

    def __init__(self) -> None:
        self._buffer = b''

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete."""
        *complete_events, self._buffer = (self._buffer + data).split(
            _SEPARATOR
        )
        return [StreamEvent.parse(raw + _SEPARATOR) for raw in complete_events]
