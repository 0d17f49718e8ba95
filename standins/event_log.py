"""Event logs of stand-ins, one JSON object a line.

A log remains when its stand-in is killed. The checks of `bench` compare it with
the results that callers got.
"""

import json
import os
from collections.abc import Iterator
from pathlib import Path
from time import time
from typing import Any, final


@final
class EventLog:
    """Appends events to a file, each with one system call."""

    def __init__(self, path: str) -> None:
        """Opens the file for appending, without a buffer."""
        flags = os.O_APPEND | os.O_CREAT | os.O_WRONLY
        self._descriptor = os.open(path, flags)

    def write(self, event: str, **fields: object) -> None:
        """Appends one event with the time in seconds since 1970."""
        line = json.dumps({'event': event, 'at_s': time(), **fields})
        os.write(self._descriptor, f'{line}\n'.encode())


@final
class EventLogReader:
    """Reads the lines that were added to the files of a folder."""

    def __init__(self, folder: Path) -> None:
        """Starts at the beginning of all files."""
        self._folder = folder
        self._offsets: dict[Path, int] = {}

    def read_new(self, pattern: str) -> Iterator[dict[str, Any]]:
        """Yields the JSON objects that were added since the last call.

        Each has the stem of its file's name as `upstream`.
        """
        for path in sorted(self._folder.glob(pattern)):
            for line in self._new_lines(path):
                if line.startswith('{'):
                    yield {**json.loads(line), 'upstream': path.stem}

    def _new_lines(self, path: Path) -> list[str]:
        with path.open() as log_file:
            log_file.seek(self._offsets.get(path, 0))
            text = log_file.read()
            # The last line may still be incomplete.
            complete, _, rest = text.rpartition('\n')
            self._offsets[path] = log_file.tell() - len(rest.encode())
        return complete.splitlines()
