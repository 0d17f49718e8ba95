"""Callers outside the limits, for the soak: bodies without end, slow readers.

What they get does not count; the instances have to bear them.
"""

import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Final

import attrs
import trio

from bench.platform_fleet import HOST, PlatformFleet

#: Limits in the settings of instances, those of the users' smallest machine.
MEMORY_MB: Final = 152
LIMITS: Final = f'[limits]\nmemory_mb = {MEMORY_MB}\ndescriptors = 1535'
_BYTES_PER_KB: Final = 1024
_BYTES_PER_MB: Final = 1_000_000
#: Fewest and most callers that come at once.
_CALLERS: Final = (4, 24)
_STAY_S: Final = 2.0
_PIECES: Final = 63
_PIECE_BYTES: Final = 65536
_SMALL_CHUNK_BYTES: Final = 16
_READ_BYTES: Final = 512
_READ_PAUSE_S: Final = 0.1
_NO_LINGER: Final = struct.pack('ii', 1, 0)
_ROLES: Final = ('callers', 'peers', 'entries', 'metrics')
_TARGETS: Final = ('/stock/1', '/question/1', '/relay')
_ERRORS: Final = (OSError, trio.BrokenResourceError)


@attrs.frozen
class _Behaviour:
    """What a caller sends at first, then repeatedly, before it stays."""

    start: bytes
    piece: bytes = b''


def _head(target: str, *fields: str) -> bytes:
    lines = (
        f'POST {target} HTTP/1.1',
        f'Host: {HOST}',
        'X-Request-Id: outside',
        'X-Deadline-Ms: 3000',
        'X-Token-Counts: 900,40',
        'X-Prompt-Prefix: a1:800,b2:100',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _chunks(size: int) -> bytes:
    chunk = b'%x\r\n%b\r\n' % (size, b'x' * size)
    return chunk * max(1, _PIECE_BYTES // len(chunk))


def _whole_request(target: str) -> bytes:
    return b''.join((_head(target, 'Content-Length: 1'), b'x'))


def _unfinished(size: int) -> Callable[[str], _Behaviour]:
    def build(target: str) -> _Behaviour:
        head = _head(target, 'Transfer-Encoding: chunked')
        return _Behaviour(head, _chunks(size))

    return build


def _too_large(target: str) -> _Behaviour:
    head = _head(target, 'Content-Length: 1000000000')
    return _Behaviour(head, b'x' * _PIECE_BYTES)


def _sent_on(target: str) -> _Behaviour:
    """Sends on behind a request that is handled."""
    return _Behaviour(_whole_request(target), b'y' * _PIECE_BYTES)


def _read_slowly(target: str) -> _Behaviour:
    return _Behaviour(_whole_request(target))


_BEHAVIOURS: Final = (
    _unfinished(_PIECE_BYTES),
    _unfinished(_SMALL_CHUNK_BYTES),
    _unfinished(1),
    _too_large,
    _sent_on,
    _read_slowly,
)


async def misbehave(fleet: PlatformFleet, random: Random) -> None:
    """Lets some callers outside the limits come to one instance."""
    listeners = fleet.listeners[random.choice(sorted(fleet.listeners))]
    address = listeners[random.choice(_ROLES)]
    behaviour = random.choice(_BEHAVIOURS)(random.choice(_TARGETS))
    with trio.move_on_after(_STAY_S):
        async with trio.open_nursery() as nursery:
            for _ in range(random.randint(*_CALLERS)):
                nursery.start_soon(_behave, address, behaviour)


async def _behave(address: str, behaviour: _Behaviour) -> None:
    host, _, port = address.rpartition(':')
    with trio.socket.socket() as sock, suppress(*_ERRORS):
        # The kernel keeps no bytes of callers that have gone.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        await sock.connect((host, int(port)))
        stream = trio.SocketStream(sock)
        await stream.send_all(behaviour.start)
        for _ in range(_PIECES if behaviour.piece else 0):
            await stream.send_all(behaviour.piece)
        while await stream.receive_some(_READ_BYTES):
            await trio.sleep(_READ_PAUSE_S)


def find_strained(fleet: PlatformFleet) -> list[str]:
    """Returns a description of instances that ended or grew too large."""
    strained = []
    for name in fleet.listeners:
        process = fleet.processes[name]
        if process.poll() is not None:
            strained.append(f'{name} ended with {process.returncode}')
            continue
        peak_mb = _peak_bytes(process.pid) / _BYTES_PER_MB
        if peak_mb > MEMORY_MB:
            strained.append(f'{name} had {peak_mb:.0f} MB resident')
    return strained


def _peak_bytes(pid: int) -> int:
    status = Path(f'/proc/{pid}/status').read_text(encoding='ascii')
    _, _, peak = status.partition('VmHWM:')
    return int(peak.split()[0]) * _BYTES_PER_KB
