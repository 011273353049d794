"""Log handler that never blocks on a slow reader of its output."""

import logging
import os

_DROPPED_FIELD = 'dropped_before'


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a non-blocking descriptor, or drops them.

    Explanation
    ===========

    A pipe that is not read fills up. A line is dropped and counted if
    nothing of it can be written; the next line that is written states the
    number of dropped lines. A line that is written in part is completed
    before the next one.

    :param descriptor: file descriptor; set to non-blocking mode
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._remainder = b''
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last written line."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop it if the descriptor would block."""
        if self._dropped:
            setattr(record, _DROPPED_FIELD, self._dropped)
        line = self.format(record).encode() + b'\n'
        if not self._flush_remainder():
            self._dropped += 1
            return
        written = self._write(line)
        if not written:
            self._dropped += 1
            return
        self._remainder = line[written:]
        self._dropped = 0

    def _flush_remainder(self) -> bool:
        if self._remainder:
            self._remainder = self._remainder[self._write(self._remainder) :]
        return not self._remainder

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except OSError:
            # The pipe is full or has no reader, so nothing is written.
            return 0
