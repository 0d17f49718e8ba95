"""Stand-in for the network between sites.

Each link listens on an address and forwards connections to another address
through two pipes, one for each direction. A pipe has a latency, a bandwidth
that all its connections share, and a mode: `open` forwards, `cut` closes
connections and refuses new ones, `drop` stops delivery without closing them. A
request for the mode `hole` does not change the mode: it stops delivery on
existing connections for good.
"""

import json
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

import attrs
import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins.serving import serve_app

_CHUNK_BYTES: Final = 65536
_BUFFERED_CHUNKS: Final = 256
_CUT_POLL_S: Final = 0.05
_BITS_PER_MEGABIT: Final = 1_000_000
_BITS_PER_BYTE: Final = 8


@final
@attrs.define(eq=False)
class Pipe:
    """One direction between two sites, shared by all connections.

    A new `generation` stops delivery on existing connections. `free_at_s` is
    the time, on the clock of trio, when all reserved bytes will have been sent.
    """

    latency_s: float
    bytes_per_s: float
    mode: str = 'open'
    generation: int = 0
    bytes_sent: int = 0
    free_at_s: float = 0

    def reserve(self, size: int) -> float:
        """Reserves bandwidth for a chunk; returns the time of its arrival."""
        start_s = max(trio.current_time(), self.free_at_s)
        self.free_at_s = start_s + size / self.bytes_per_s
        self.bytes_sent += size
        return self.free_at_s + self.latency_s


@final
@attrs.define(eq=False)
class Link:
    """A listener that forwards connections through two pipes."""

    target: str
    forward: Pipe
    backward: Pipe

    async def accept(self, client: trio.SocketStream) -> None:
        """Forwards one connection until either end closes it."""
        if 'cut' in {self.forward.mode, self.backward.mode}:
            return
        host, _, port = self.target.partition(':')
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return
        async with server:
            await self._forward_both_ways(client, server)

    async def _forward_both_ways(
        self,
        client: trio.SocketStream,
        server: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(
                _forward, self.forward, client, server, scope.cancel
            )
            nursery.start_soon(
                _forward, self.backward, server, client, scope.cancel
            )
            nursery.start_soon(self._cancel_when_cut, scope)

    async def _cancel_when_cut(self, scope: trio.CancelScope) -> None:
        while 'cut' not in {self.forward.mode, self.backward.mode}:
            await trio.sleep(_CUT_POLL_S)
        scope.cancel()


async def _forward(
    pipe: Pipe,
    source: trio.SocketStream,
    sink: trio.SocketStream,
    close: Callable[[], None],
) -> None:
    send, receive = trio.open_memory_channel[tuple[float, bytes]](
        _BUFFERED_CHUNKS,
    )
    generation = pipe.generation
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_deliver_chunks, receive, sink, close)
        try:
            await _schedule_chunks(pipe, generation, source, send.send)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            close()
        send.close()


async def _schedule_chunks(
    pipe: Pipe,
    generation: int,
    source: trio.SocketStream,
    schedule: Callable[[tuple[float, bytes]], Awaitable[None]],
) -> None:
    """Schedules each received chunk with the time of its arrival."""
    async for chunk in source:
        if pipe.generation != generation or pipe.mode == 'drop':
            await trio.sleep_forever()
        await schedule((pipe.reserve(len(chunk)), bytes(chunk)))


async def _deliver_chunks(
    receive: trio.MemoryReceiveChannel[tuple[float, bytes]],
    sink: trio.SocketStream,
    close: Callable[[], None],
) -> None:
    try:
        async for arrives_at_s, chunk in receive:
            await trio.sleep_until(arrives_at_s)
            await sink.send_all(chunk)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        close()
        return
    close()


def create_app(pipes: dict[str, Pipe]) -> QuartTrio:
    """Returns the control application, for tests."""
    app = QuartTrio('links')

    @app.post('/control')
    async def control() -> Response:
        fields = await request.get_json()
        for name in fields['pipes']:
            pipe = pipes[name]
            if fields['mode'] == 'hole':
                pipe.generation += 1
            else:
                pipe.mode = fields['mode']
        return Response('ok')

    @app.get('/bytes')
    async def sent() -> Response:
        bytes_sent = {name: pipe.bytes_sent for name, pipe in pipes.items()}
        return Response(json.dumps(bytes_sent))

    return app


async def serve_links(settings: dict[str, Any]) -> None:
    """Serves all links of a settings document and the control address."""
    pipes = {
        entry['name']: Pipe(
            entry['latency_s'],
            entry['mbps'] * _BITS_PER_MEGABIT / _BITS_PER_BYTE,
        )
        for entry in settings['pipes']
    }
    async with trio.open_nursery() as nursery:
        for link_settings in settings['links']:
            link = Link(
                link_settings['target'],
                pipes[link_settings['forward']],
                pipes[link_settings['backward']],
            )
            host, _, port = link_settings['listen'].partition(':')
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            nursery.start_soon(trio.serve_listeners, link.accept, listeners)
        await serve_app(create_app(pipes), settings['control'])


def run(settings: str) -> None:
    """Runs the links of a JSON settings file until it is killed."""
    with open(settings) as settings_file:
        loaded = json.load(settings_file)
    trio.run(serve_links, loaded)


if __name__ == '__main__':
    fire.Fire(run)
