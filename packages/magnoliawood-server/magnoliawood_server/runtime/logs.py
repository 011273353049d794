"""Configuration of structured logging."""

import logging
import sys
import time

from pythonjsonlogger import json as json_logger

from magnoliawood_server.runtime import log_stream

_FORMAT = '%(asctime)s %(levelname)s %(name)s %(message)s'
_RENAMED = {'asctime': 'time', 'levelname': 'level'}


class LineFormatter(json_logger.JsonFormatter):
    """JSON formatter with a short path for records without an exception.

    Explanation
    ===========

    The lines are the same on both paths. The short one formats the seconds of
    the time once, keeps its encoder, and renames no fields but its own.

    :param role: role of the process, a field of each line
    :param name: name of the host, a field of each line
    """

    def __init__(self, role: str, name: str) -> None:
        super().__init__(
            _FORMAT,
            rename_fields=_RENAMED,
            static_fields={'role': role, 'host': name},
        )
        self._encoder = json_logger.JsonEncoder()
        self._second = -1
        self._second_text = ''

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        if (
            record.exc_info
            or record.exc_text
            or record.stack_info
            or not isinstance(record.msg, str)
        ):
            return super().format(record)
        fields = {
            'time': self._time(record),
            'level': record.levelname,
            'name': record.name,
            'message': record.getMessage(),
            **self.static_fields,
        }
        for key, value in record.__dict__.items():
            if key not in self._skip_fields and key[0] != '_':
                fields[self._get_rename(key)] = value
        return self._encoder.encode(fields)

    def _time(self, record: logging.LogRecord) -> str:
        second = int(record.created)
        if second != self._second:
            local = time.localtime(second)
            self._second_text = time.strftime(self.default_time_format, local)
            self._second = second
        return f'{self._second_text},{int(record.msecs):03d}'


def configure(role: str, name: str) -> None:
    """Write every log record as one JSON line on standard error.

    :param role: role of the process, a field of each line
    :param name: name of the host, a field of each line
    """
    _install(logging.StreamHandler(), role, name)


def configure_output(role: str, name: str) -> None:
    """Write every log record as one JSON line on standard output.

    A line is dropped if writing it would block.
    """
    _install(log_stream.NonBlockingHandler(sys.stdout.fileno()), role, name)


def _install(handler: logging.Handler, role: str, name: str) -> None:
    handler.setFormatter(LineFormatter(role, name))
    # No line has these, so they are not looked up for each one.
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    # curio warns of each call that ends at the moment of its timeout.
    logging.getLogger('curio').setLevel(logging.ERROR)
