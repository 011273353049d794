"""Tests that a full output pipe drops and counts lines without blocking."""

import logging
import os

from magnoliawood_server.runtime import log_stream


def _record(text):
    return logging.LogRecord('n', logging.INFO, 'p', 1, text, (), None)


def test_full_pipe_neither_blocks_nor_splits_lines():
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
    lines_read = read.decode().splitlines()
    assert lines_read[-1] == 'last'
    assert len(lines_read) == lines - dropped + 1
    assert all(len(line.split(' ')[1]) == 100 for line in lines_read[:-1])
