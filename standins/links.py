"""Stand-in for the network between places.

Each link listens on an address and passes bytes to another one, with a
latency and a bandwidth shared by all its connections.  A link can be cut
(connections end, new ones are refused) or made a hole (existing connections
go silent for good while new ones work).
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
    """One direction between two places, shared by all connections."""

    latency_s: float
    bytes_per_s: float
    mode: str = 'open'
    generation: int = 0
    bytes_sent: int = 0
    free_at_s: float = 0

    def reserve(self, size: int) -> float:
        """Returns when a chunk arrives at the other end."""
        start_s = max(trio.current_time(), self.free_at_s)
        self.free_at_s = start_s + size / self.bytes_per_s
        self.bytes_sent += size
        return self.free_at_s + self.latency_s


@final
@attrs.define(eq=False)
class Link:
    """A listener that passes connections on through two pipes."""

    target: str
    forward: Pipe
    backward: Pipe

    async def accept(self, near: trio.SocketStream) -> None:
        """Passes one connection on until either end closes it."""
        if 'cut' in {self.forward.mode, self.backward.mode}:
            return
        host, _, port = self.target.partition(':')
        try:
            far = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return
        async with far:
            await self._run_both(near, far)

    async def _run_both(
        self,
        near: trio.SocketStream,
        far: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(_pass, self.forward, near, far, scope.cancel)
            nursery.start_soon(_pass, self.backward, far, near, scope.cancel)
            nursery.start_soon(self._watch_cut, scope)

    async def _watch_cut(self, scope: trio.CancelScope) -> None:
        while 'cut' not in {self.forward.mode, self.backward.mode}:
            await trio.sleep(_CUT_POLL_S)
        scope.cancel()


async def _pass(
    pipe: Pipe,
    source: trio.SocketStream,
    sink: trio.SocketStream,
    finish: Callable[[], None],
) -> None:
    send, receive = trio.open_memory_channel[tuple[float, bytes]](
        _BUFFERED_CHUNKS,
    )
    generation = pipe.generation
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_deliver, receive, sink, finish)
        try:
            await _receive(pipe, generation, source, send.send)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            finish()
        send.close()


async def _receive(
    pipe: Pipe,
    generation: int,
    source: trio.SocketStream,
    deliver: Callable[[tuple[float, bytes]], Awaitable[None]],
) -> None:
    async for chunk in source:
        if pipe.generation != generation or pipe.mode == 'drop':
            await trio.sleep_forever()
        await deliver((pipe.reserve(len(chunk)), bytes(chunk)))


async def _deliver(
    receive: trio.MemoryReceiveChannel[tuple[float, bytes]],
    sink: trio.SocketStream,
    finish: Callable[[], None],
) -> None:
    try:
        async for arrives_at_s, chunk in receive:
            await trio.sleep_until(arrives_at_s)
            await sink.send_all(chunk)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        finish()
        return
    finish()


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
        described = {name: pipe.bytes_sent for name, pipe in pipes.items()}
        return Response(json.dumps(described))

    return app


async def serve_links(settings: dict[str, Any]) -> None:
    """Serves all links of a settings document and the control address."""
    pipes = {
        one['name']: Pipe(
            one['latency_s'],
            one['mbps'] * _BITS_PER_MEGABIT / _BITS_PER_BYTE,
        )
        for one in settings['pipes']
    }
    async with trio.open_nursery() as nursery:
        for one in settings['links']:
            link = Link(
                one['target'],
                pipes[one['forward']],
                pipes[one['backward']],
            )
            host, _, port = one['listen'].partition(':')
            listeners = await trio.open_tcp_listeners(int(port), host=host)
            nursery.start_soon(trio.serve_listeners, link.accept, listeners)
        await serve_app(create_app(pipes), settings['control'])


def run(settings: str) -> None:
    """Runs the links of a JSON settings file until killed."""
    with open(settings) as opened:
        loaded = json.load(opened)
    trio.run(serve_links, loaded)


if __name__ == '__main__':
    fire.Fire(run)
