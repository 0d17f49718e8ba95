"""Logs as JSON lines on the standard error stream."""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

LOGGER: Final = logging.getLogger('masticstage')
#: Loggers of libraries that report faults of request handlers.
_LIBRARIES: Final = ('masticstage.web', 'hypercorn.error', 'asyncio')
_FIELDS: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logs(instance: str) -> None:
    """Sends the log of this process to standard error, one JSON a line."""
    stream = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(_FIELDS, static_fields={'instance': instance})
    stream.setFormatter(formatter)
    for name in (LOGGER.name, *_LIBRARIES):
        logger = logging.getLogger(name)
        logger.addHandler(stream)
        logger.propagate = False
    LOGGER.setLevel(logging.INFO)
