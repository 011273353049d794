"""Watches what a process holds: memory, unread bytes and descriptors."""

import pathlib
import threading

from magnoliawood_testing.cluster import process as processes

_INTERVAL_SECONDS = 0.02
_BYTES_PER_KILOBYTE = 1024
_TCP_TABLE = pathlib.Path('/proc/net/tcp')
# Columns of the table of connections.
_LOCAL_ADDRESS = 1
_QUEUES = 4


class ProcessWatch:
    """Samples a process in a thread until the end of the block.

    Bytes that have arrived at its port and were not read yet count towards
    its memory.

    :param address: address at which the process listens
    """

    def __init__(self, process: processes.Process, address: str) -> None:
        self._folder = pathlib.Path('/proc') / str(process.pid)
        self._port = f':{int(address.rpartition(":")[2]):04X}'
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._sample_until_done)
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0

    def __enter__(self) -> 'ProcessWatch':
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._done.set()
        self._thread.join()
        try:
            self._sample()
        except OSError:
            return

    def _sample_until_done(self) -> None:
        while not self._done.wait(_INTERVAL_SECONDS):
            try:
                self._sample()
            except OSError:
                # The process has ended, which the test checks by itself.
                return

    def _sample(self) -> None:
        unread = self._unread_bytes()
        resident = self._status('VmRSS:') + unread
        self.peak_bytes = max(
            self.peak_bytes, resident, self._status('VmHWM:')
        )
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread)
        self.peak_descriptors = max(
            self.peak_descriptors, len(list((self._folder / 'fd').iterdir()))
        )

    def _status(self, field: str) -> int:
        text = (self._folder / 'status').read_text(encoding='ascii')
        line = next(
            (line for line in text.splitlines() if line.startswith(field)),
            f'{field} 0 kB',
        )
        return int(line.split()[1]) * _BYTES_PER_KILOBYTE

    def _unread_bytes(self) -> int:
        rows = _TCP_TABLE.read_text(encoding='ascii').splitlines()[1:]
        fields = map(str.split, rows)
        return sum(
            int(row[_QUEUES].partition(':')[2], 16)
            for row in fields
            if row[_LOCAL_ADDRESS].endswith(self._port)
        )
