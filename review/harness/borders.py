"""Links between regions on loopback, which can be cut.

Each machine has an address of its own, 127.0.M.10.  Machines of another region
reach it at an alias, 127.0.M.(11 + number of their region), where a relay of
this module listens for TCP and UDP.  What the machines tell each other of their
addresses is translated on the way, as by a router that translates addresses;
all of them have the same length.  A cut is silent: bytes stay where they are,
datagrams are lost.
"""

import asyncio
import contextlib
import socket
from collections.abc import Coroutine
from itertools import combinations
from typing import Any

_BYTES = 65536


class Borders:
    """All links between regions, and which are cut.

    A link is the set of the numbers of its two regions.
    """

    def __init__(self, machines: dict[int, int]) -> None:
        """Takes the region of each machine, both by number."""
        self._machines = machines
        self._regions = sorted(set(machines.values()))
        self._open = {
            frozenset(pair): asyncio.Event()
            for pair in combinations(self._regions, 2)
        }
        self._tasks: set[asyncio.Task[None]] = set()
        self.heal()

    def cut(self, *regions: int) -> None:
        """Cuts the links between these regions, of all regions without any."""
        for link, is_open in self._open.items():
            if not regions or link <= set(regions):
                is_open.clear()

    def heal(self) -> None:
        """Ends all cuts."""
        for is_open in self._open.values():
            is_open.set()

    async def serve_tcp(
        self, target: str, viewer: int, region: int, *, may_cut: bool = True
    ) -> None:
        """Relays connections of a region's machines to an address."""
        host, _, port = target.rpartition(':')
        is_open = self._open[frozenset((viewer, region))]
        if not may_cut:
            is_open = asyncio.Event()
            is_open.set()

        async def relay(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await is_open.wait()
            try:
                far = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.transport.abort()
                return
            await asyncio.gather(
                self._pump(reader, far[1], is_open, region),
                self._pump(far[0], writer, is_open, viewer),
                return_exceptions=True,
            )

        await asyncio.start_server(relay, alias_of(host, viewer), int(port))

    def serve_udp(self, target: str, viewer: int, region: int) -> None:
        """Relays datagrams of a region's machines to an address."""
        host, _, port = target.rpartition(':')
        is_open = self._open[frozenset((viewer, region))]
        inner = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        inner.setblocking(False)
        inner.bind((alias_of(host, viewer), int(port)))

        async def relay() -> None:
            loop = asyncio.get_running_loop()
            while True:
                with contextlib.suppress(OSError):
                    received = await loop.sock_recv(inner, _BYTES)
                    if is_open.is_set():
                        sent = self._translate(received, region)
                        inner.sendto(sent, (host, int(port)))

        self._keep(relay())

    def _keep(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_open: asyncio.Event,
        to_region: int,
    ) -> None:
        """Passes bytes on until one side ends, and passes that on too."""
        try:
            while received := await reader.read(_BYTES):
                await is_open.wait()
                writer.write(self._translate(received, to_region))
                await writer.drain()
            await is_open.wait()
            writer.close()
        except ConnectionError:
            await is_open.wait()
            writer.transport.abort()

    def _translate(self, data: bytes, to_region: int) -> bytes:
        """Translates addresses for the machines of a region."""
        for machine, region in self._machines.items():
            real = f'127.0.{machine}.10'
            for viewer in self._regions:
                alias = alias_of(real, viewer)
                data = data.replace(f'{alias}:'.encode(), f'{real}:'.encode())
            if region != to_region:
                seen = alias_of(real, to_region)
                data = data.replace(f'{real}:'.encode(), f'{seen}:'.encode())
        return data


def alias_of(host: str, viewer: int) -> str:
    """Returns the address at which machines of a region reach a host."""
    return f'{host.rpartition(".")[0]}.{11 + viewer}'
