"""Structured logs on standard error."""

import logging

from pythonjsonlogger import json as json_logger


def configure(role: str, name: str) -> None:
    """Write every log record as one JSON line."""
    handler = logging.StreamHandler()
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
