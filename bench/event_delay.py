"""Measures how long stream events take through one instance, in milliseconds.

An engine in this process writes the time into each event; a caller in this
process reads the events through an instance that runs as another process.
"""

import json
import sys
from http import HTTPStatus
from pathlib import Path
from time import monotonic_ns
from typing import Any, Final

import fire
import h11
import httpx
import trio

from bench.platform_fleet import HOST, PlatformFleet, running_platform
from bench.ports import free_ports

_EVENTS_PER_STREAM: Final = 60
_EVENT_INTERVAL_S: Final = 0.03
_NS_PER_MS: Final = 1_000_000
_READ_BYTES: Final = 65536
#: Time for the instances to apply changed records.
_SETTLE_S: Final = 1.0
_P95: Final = 0.95


async def _serve_stream(stream: trio.SocketStream) -> None:
    """Answers one request with events that contain their sending time."""
    parser = h11.Connection(h11.SERVER)
    request_id = await _read_request_id(stream, parser)
    headers = [
        ('X-Request-Id', request_id),
        ('X-Response-Signature', 'engine'),
        ('Transfer-Encoding', 'chunked'),
        ('Connection', 'close'),
    ]
    head = h11.Response(status_code=HTTPStatus.OK, headers=headers)
    await stream.send_all(parser.send(head) or b'')
    for number in range(1, _EVENTS_PER_STREAM + 1):
        event = f'id: {number}\ndata: {monotonic_ns()}\n\n'.encode()
        await stream.send_all(parser.send(h11.Data(data=event)) or b'')
        await trio.sleep(_EVENT_INTERVAL_S)
    await stream.send_all(parser.send(h11.EndOfMessage()) or b'')
    await stream.aclose()


async def _read_request_id(
    stream: trio.SocketStream,
    parser: h11.Connection,
) -> str:
    request_id = ''
    event: object = h11.NEED_DATA
    while not isinstance(event, h11.EndOfMessage):
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive_some(_READ_BYTES))
        elif isinstance(event, h11.Request):
            request_id = dict(event.headers)[b'x-request-id'].decode()
    return request_id


async def _record_delays(
    address: str, request_id: str, delays: list[float]
) -> None:
    """Requests a stream and adds the delay of each event to `delays`."""
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '9000',
        'X-Token-Counts': '90,60',
        'X-Prompt-Prefix': 'a1:80,b2:10',
    }
    async with (
        httpx.AsyncClient(trust_env=False, timeout=9) as client,
        client.stream(
            'POST', f'http://{address}/plan/1', headers=headers
        ) as response,
    ):
        async for line in response.aiter_lines():
            if line.startswith('data: '):
                sent = int(line.removeprefix('data: '))
                delays.append((monotonic_ns() - sent) / _NS_PER_MS)


async def measure(streams: int) -> dict[str, Any]:
    """Returns percentiles of the event delay over concurrent streams."""
    delays: list[float] = []
    async with (
        running_platform(Path('out') / 'event-delay') as fleet,
        trio.open_nursery() as nursery,
    ):
        await _replace_engines(fleet, nursery)
        async with trio.open_nursery() as callers:
            listeners = fleet.listeners['north-a-1']
            for number in range(streams):
                request_id = f'r-{number}'
                callers.start_soon(
                    _record_delays, listeners['callers'], request_id, delays
                )
        nursery.cancel_scope.cancel()
    delays.sort()
    return {
        'streams': streams,
        'events': len(delays),
        'p50_ms': round(delays[len(delays) // 2], 2),
        'p95_ms': round(delays[int(len(delays) * _P95)], 2),
    }


async def _replace_engines(fleet: PlatformFleet, nursery: trio.Nursery) -> None:
    """Publishes an engine in this process in place of the stand-in engines."""
    port = next(free_ports(1))
    await nursery.start(trio.serve_tcp, _serve_stream, port)
    for name in fleet.replica_addresses:
        if name.startswith('model'):
            await fleet.put_record(f'servers/{name}', {})
    record = {
        'Service': 'model',
        'Address': f'127.0.0.1:{port}',
        'Zone': 'north-a',
        'Slots': 64,
        'State': 'ready',
    }
    await fleet.put_record('servers/engine', record)
    await trio.sleep(_SETTLE_S)


def run(streams: int = 10) -> None:
    """Prints the percentiles as one JSON line."""
    sys.stdout.write(f'{json.dumps(trio.run(measure, streams))}\n')


if __name__ == '__main__':
    fire.Fire(run)
