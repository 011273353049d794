"""Splits a stream of server-sent events and keeps their exact bytes."""

import collections.abc
import dataclasses

_SEPARATOR = b'\n\n'
_ID_FIELD = b'id:'
_DATA_FIELD = b'data:'
# Bytes that make the end of an event, or of a line, depend on what is before.
_AMBIGUOUS = (b'\n\n\n', b'\r')


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


@dataclasses.dataclass(frozen=True, slots=True)
class EventBatch:
    """Complete events that arrived together.

    :param raw: bytes of the events, including their separators
    :param count: number of events
    :param last_id: id of the last event that has one
    """

    raw: bytes
    count: int
    last_id: int | None

    def data(self) -> bytes:
        """Return the data of the events, each followed by a line feed."""
        return b''.join(event.data + b'\n' for event in _split(self.raw))

    def first_event(self) -> StreamEvent | None:
        """Return the first event that has an id or data; not a comment."""
        events = _split(self.raw)
        return next(
            (each for each in events if each.id is not None or each.data),
            None,
        )


class EventSplitter:
    """Buffers bytes until events are complete.

    Examples
    ========

    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\\ndata: a') is None
    True
    >>> splitter.feed(b'\\n\\nid: 2')
    EventBatch(raw=b'id: 1\\ndata: a\\n\\n', count=1, last_id=1)
    >>> splitter.remainder
    b'id: 2'
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that they complete, if any."""
        # What was there has no separator, but may have the start of one.
        start = max(0, len(self._buffer) - len(_SEPARATOR) + 1)
        self._buffer += data
        end = self._buffer.rfind(_SEPARATOR, start) + len(_SEPARATOR)
        if end < len(_SEPARATOR):
            return None
        received = bytes(self._buffer)
        if any(text in received for text in _AMBIGUOUS):
            end = len(received) - len(received.split(_SEPARATOR)[-1])
        complete = received[:end]
        self._buffer = bytearray(received[end:])
        return EventBatch(
            complete, complete.count(_SEPARATOR), _last_id(complete)
        )


def _split(complete: bytes) -> collections.abc.Iterator[StreamEvent]:
    *events, _ = complete.split(_SEPARATOR)
    return (StreamEvent.parse(raw + _SEPARATOR) for raw in events)


def _last_id(complete: bytes) -> int | None:
    """Return the id of the last event that has one."""
    start = complete.rfind(_ID_FIELD)
    if start < 0:
        return None
    text = _value(complete[start : complete.index(b'\n', start)], _ID_FIELD)
    is_field = start == 0 or complete[start - 1 : start] == b'\n'
    if is_field and text.isdigit() and b'\r' not in complete:
        return int(text)
    ids = (event.id for event in _split(complete))
    return next(
        (number for number in reversed([*ids]) if number is not None), None
    )
