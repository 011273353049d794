"""Lines that nobody reads are dropped and counted, never waited for."""

import logging
import os

from magnoliawood_server.runtime import log_stream


def _record(text):
    return logging.LogRecord('n', logging.INFO, 'p', 1, text, (), None)


def test_blocked_pipe_neither_blocks_nor_tears_lines():
    reader, writer = os.pipe()
    handler = log_stream.NonBlockingHandler(writer)
    handler.setFormatter(logging.Formatter('%(message)s'))
    lines = 5000
    for number in range(lines):
        handler.emit(_record(f'{number} ' + 'x' * 100))
    assert 0 < handler.dropped < lines
    read = os.read(reader, 1 << 20)
    dropped = handler.dropped
    handler.emit(_record('last'))
    assert handler.dropped == 0
    os.close(writer)
    while part := os.read(reader, 1 << 20):
        read += part
    os.close(reader)
    whole = read.decode().splitlines()
    assert whole[-1] == 'last'
    assert len(whole) == lines - dropped + 1
    assert all(len(line.split(' ')[1]) == 100 for line in whole[:-1])
