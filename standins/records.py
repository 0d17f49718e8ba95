"""Records of what a stand-in did, one JSON object a line of a file.

The file outlives a killed stand-in; proofs compare it with the callers'
records.
"""

import json
import os
from collections.abc import Iterator
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


@final
class RecordReader:
    """Reads the lines that were added to the files of a folder."""

    def __init__(self, folder: Path) -> None:
        """Starts at the beginning of all files."""
        self._folder = folder
        self._offsets: dict[Path, int] = {}

    def read_new(self, pattern: str) -> Iterator[dict[str, Any]]:
        """Yields new JSON objects, each with the name of its file."""
        for path in sorted(self._folder.glob(pattern)):
            for line in self._new_lines(path):
                if line.startswith('{'):
                    yield {**json.loads(line), 'upstream': path.stem}

    def _new_lines(self, path: Path) -> list[str]:
        with path.open() as opened:
            opened.seek(self._offsets.get(path, 0))
            text = opened.read()
            # The last line may still be incomplete.
            whole, _, rest = text.rpartition('\n')
            self._offsets[path] = opened.tell() - len(rest.encode())
        return whole.splitlines()
