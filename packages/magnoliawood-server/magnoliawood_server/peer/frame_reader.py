"""Splits a stream of bytes into frames."""

from magnoliawood_server.peer import frame as frames


class FrameReader:
    """Collects bytes until frames are whole.

    Explanation
    ===========

    One read from the socket may bring many small frames; taking them all
    from one buffer saves two system calls for each frame.

    Examples
    ========

    >>> from magnoliawood_server.peer import control
    >>> data = frames.encode(frames.Frame(1, True, control.Ping()))
    >>> reader = FrameReader()
    >>> reader.feed(data + data[:3])
    [Frame(stream=1, opens=True, message=Ping())]
    >>> reader.feed(data[3:])
    [Frame(stream=1, opens=True, message=Ping())]
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[frames.Frame]:
        """Add bytes and return the frames that are whole now.

        :raises MagnoliawoodError: if a frame is malformed or too large
        """
        self._buffer += data
        found = []
        start = 0
        while (end := self._frame_end(start)) <= len(self._buffer):
            body = bytes(self._buffer[start + frames.PREFIX_SIZE_BYTES : end])
            found.append(frames.decode(body))
            start = end
        del self._buffer[:start]
        return found

    def _frame_end(self, start: int) -> int:
        body = start + frames.PREFIX_SIZE_BYTES
        if body > len(self._buffer):
            return body
        return body + frames.body_length(bytes(self._buffer[start:body]))
