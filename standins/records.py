"""Records of what a stand-in did, one JSON object a line of a file.

The file outlives a killed stand-in; proofs compare it with the callers'
records.
"""

import json
import os
from pathlib import Path
from time import time
from typing import Any, final


@final
class RecordFile:
    """Appends events to a file; each line is written at once."""

    def __init__(self, path: str) -> None:
        """Opens the file for appending, without a buffer."""
        flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
        self._descriptor = os.open(path, flags)

    def write(self, event: str, **fields: object) -> None:
        """Appends one event with the time of day in seconds."""
        line = json.dumps({'event': event, 'at_s': time(), **fields})
        os.write(self._descriptor, f'{line}\n'.encode())


def read_records(folder: Path, pattern: str) -> list[dict[str, Any]]:
    """Returns the events of all record files that match a pattern."""
    return [
        {**json.loads(line), 'upstream': path.name.partition('.')[0]}
        for path in sorted(folder.glob(pattern))
        for line in path.read_text().splitlines()
    ]
