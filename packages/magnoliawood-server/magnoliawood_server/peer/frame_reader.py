"""Incremental decoder that splits a byte stream into frames."""

from magnoliawood_server.peer import frame as frames

# A longer frame is decoded without a copy of it.
_MAX_COPIED_BYTES = 512 * 1024


class FrameReader:
    """Buffers received bytes and decodes the complete frames.

    Explanation
    ===========

    One read from the socket may return many small frames. Decoding them
    from a shared buffer saves two system calls per frame compared with
    reading prefix and body separately.

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
        """Append bytes and return the frames that are now complete.

        :raises MagnoliawoodError: if a frame is malformed or too large
        """
        self._buffer += data
        complete_frames = []
        start = 0
        while (end := self._frame_end(start)) <= len(self._buffer):
            complete_frames.append(
                self._decode(start + frames.PREFIX_SIZE_BYTES, end)
            )
            start = end
        del self._buffer[:start]
        return complete_frames

    def _decode(self, start: int, end: int) -> frames.Frame:
        if end - start <= _MAX_COPIED_BYTES:
            return frames.decode(bytes(self._buffer[start:end]))
        with memoryview(self._buffer) as view, view[start:end] as body:
            return frames.decode(body)

    def _frame_end(self, start: int) -> int:
        body_start = start + frames.PREFIX_SIZE_BYTES
        if body_start > len(self._buffer):
            return body_start
        return body_start + frames.body_length(
            bytes(self._buffer[start:body_start])
        )
