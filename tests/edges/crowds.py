"""Callers outside the limits, and what they cost the process of an instance."""

import os
import struct
from contextlib import asynccontextmanager, suppress
from functools import wraps
from pathlib import Path
from socket import SO_LINGER, SOL_SOCKET

import attrs
import httpx
import trio

from bench.platform_fleet import HOST, PlatformFleet, running_platform
from tests.edges.process_memory import Peak, watch_process

#: Limits in the settings of the instances, and the bounds that are checked.
MEMORY_MB = 112
DESCRIPTORS = 256
_LIMITS = f'[limits]\nmemory_mb = {MEMORY_MB}\ndescriptors = {DESCRIPTORS}'
#: Longest time for which a crowd sends and then stays open.
_SENDING_S = 8
_STAYING_S = 1
_ANSWER_TIMEOUT_S = 30
_TEST_TIMEOUT_S = 90
_ERRORS = (OSError, trio.BrokenResourceError)
NO_LINGER = struct.pack('ii', 1, 0)
#: Limits of the smallest machine on the users' sheets.
SMALLEST_MEMORY_MB = 152
SMALLEST_DESCRIPTORS = 1535
#: Connections that an instance with these limits admits.
CALLERS = 384
PEERS = 230
OTHERS = 192


@attrs.frozen
class Crowd:
    """Callers that each send a start, then a piece repeatedly, and stay."""

    callers: int
    start: bytes
    piece: bytes = b''
    pieces: int = 0
    pause_s: float = 0


def run_alone(function):
    """Runs an async test of processes with a timeout."""

    @wraps(function)
    def run(*args, **keywords):
        async def bounded():
            with trio.fail_after(_TEST_TIMEOUT_S):
                await function(*args, **keywords)

        trio.run(bounded)

    return run


@asynccontextmanager
async def fleet_with_limits(folder: Path, instances: int = 1):
    """Runs instances with small limits; checks them at the end."""
    async with running_platform(
        folder, instances=instances, limits=_LIMITS
    ) as fleet:
        yield fleet
        for name in fleet.listeners:
            await _check_process(fleet, name)


@asynccontextmanager
async def watched_fleet(folder: Path, instances: int = 1):
    """Runs instances with the limits of the smallest machine, and watches them.

    At the end each lives, answers an ordinary request, and has not exceeded
    its memory, unread bytes included, or its descriptors.
    """
    limits = (
        f'[limits]\nmemory_mb = {SMALLEST_MEMORY_MB}\n'
        f'descriptors = {SMALLEST_DESCRIPTORS}'
    )
    peaks: dict[str, Peak] = {}
    async with running_platform(
        folder, instances=instances, limits=limits
    ) as fleet:
        async with trio.open_nursery() as nursery:
            for name, addresses in fleet.listeners.items():
                peaks[name] = Peak()
                nursery.start_soon(
                    watch_process,
                    fleet.processes[name],
                    frozenset(addresses.values()),
                    peaks[name],
                )
            yield fleet
            nursery.cancel_scope.cancel()
        for name, peak in peaks.items():
            highest_kb = await check_answers(fleet, name)
            memory_bytes = max(peak.memory_bytes, highest_kb * 1024)
            assert memory_bytes < SMALLEST_MEMORY_MB * 1_000_000, peak
            assert peak.descriptors < SMALLEST_DESCRIPTORS, peak


async def send_crowd(address: str, crowd: Crowd) -> None:
    """Lets a crowd send to an address, then stay open."""
    sent: list[int] = []
    async with trio.open_nursery() as nursery:
        for _ in range(crowd.callers):
            nursery.start_soon(_send, address, crowd, sent)
        while len(sent) < crowd.callers:
            await trio.sleep(0.05)
        await trio.sleep(_STAYING_S)
        nursery.cancel_scope.cancel()


async def _send(address: str, crowd: Crowd, sent: list[int]) -> None:
    """Sends what a caller of a crowd sends, as far as it is taken."""
    host, _, port = address.rpartition(':')
    with trio.socket.socket() as sock:
        # The kernel of the test holds no bytes of callers that have gone.
        sock.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
        with suppress(*_ERRORS), trio.move_on_after(_SENDING_S):
            await sock.connect((host, int(port)))
            stream = trio.SocketStream(sock)
            await stream.send_all(crowd.start)
            for _ in range(crowd.pieces):
                await stream.send_all(crowd.piece)
                await trio.sleep(crowd.pause_s)
        sent.append(1)
        await trio.sleep_forever()


async def watch_descriptors(fleet: PlatformFleet, peak: dict[str, int]):
    """Records the most descriptors that each instance has open."""
    while True:
        for name in fleet.listeners:
            folder = f'/proc/{fleet.processes[name].pid}/fd'
            with suppress(FileNotFoundError):
                peak[name] = max(peak.get(name, 0), len(os.listdir(folder)))
        await trio.sleep(0.05)


async def attack(fleet: PlatformFleet, name: str, role: str, crowd: Crowd):
    """Sends a crowd to an address of an instance; checks descriptors."""
    peak: dict[str, int] = {}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch_descriptors, fleet, peak)
        await send_crowd(fleet.listeners[name][role], crowd)
        nursery.cancel_scope.cancel()
    assert max(peak.values()) < DESCRIPTORS, peak


async def _check_process(fleet: PlatformFleet, name: str) -> None:
    """Checks that an instance lives, answers, and stayed within its memory."""
    peak_kb = await check_answers(fleet, name)
    assert peak_kb < MEMORY_MB * 1000, peak_kb


async def check_answers(fleet: PlatformFleet, name: str) -> int:
    """Checks that an instance lives and answers an ordinary request.

    Returns the most memory that it has had resident, in KB.
    """
    process = fleet.processes[name]
    assert process.poll() is None
    with trio.fail_after(_ANSWER_TIMEOUT_S):
        while not await _is_answered(fleet.listeners[name]['callers']):
            await trio.sleep(0.2)
    status = Path(f'/proc/{process.pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0])


async def _is_answered(address: str) -> bool:
    answer = await ask(address)
    return answer is not None and answer.is_success


async def ask(address: str) -> httpx.Response | None:
    """Returns the answer to an ordinary request, None without one."""
    async with httpx.AsyncClient(trust_env=False) as client:
        with suppress(httpx.HTTPError):
            return await client.post(
                f'http://{address}/stock/1',
                headers={
                    'Host': HOST,
                    'X-Request-Id': 'ordinary',
                    'X-Deadline-Ms': '3000',
                },
                content=b'order',
            )
    return None
