"""Long answers, and callers that read them slowly, for tests."""

import time
from contextlib import asynccontextmanager, suppress
from socket import SO_LINGER, SO_RCVBUF, SOL_SOCKET

import attrs
import trio

from bench.platform_fleet import build_platform_configuration
from tests.edges.crowd_forms import head
from tests.edges.crowds import NO_LINGER, ask

EVENT_BYTES = 200_000
_ANSWER_BYTES = 400_000
#: Route limit with which no slow reader is late.
_AMPLE_MS = 60_000
_READ_BYTES = 1024
_SMALL_BUFFER = 4096
#: More than any crowd has callers.
_SLOTS = 4000
_SERVICES = ('model', 'shop')
_POLL_S = 0.1
_HEALTHY = (
    b'HTTP/1.1 200 OK\r\nX-Instance-Id: long\r\nContent-Length: 0\r\n\r\n'
)
_ANSWER = b'HTTP/1.1 200 OK\r\nX-Response-Signature: long\r\n'
_ERRORS = (OSError, trio.BrokenResourceError)


@attrs.frozen
class SlowReader:
    """How a caller asks for an answer, and how fast it reads."""

    target: str
    bytes_per_s: int = 40_960
    deadline_ms: int = _AMPLE_MS


@attrs.define
class Received:
    """What a caller has read, and whether the instance ended it."""

    answer: bytearray = attrs.field(factory=bytearray)
    has_ended: bool = False


def _event(number, size):
    return b'id: %d\ndata: %b\n\n' % (number, b'x' * size)


def _answer_with(events):
    """Returns a handler; `events` is the number of a stream's long events."""

    async def respond(stream):
        with suppress(*_ERRORS):
            while True:
                received = await _read_request(stream)
                if not received:
                    return
                if b' /health ' in received:
                    await stream.send_all(_HEALTHY)
                elif b'x-token-counts' in received.lower():
                    await _send_stream(stream, events)
                else:
                    await stream.send_all(
                        b'%bContent-Length: %d\r\n\r\n%b'
                        % (_ANSWER, _ANSWER_BYTES, b'x' * _ANSWER_BYTES)
                    )

    return respond


async def _read_request(stream):
    received = b''
    while b'\r\n\r\n' not in received:
        part = await stream.receive_some()
        if not part:
            return b''
        received += part
    return received


async def _send_stream(stream, events):
    await stream.send_all(
        b'%bContent-Type: text/event-stream\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n' % _ANSWER
    )
    for number in range(1, events + 1):
        event = _event(number, EVENT_BYTES)
        await stream.send_all(b'%x\r\n%b\r\n' % (len(event), event))
    last = _event(events + 1, 1)
    await stream.send_all(b'%x\r\n%b\r\n0\r\n\r\n' % (len(last), last))


@asynccontextmanager
async def long_answers(fleet, data_centre, *, events, limit_ms=_AMPLE_MS):
    """Makes an upstream with long answers the only one of a fleet."""
    configuration = build_platform_configuration()
    configuration['Version'] = 2
    for route in configuration['Routes']:
        route['TimeoutMs'] = limit_ms
    for service in configuration['Services']:
        service['MaxConnections'] = _SLOTS
    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(trio.serve_tcp, _answer_with(events), 0)
        port = listeners[0].socket.getsockname()[1]
        await fleet.put_record('op/config', configuration)
        for name in fleet.replica_addresses:
            await fleet.delete_record(f'servers/{name}')
        for service in _SERVICES:
            record = _record(service, f'127.0.0.1:{port}', data_centre)
            await fleet.put_record(f'servers/long-{service}', record)
        await _wait_for_long_answers(fleet)
        yield
        nursery.cancel_scope.cancel()
    for service in _SERVICES:
        await fleet.delete_record(f'servers/long-{service}')
    for name in fleet.replica_addresses:
        await fleet.publish_replica(name)


def _record(service, address, data_centre):
    return {
        'Service': service,
        'Address': address,
        'Zone': data_centre,
        'Slots': _SLOTS,
        'State': 'ready',
        'born': round(time.time() * 1000),
    }


async def _wait_for_long_answers(fleet):
    """Waits until each instance uses the upstream, last for calls."""
    for addresses in fleet.listeners.values():
        while await _signature(addresses['callers']) != 'long':
            await trio.sleep(_POLL_S)


async def _signature(address):
    answer = await ask(address)
    return '' if answer is None else answer.headers.get('x-response-signature')


async def read_slowly(address, reader, received):
    """Asks for an answer and reads it slowly until it ends."""
    host, _, port = address.rpartition(':')
    request = head(reader.target, 'Content-Length: 1') + b'x'
    deadline = b'X-Deadline-Ms: %d' % reader.deadline_ms
    with trio.socket.socket() as sock, suppress(*_ERRORS):
        sock.setsockopt(SOL_SOCKET, SO_RCVBUF, _SMALL_BUFFER)
        sock.setsockopt(SOL_SOCKET, SO_LINGER, NO_LINGER)
        await sock.connect((host, int(port)))
        await sock.send(request.replace(b'X-Deadline-Ms: 3000', deadline))
        while not received.has_ended:
            part = await sock.recv(_READ_BYTES)
            received.answer += part
            received.has_ended = not part or received.answer.endswith(
                b'\r\n0\r\n\r\n'
            )
            await trio.sleep(_READ_BYTES / reader.bytes_per_s)


async def read_all_slowly(address, reader, callers, stay_s):
    """Lets many callers read for a while, then disconnect."""
    with trio.move_on_after(stay_s):
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(read_slowly, address, reader, Received())
            await trio.sleep_forever()
