"""Finds free local ports and waits until servers listen."""

import socket
from collections.abc import Iterator
from random import Random
from typing import Final

import httpx
import trio

_LISTEN_TIMEOUT_S: Final = 30.0
_POLL_INTERVAL_S: Final = 0.05
_LOWEST_PORT: Final = 10000
_HIGHEST_PORT: Final = 32000
#: Not seeded: concurrent runs must not choose the same ports.
_RANDOM: Final = Random()
_YIELDED_PORTS: Final[set[int]] = set()


def free_ports(count: int) -> Iterator[int]:
    """Yields ports that are free now and were not yielded before.

    They lie below the ephemeral range, which outgoing connections use.
    """
    for _ in range(count):
        yield _find_free_port()


def _find_free_port() -> int:
    while True:
        port = _RANDOM.randrange(_LOWEST_PORT, _HIGHEST_PORT)
        if port not in _YIELDED_PORTS and _can_bind(port):
            _YIELDED_PORTS.add(port)
            return port


def _can_bind(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True


async def is_success(url: str) -> bool:
    """Returns whether a GET request to a URL succeeds."""
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            response = await client.get(url)
        except httpx.HTTPError:
            return False
    return response.is_success


async def wait_for_port(address: str) -> None:
    """Waits until something listens on an address."""
    host, _, port = address.partition(':')
    with trio.fail_after(_LISTEN_TIMEOUT_S):
        while True:
            try:
                stream = await trio.open_tcp_stream(host, int(port))
            except OSError:
                await trio.sleep(_POLL_INTERVAL_S)
            else:
                await stream.aclose()
                return
