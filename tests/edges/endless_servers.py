"""Servers that send bytes without end, for tests."""

from contextlib import asynccontextmanager, suppress

import attrs
import trio


def _send_without_end(start, endless):
    """Returns a handler that sends until the other side closes."""
    block = endless * (65_536 // len(endless))

    async def respond(stream):
        with suppress(trio.BrokenResourceError):
            await stream.receive_some()
            await stream.send_all(start)
            while True:
                await stream.send_all(block)

    return respond


@asynccontextmanager
async def endless_server(start, endless):
    """Serves an endless answer on loopback; yields the address."""
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(
            trio.serve_tcp, _send_without_end(start, endless), 0
        )
        yield f'127.0.0.1:{listeners[0].socket.getsockname()[1]}'
        nursery.cancel_scope.cancel()


def move_upstreams(gateway, service, address):
    """Gives the upstreams of a service another address."""
    for upstream in tuple(gateway.views.fleet.all_upstreams()):
        record = upstream.record
        if record.service == service:
            moved = attrs.evolve(record, address=address)
            gateway.views.fleet.apply(f'u/{record.name}', moved)
