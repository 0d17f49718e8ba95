"""Decisions as JSON lines on standard output, bounded and never blocking.

Lines beyond the bound are counted by kind; the counts are written once a
second, so that a reader knows what is missing.
"""

import json
import os
import sys
from collections import Counter
from typing import Any, Final, final

import attrs

from masticstage.clock import Clock

#: Lines a second at most: about four a request at 60 requests a second.
_LINES_PER_S: Final = 400
_STDOUT: Final = 1


def write_line(line: bytes) -> bool:
    """Writes a line to standard output; False when nobody reads it."""
    try:
        return os.write(_STDOUT, line) == len(line)
    except BlockingIOError:
        return False


def unblock_output() -> None:
    """Makes writes to standard output fail rather than wait."""
    sys.stdout.flush()
    os.set_blocking(_STDOUT, False)


@final
@attrs.define
class DecisionLog:
    """Writes what one instance decided, and from which inputs."""

    _clock: Clock
    _instance: str
    _lines_per_s: int = _LINES_PER_S
    _second: int = 0
    _lines: int = 0
    _dropped: Counter[str] = attrs.field(factory=Counter)

    def record(self, event: str, request_id: str = '', **inputs: Any) -> None:
        """Writes one decision with its inputs, in units of their names."""
        second = int(self._clock.elapsed().total_seconds())
        if second != self._second:
            self._begin(second)
        if self._lines >= self._lines_per_s:
            self._dropped[event] += 1
            return
        self._lines += 1
        self._write(event, request_id, inputs)

    def _begin(self, second: int) -> None:
        self._second = second
        self._lines = 0
        if self._dropped:
            dropped = dict(self._dropped)
            self._dropped.clear()
            self._write('log_lines_dropped', '', {'by_event': dropped})

    def _write(
        self,
        event: str,
        request_id: str,
        inputs: dict[str, Any],
    ) -> None:
        moment = self._clock.now().isoformat(timespec='milliseconds')
        fields = {'time': moment, 'instance': self._instance, 'event': event}
        if request_id:
            fields['request'] = request_id
        fields.update(inputs)
        line = json.dumps(fields, separators=(',', ':'), default=str)
        if not write_line(f'{line}\n'.encode()):
            self._dropped[event] += 1
