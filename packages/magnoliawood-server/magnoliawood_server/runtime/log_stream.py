"""A log handler that never waits for whoever reads the output."""

import logging
import os

_DROPPED_FIELD = 'dropped_before'


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor and drops those that it won't take.

    Explanation
    ===========

    A pipe that nobody reads fills up. A line that does not fit is dropped
    and counted, and the next line that fits says how many were. A line that
    fits in part is completed before the next one.

    :param descriptor: set to non-blocking
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rest = b''
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the last one that was written."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or drop it."""
        if self._dropped:
            setattr(record, _DROPPED_FIELD, self._dropped)
        line = self.format(record).encode() + b'\n'
        if not self._flush_rest():
            self._dropped += 1
            return
        written = self._write(line)
        if not written:
            self._dropped += 1
            return
        self._rest = line[written:]
        self._dropped = 0

    def _flush_rest(self) -> bool:
        if self._rest:
            self._rest = self._rest[self._write(self._rest) :]
        return not self._rest

    def _write(self, data: bytes) -> int:
        try:
            return os.write(self._descriptor, data)
        except OSError:
            # Nobody reads; the line is counted as dropped.
            return 0
