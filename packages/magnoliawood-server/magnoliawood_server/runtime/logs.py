"""Configuration of structured logging."""

import logging
import sys

from pythonjsonlogger import json as json_logger

from magnoliawood_server.runtime import log_stream


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
    handler.setFormatter(
        json_logger.JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={'asctime': 'time', 'levelname': 'level'},
            static_fields={'role': role, 'host': name},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    # curio warns of each call that ends at the moment of its timeout.
    logging.getLogger('curio').setLevel(logging.ERROR)
