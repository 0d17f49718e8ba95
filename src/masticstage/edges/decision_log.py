"""Log of decisions: JSON lines on standard output, rate-limited, non-blocking.

Dropped lines are counted by event.  The counts are logged before the next line
of a later second, so that a reader knows what is missing.
"""

import json
import os
import sys
import traceback
from collections import Counter
from typing import Any, Final, final

import attrs

from masticstage.clock import Clock

#: Rate limit: 60 requests a second with about four lines each stay below it.
_LINES_PER_S: Final = 400
_STDOUT: Final = 1
_ENCODER: Final = json.JSONEncoder(separators=(',', ':'), default=str)
#: Parts of a formatted traceback that are logged, from its end.
_LOGGED_TRACEBACK_PARTS: Final = 8


def format_failure(error: Exception) -> str:
    """Returns the end of an error's traceback."""
    parts = traceback.format_exception(error)
    return ''.join(parts[-_LOGGED_TRACEBACK_PARTS:])


def write_line(line: bytes) -> bool:
    """Writes a line to standard output; False if the pipe is full."""
    try:
        return os.write(_STDOUT, line) == len(line)
    except BlockingIOError:
        return False


def unblock_output() -> None:
    """Makes standard output non-blocking, so that a full pipe drops lines."""
    sys.stdout.flush()
    os.set_blocking(_STDOUT, False)


@final
@attrs.define
class DecisionLog:
    """Log of what one instance decided, and from which inputs."""

    _clock: Clock
    _instance: str
    _lines_per_s: int = _LINES_PER_S
    _second: int = 0
    _lines: int = 0
    _dropped: Counter[str] = attrs.field(factory=Counter)

    def record(self, event: str, request_id: str = '', **inputs: Any) -> None:
        """Logs a decision; the names of inputs end in their units."""
        second = int(self._clock.elapsed().total_seconds())
        if second != self._second:
            self._start_second(second)
        if self._lines >= self._lines_per_s:
            self._dropped[event] += 1
            return
        self._lines += 1
        self._write_event(event, request_id, inputs)

    def _start_second(self, second: int) -> None:
        self._second = second
        self._lines = 0
        if self._dropped:
            dropped = dict(self._dropped)
            self._dropped.clear()
            self._write_event('log_lines_dropped', '', {'by_event': dropped})

    def _write_event(
        self,
        event: str,
        request_id: str,
        inputs: dict[str, Any],
    ) -> None:
        timestamp = self._clock.now().isoformat(timespec='milliseconds')
        fields = {'time': timestamp, 'instance': self._instance, 'event': event}
        if request_id:
            fields['request'] = request_id
        fields.update(inputs)
        line = _ENCODER.encode(fields)
        if not write_line(f'{line}\n'.encode()):
            self._dropped[event] += 1
