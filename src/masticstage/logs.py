"""Logging to standard error, as JSON lines."""

import logging
import sys
from typing import Final

from pythonjsonlogger.json import JsonFormatter

LOGGER: Final = logging.getLogger('masticstage')
#: Library loggers that report exceptions of request handlers.
_LIBRARY_LOGGERS: Final = ('masticstage.web', 'hypercorn.error', 'asyncio')
_FORMAT: Final = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logs(instance: str) -> None:
    """Sends the log of this process to standard error, one object per line."""
    stderr_handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(_FORMAT, static_fields={'instance': instance})
    stderr_handler.setFormatter(formatter)
    for name in (LOGGER.name, *_LIBRARY_LOGGERS):
        logger = logging.getLogger(name)
        logger.addHandler(stderr_handler)
        logger.propagate = False
    LOGGER.setLevel(logging.INFO)
