"""Reads what the processes of a test occupy: memory, unread bytes, files."""

import os
from contextlib import suppress
from pathlib import Path

import attrs
import trio

_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_INTERVAL_S = 0.05
#: State of a listening socket, whose queue holds connections, not bytes.
_LISTENING = '0A'


@attrs.define
class Peak:
    """The most that a process occupied at once.

    Unread bytes were received by the kernel, also on connections that the
    process has not accepted yet. Both kinds count towards the memory of the
    process's machine.
    """

    resident_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0

    @property
    def memory_bytes(self) -> int:
        """Resident and unread bytes together."""
        return self.resident_bytes + self.unread_bytes

    def record(self, resident_bytes: int, unread_bytes: int, files: int):
        """Records what the process occupies now."""
        if resident_bytes + unread_bytes > self.memory_bytes:
            self.resident_bytes = resident_bytes
            self.unread_bytes = unread_bytes
        self.descriptors = max(self.descriptors, files)


async def watch_process(
    process: trio.Process, addresses: frozenset[str], peak: Peak
) -> None:
    """Records what a process that listens on some addresses occupies."""
    ports = {int(address.rpartition(':')[2]) for address in addresses}
    while process.poll() is None:
        # Files are closed while they are listed.
        with suppress(FileNotFoundError, ProcessLookupError):
            files = _open_files(process.pid)
            unread = _unread_bytes(ports, files)
            peak.record(_resident_bytes(process.pid), unread, len(files))
        await trio.sleep(_INTERVAL_S)


def _resident_bytes(pid: int) -> int:
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * _PAGE_BYTES


def _open_files(pid: int) -> list[str]:
    folder = f'/proc/{pid}/fd'
    return [os.readlink(f'{folder}/{name}') for name in os.listdir(folder)]


def _unread_bytes(ports: set[int], files: list[str]) -> int:
    """Returns the bytes in the queues of a process's TCP sockets."""
    inodes = {name.removeprefix('socket:[').removesuffix(']') for name in files}
    unread = 0
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        _, _, port = fields[1].partition(':')
        is_own = int(port, 16) in ports or fields[9] in inodes
        if is_own and fields[3] != _LISTENING:
            unread += int(fields[4].partition(':')[2], 16)
    return unread
